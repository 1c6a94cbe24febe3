//! Tests of the selection of balancers for a client.

use protocol::wire::Balancer;

use super::*;

fn session(port: u16, zone: &str, region: &str, ready: bool, draining: bool) -> Session {
    let http_addr = SocketAddr::from(([127, 0, 0, 1], port));
    let (zone, region) = (zone.to_string(), region.to_string());
    let balancer = Balancer {
        node: format!("n{port}"),
        zone,
        region,
        http_addr,
    };
    Session {
        balancer,
        ready,
        draining,
    }
}

#[test]
fn nearest_ready_balancers_are_listed() {
    let sessions = [
        session(1, "a", "r", true, false),
        session(2, "a", "r", true, false),
        session(3, "b", "r", true, false),
        session(4, "b", "r", true, true),
        session(5, "c", "q", false, false),
    ];
    let ports = |zone, region| -> Vec<u16> {
        nearest_balancers(&sessions, zone, region)
            .iter()
            .map(SocketAddr::port)
            .collect()
    };
    assert_eq!(ports("a", "r"), [1, 2]);
    assert_eq!(
        ports("b", "r"),
        [1, 2, 3],
        "a single balancer in the zone is too few"
    );
    assert_eq!(
        ports("c", "q"),
        [1, 2, 3],
        "no balancer in the region is ready"
    );
}
