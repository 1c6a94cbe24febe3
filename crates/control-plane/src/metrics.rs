//! The metrics of a control process, computed from its state on each scrape. Their names, labels and help texts are
//! part of the operators' interface.

use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use raft::{Members, MembershipReport, Role, Status};

use crate::server::{ControlServer, LogStatus};

/// A family of gauges, keyed by label names and values.
type LabelledGauge = Family<Vec<(String, String)>, Gauge>;

/// Returns all metrics in the Prometheus text format.
pub fn text(server: &ControlServer) -> String {
    let LogStatus {
        own,
        members,
        report,
    } = server.log_status();
    let mut registry = Registry::with_prefix("shorefront_control");
    register_log(&mut registry, server, &own, &members);
    register_replicated_state(&mut registry, server);
    register_balancers(&mut registry, server);
    if let Some(report) = &report {
        register_members(&mut registry, report);
    }
    register_upstreams(&mut registry, server);
    data_plane::metrics::encode_text(&registry)
}

/// Registers a gauge without labels.
fn register_gauge(registry: &mut Registry, name: &str, help: &str, value: u64) {
    let gauge: Gauge = Gauge::default();
    gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
    registry.register(name, help, gauge);
}

/// Registers the metrics of this process's Raft node.
fn register_log(registry: &mut Registry, server: &ControlServer, own: &Status, members: &Members) {
    let mut register = |name, help, value| register_gauge(registry, name, help, value);
    let leads = u64::from(own.role == Role::Leader);
    register("leads", "1 at the leader of the log", leads);
    let has_leader = u64::from(own.leader.is_some());
    register("has_leader", "1 where a leader is known", has_leader);
    register(
        "in_contact",
        "1 while a majority confirms what is known",
        u64::from(server.has_quorum_contact()),
    );
    register("term", "Term of the log", own.term);
    register(
        "commit",
        "Place in the log up to which a majority has it",
        own.commit_index,
    );
    register("last", "Last place in the log here", own.last_log_index);
    let voters = members.voters.len() as u64;
    register("voters", "Members that vote", voters);
    let learners = members.learners.len() as u64;
    register("learners", "Members that are catching up", learners);
}

fn register_replicated_state(registry: &mut Registry, server: &ControlServer) {
    let state = server.replicated_state();
    register_gauge(
        registry,
        "configuration_version",
        "`rev` that is agreed on",
        state.revision,
    );
    register_gauge(
        registry,
        "evacuated_zones",
        "Zones whose upstreams get nothing",
        state.evacuated_zones().count() as u64,
    );
}

fn register_balancers(registry: &mut Registry, server: &ControlServer) {
    let sessions = server.all_sessions();
    register_gauge(
        registry,
        "balancers",
        "Balancers whose session stands somewhere",
        sessions.len() as u64,
    );
    let ready = sessions.iter().filter(|s| s.ready && !s.draining).count();
    register_gauge(
        registry,
        "balancers_ready",
        "Those that clients are sent to",
        ready as u64,
    );
}

/// Registers the metrics that only the leader has: how far each member is behind, and how long it has been silent.
fn register_members(registry: &mut Registry, report: &MembershipReport) {
    let silent = report.members.iter().filter(|m| !m.in_contact).count();
    register_gauge(
        registry,
        "losses_borne",
        "Voters that can still be lost (leader only)",
        report.tolerable_losses as u64,
    );
    register_gauge(
        registry,
        "members_out_of_contact",
        "Members that do not answer (leader only)",
        silent as u64,
    );
    let (behind, silence) = (LabelledGauge::default(), LabelledGauge::default());
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

fn register_upstreams(registry: &mut Registry, server: &ControlServer) {
    let upstreams = LabelledGauge::default();
    for (zone, known) in server.upstream_counts_by_zone() {
        upstreams
            .get_or_create(&vec![("zone".to_string(), zone)])
            .set(known as i64);
    }
    registry.register("upstreams", "Upstreams known, by zone", upstreams);
}
