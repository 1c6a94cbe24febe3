//! Tests of the times between SIGTERM and process exit.

use super::shutdown::EXIT_MARGIN;
use super::*;

/// Time after SIGTERM by which the process must have stopped accepting requests. A client whose request is sent later
/// and still accepted must get a response whatever the upstream does, which cannot be guaranteed.
const MAX_ACCEPT_TIME: Duration = Duration::from_secs(3);

#[test]
fn nothing_is_accepted_that_could_not_be_answered_before_the_end() {
    for grace_s in [1.0, 3.0, 6.0, 10.0, 60.0] {
        let grace = Duration::from_secs_f64(grace_s);
        let limits = client_limits(100, grace);
        assert!(limits.accept_grace <= grace / 2, "{grace_s}");
        assert!(
            limits.accept_grace + limits.final_request_wait < MAX_ACCEPT_TIME,
            "{grace_s}"
        );
        let end = limits.accept_grace + limits.drain_timeout;
        assert!(end + EXIT_MARGIN <= grace, "{grace_s}");
        let rejected = reject_unsent_after(&limits);
        assert!(rejected < end && rejected >= end / 3, "{grace_s}");
    }
}
