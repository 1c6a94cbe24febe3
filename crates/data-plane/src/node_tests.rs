//! How a process ends.

use super::*;

/// What a client sent later than this after SIGTERM has to be answered, whatever its upstream does.
const ANSWERED_FROM: Duration = Duration::from_secs(3);

#[test]
fn nothing_is_taken_that_could_not_be_answered_before_the_end() {
    for grace_s in [1.0, 3.0, 6.0, 10.0, 60.0] {
        let grace = Duration::from_secs_f64(grace_s);
        let bounds = client_bounds(100, grace);
        assert!(bounds.accept_grace <= grace / 2, "{grace_s}");
        assert!(
            bounds.accept_grace + bounds.final_request_wait < ANSWERED_FROM,
            "{grace_s}"
        );
        let end = bounds.accept_grace + bounds.drain_timeout;
        assert!(end + SPARE <= grace, "{grace_s}");
        assert!(
            refuses_after(&bounds) < end && refuses_after(&bounds) >= end / 3,
            "{grace_s}"
        );
    }
}
