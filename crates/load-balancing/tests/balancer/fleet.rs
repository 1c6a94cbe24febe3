//! Balancers at the size of a fleet: what is harmless in one and harmful when all do it.

use crate::fleet_world::{FleetWorld, Plan};

#[test]
fn thin_traffic_is_not_rejected_beside_idle_upstreams() {
    // Regression: a balancer of a hundred had an even part of less than one slot, and rejected whatever came
    // while one request was out; a third of the traffic was lost at a fleet that was half idle.
    let mut world = FleetWorld::new(Plan {
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
    assert!(rejected < 0.01, "{rejected:.3} rejected");
}
