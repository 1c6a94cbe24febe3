//! Selection of the next control node, leaving a session for a better node, and selection of the primary session.

use std::net::SocketAddr;
use std::time::Duration;

use protocol::wire::{Balancer, ControlNode, FleetView};
use tokio::time::{Instant, advance};

use super::control_nodes::ControlNodes;
use super::session_table::{SessionState, SessionTable};
use super::{RECONNECT_BACKOFF, RECONNECT_BACKOFF_OUT_OF_CONTACT};

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// Returns a member of the replicated log at this address.
fn member(number: u16, zone: &str, region: &str) -> ControlNode {
    ControlNode {
        internal_addr: address(number),
        zone: zone.into(),
        region: region.into(),
        has_disk: true,
    }
}

/// Returns a balancer in zone `a` of region `r`.
fn balancer() -> Balancer {
    Balancer {
        node: "n".into(),
        zone: "a".into(),
        region: "r".into(),
        http_addr: address(80),
    }
}

#[tokio::test(start_paused = true)]
async fn nearest_free_node_ranks_first_and_one_in_backoff_last() {
    let (mut nodes, balancer) = (ControlNodes::default(), balancer());
    assert_eq!(nodes.nearest_free(&balancer), None);
    nodes.record_members(&[
        member(1, "x", "y"),
        member(2, "b", "r"),
        member(3, "a", "r"),
    ]);
    assert_eq!(nodes.nearest_free(&balancer), Some(address(3)));
    nodes.occupy(address(3));
    assert_eq!(nodes.nearest_free(&balancer), Some(address(2)));
    nodes.release(address(3), Some(Instant::now() + RECONNECT_BACKOFF));
    nodes.occupy(address(2));
    assert_eq!(nodes.nearest_free(&balancer), Some(address(1)));
    let out_of_contact = Instant::now() + RECONNECT_BACKOFF_OUT_OF_CONTACT;
    nodes.release(address(2), Some(out_of_contact));
    nodes.occupy(address(1));
    // All others are in backoff, so they rank by the end of their backoff.
    assert_eq!(nodes.nearest_free(&balancer), Some(address(3)));
    advance(RECONNECT_BACKOFF).await;
    assert_eq!(nodes.nearest_free(&balancer), Some(address(3)));
    nodes.occupy(address(3));
    assert_eq!(nodes.nearest_free(&balancer), Some(address(2)));
}

#[tokio::test(start_paused = true)]
async fn session_is_left_for_a_nearer_member_but_not_for_an_equally_near_one() {
    let (mut nodes, balancer) = (ControlNodes::default(), balancer());
    nodes.record_members(&[member(1, "b", "r"), member(2, "c", "r")]);
    nodes.occupy(address(1));
    assert!(!nodes.has_nearer(address(1), &balancer));
    nodes.record_members(&[member(3, "a", "r")]);
    assert!(nodes.has_nearer(address(1), &balancer));
    // A nearer node in backoff is no reason to leave.
    nodes.occupy(address(3));
    nodes.release(address(3), Some(Instant::now() + RECONNECT_BACKOFF));
    assert!(!nodes.has_nearer(address(1), &balancer));
    advance(RECONNECT_BACKOFF).await;
    assert!(nodes.has_nearer(address(1), &balancer));
}

#[tokio::test(start_paused = true)]
async fn at_most_one_fallback_session_is_kept_while_members_are_known() {
    let (mut nodes, balancer) = (ControlNodes::default(), balancer());
    nodes.add_seeds([address(7), address(8)].into_iter());
    nodes.occupy(address(7));
    // No member is known yet.
    assert_eq!(nodes.nearest_free(&balancer), Some(address(8)));
    assert!(nodes.has_alternative(address(7)));
    nodes.occupy(address(8));
    nodes.record_members(&[member(1, "a", "r")]);
    assert!(nodes.has_nearer(address(7), &balancer) && nodes.has_nearer(address(8), &balancer));
    nodes.release(address(8), None);
    assert_eq!(nodes.nearest_free(&balancer), Some(address(1)));
    nodes.occupy(address(1));
    // The member is in use, so the fallback session is kept and no second one is opened.
    assert!(!nodes.has_nearer(address(7), &balancer));
    assert_eq!(nodes.nearest_free(&balancer), None);
    // If the member is out of contact, there is no other member to move to.
    assert!(!nodes.has_alternative(address(1)));
}

#[test]
fn first_session_that_receives_updates_is_primary_until_it_ends() {
    let mut sessions = SessionTable::default();
    for peer in [address(1), address(2)] {
        sessions.open(peer);
        sessions.await_update(peer);
        assert!(!sessions.is_secondary(peer));
        assert!(sessions.establish(peer) && !sessions.establish(peer));
    }
    assert!(sessions.claim_primary(address(1)) && !sessions.claim_primary(address(2)));
    assert!(sessions.is_secondary(address(2)) && !sessions.is_secondary(address(1)));
    assert!(sessions.has_other_established(address(1)));
    let ended = sessions.close(address(1));
    assert_eq!(ended, Some(SessionState::Established { fleet: None }));
    assert!(sessions.release_primary(address(1)) && !sessions.release_primary(address(1)));
    assert!(sessions.claim_primary(address(2)));
    assert!(!sessions.has_other_established(address(2)));
}

#[test]
fn fleet_view_with_the_most_balancers_is_used() {
    let mut sessions = SessionTable::default();
    let fleet = |balancers| FleetView {
        balancers,
        position: 0,
    };
    assert_eq!(sessions.set_fleet(address(1), fleet(3)), Some(fleet(3)));
    assert_eq!(sessions.set_fleet(address(2), fleet(2)), Some(fleet(3)));
    sessions.close(address(1));
    assert_eq!(sessions.set_fleet(address(2), fleet(2)), Some(fleet(2)));
}

#[test]
fn backoff_is_longer_out_of_contact_and_absent_after_moving_to_a_nearer_node() {
    use super::SessionEnd;
    let broken = SessionEnd::from(std::io::Error::from(std::io::ErrorKind::BrokenPipe));
    assert_eq!(broken.backoff(), Some(Duration::from_secs(5)));
    let backoff = SessionEnd::OutOfContact.backoff();
    assert_eq!(backoff, Some(Duration::from_secs(10)));
    assert_eq!(SessionEnd::NearerAvailable.backoff(), None);
}
