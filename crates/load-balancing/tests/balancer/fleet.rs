//! Balancers in a fleet: behavior that is harmless in one balancer and harmful when all of them show it.

use crate::fleet_world::{FleetSize, FleetWorld};

#[test]
fn sparse_traffic_is_not_rejected_beside_idle_upstreams() {
    // Regression: each of a hundred balancers had an even share of less than one slot, and rejected everything that
    // arrived while it had one request in flight. A third of the traffic was rejected although the fleet was half idle.
    let mut world = FleetWorld::new(FleetSize {
        balancers: 100,
        upstreams: 60,
    });
    world.run(5_000, 0.7);
    let rejected = world.rejected as f64 / world.request_count as f64;
    assert!(
        world.request_count > 5_000,
        "{} requests",
        world.request_count
    );
    assert!(rejected < 0.01, "share of rejected requests: {rejected:.3}");
}
