//! How things stand at a control balancer, for whoever watches it: written out when asked for.

use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use raft::{MembershipReport, Role};

use crate::server::{ControlServer, LogStatus};

/// All of it as Prometheus reads it.
pub fn text(cell: &ControlServer) -> String {
    let LogStatus {
        own: core,
        members,
        report,
    } = cell.log_status();
    let agreed = cell.replicated_state();
    let sessions = cell.all_sessions();
    let mut registry = Registry::with_prefix("shorefront_control");
    let mut tell = |name: &str, help: &str, value: u64| {
        let gauge: Gauge = Gauge::default();
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        registry.register(name, help, gauge);
    };
    tell(
        "leads",
        "1 at the leader of the log",
        u64::from(core.role == Role::Leader),
    );
    tell(
        "has_leader",
        "1 where a leader is known",
        u64::from(core.leader.is_some()),
    );
    tell(
        "in_contact",
        "1 while a majority confirms what is known",
        u64::from(cell.has_quorum_contact()),
    );
    tell("term", "Term of the log", core.term);
    tell(
        "commit",
        "Place in the log up to which a majority has it",
        core.commit_index,
    );
    tell("last", "Last place in the log here", core.last_log_index);
    tell("voters", "Members that vote", members.voters.len() as u64);
    tell(
        "learners",
        "Members that are catching up",
        members.learners.len() as u64,
    );
    tell(
        "configuration_version",
        "`rev` that is agreed on",
        agreed.revision,
    );
    tell(
        "evacuated_zones",
        "Zones whose upstreams get nothing",
        agreed.evacuated_zones().count() as u64,
    );
    tell(
        "balancers",
        "Balancers whose session stands somewhere",
        sessions.len() as u64,
    );
    let ready = sessions.iter().filter(|s| s.ready && !s.draining).count();
    tell(
        "balancers_ready",
        "Those that clients are sent to",
        ready as u64,
    );
    if let Some(report) = &report {
        let silent = report.members.iter().filter(|m| !m.in_contact).count();
        tell(
            "losses_borne",
            "Voters that can still be lost (leader only)",
            report.tolerable_losses as u64,
        );
        tell(
            "members_out_of_contact",
            "Members that do not answer (leader only)",
            silent as u64,
        );
        members_by_address(&mut registry, report);
    }
    let upstreams: Family<Vec<(String, String)>, Gauge> = Family::default();
    for (zone, known) in cell.upstream_counts_by_zone() {
        upstreams
            .get_or_create(&vec![("zone".to_string(), zone)])
            .set(known as i64);
    }
    registry.register("upstreams", "Upstreams known, by zone", upstreams);
    data_plane::metrics::text(&registry)
}

/// How far each member is behind, and for how long it has been silent.
fn members_by_address(registry: &mut Registry, report: &MembershipReport) {
    let behind: Family<Vec<(String, String)>, Gauge> = Family::default();
    let silence: Family<Vec<(String, String)>, Gauge> = Family::default();
    for member in &report.members {
        let labels = vec![("member".to_string(), member.address.clone())];
        behind
            .get_or_create(&labels)
            .set(member.entries_behind as i64);
        silence.get_or_create(&labels).set(member.silence_ms as i64);
    }
    let help = "Entries not known to be on a member's disk (leader only)";
    registry.register("member_behind", help, behind);
    let help = "Milliseconds since a member's last answer (leader only)";
    registry.register("member_silence_ms", help, silence);
}
