//! Estimation of how many requests an upstream runs concurrently, where upstreams don't report it.

use load_balancing::interface::*;

use crate::harness::{MS, World, settings};

/// Returns the largest K of four upstreams that each run `cores` requests of 10 to 30 ms at a time, after six seconds
/// with more requests than they can serve.
fn learned_max_in_flight(cores: usize) -> u32 {
    let mut w = World::with_servers(settings(), 4);
    let (mut id, mut known) = (0, 0);
    let mut work: [Vec<(u64, u64)>; 4] = Default::default();
    for _ in 0..3000 {
        w.advance(Span(2 * MS));
        (0..2).for_each(|i| w.request(id + i, 0));
        id += 2;
        for queue in &mut work {
            queue
                .iter_mut()
                .take(cores)
                .for_each(|(_, left)| *left -= 2);
            let done: Vec<u64> = queue.iter().filter(|q| q.1 == 0).map(|q| q.0).collect();
            queue.retain(|q| q.1 > 0);
            done.into_iter()
                .for_each(|id| w.end_attempt(id, 0, AttemptOutcome::Ok));
        }
        for action in &w.past_actions[known..] {
            if let Action::Send {
                request, server, ..
            } = action
            {
                work[server.0 as usize].push((request.0, 10 + request.0 * 14 % 22));
            }
        }
        known = w.past_actions.len();
    }
    (0..4)
        .map(|i| {
            w.balancer
                .upstream_limits(ServerId(i), Span(MS))
                .unwrap()
                .max_in_flight
        })
        .max()
        .unwrap()
}

#[test]
fn learns_the_concurrency_of_an_upstream() {
    // Regression: K stayed only slightly above one, so two of three cores were idle while requests were rejected.
    let k = learned_max_in_flight(3);
    assert!(
        (3..=5).contains(&k),
        "K is {k} for three concurrent requests"
    );
}

#[test]
fn learns_that_an_upstream_runs_one_at_a_time() {
    // Regression: an upstream with one core was estimated to run two requests at a time, and was overloaded.
    assert_eq!(learned_max_in_flight(1), 1);
}
