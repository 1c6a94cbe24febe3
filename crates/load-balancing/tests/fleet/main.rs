//! The module at the size of a fleet: what is harmless in one proxy and harmful when all do it.

mod bank;
#[path = "../common/mod.rs"]
mod common;

use bank::{Bank, Plan};

#[test]
fn thin_traffic_is_not_refused_beside_idle_upstreams() {
    // Failure: a proxy of a hundred had an even part of less than one slot, and refused whatever came
    // while one request was out; a third of the traffic was lost at a fleet that was half idle.
    let mut bank = Bank::new(Plan {
        balancers: 100,
        upstreams: 60,
    });
    bank.run(5_000, 0.7);
    let refused = bank.refused as f64 / bank.asked as f64;
    assert!(bank.asked > 5_000, "{} asked", bank.asked);
    assert!(refused < 0.01, "{refused:.3} refused");
}
