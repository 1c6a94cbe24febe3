//! `shorefront status`: the state of the system, as the control balancers that were called and their leader report it.
//!
//! The first table has a row for each control balancer that responded. The members of the log are shown as the leader
//! reports them, since only the leader knows how far each of them has replicated. Everything else is shown as the first
//! control balancer that responded reports it.

use std::net::SocketAddr;

use control_plane::operator_client::{OperatorClient, OperatorRequest};
use serde_json::Value;

use super::error::CommandError;
use super::table::{cell_text, table};
use super::target::{OutputFormat, Target, call};

/// Runs the command, and returns what it prints.
pub(crate) async fn run(target: &Target) -> Result<String, CommandError> {
    let report = StatusReport::collect(&target.client()?).await;
    let Some(first) = report.responses.first() else {
        let errors: Vec<String> = report.failed_calls.iter().map(FailedCall::text).collect();
        return Err(CommandError::AllUnanswered(errors.join("; ")));
    };
    match target.output {
        OutputFormat::Json => Ok(Value::Array(report.responses).to_string()),
        OutputFormat::Table => Ok(report.format(first)),
    }
}

/// A call to a control balancer that failed.
struct FailedCall {
    address: SocketAddr,
    error: CommandError,
}

impl FailedCall {
    fn text(&self) -> String {
        format!("{}: {}", self.address, self.error)
    }
}

/// The results of all calls.
struct StatusReport {
    responses: Vec<Value>,
    failed_calls: Vec<FailedCall>,
}

impl StatusReport {
    /// Calls each control balancer, and also the leader that they name if it was not called.
    async fn collect(client: &OperatorClient) -> Self {
        let (mut responses, mut failed_calls) = (Vec::new(), Vec::new());
        for &address in &client.addresses {
            match read_status(client, address).await {
                Ok(status) => responses.push(status),
                Err(error) => failed_calls.push(FailedCall { address, error }),
            }
        }
        if let Some(leader) = uncalled_leader(&responses, &client.addresses)
            && let Ok(status) = read_status(client, leader).await
        {
            responses.push(status);
        }
        Self {
            responses,
            failed_calls,
        }
    }

    /// Formats the report as tables. `first` is the first response.
    fn format(&self, first: &Value) -> String {
        let mut text = format_control_balancers(&self.responses);
        for failed in &self.failed_calls {
            text += &format!("{}\n", failed.text());
        }
        let leader = self.responses.iter().find(|s| has_member_details(s));
        text += &format_members(leader.unwrap_or(first));
        text += &format_evacuations(first);
        text += &format_key_ranges(first);
        text + "\n" + &format_balancers(first)
    }
}

async fn read_status(client: &OperatorClient, at: SocketAddr) -> Result<Value, CommandError> {
    let client = OperatorClient {
        addresses: vec![at],
        timeout: client.timeout,
    };
    call(&client, &OperatorRequest::get("/-/Status")).await
}

/// Whether the status has the state of each member, which only the leader reports.
fn has_member_details(status: &Value) -> bool {
    !status["members"].is_null()
}

/// Returns the `ctl` address of the leader that the responses name, if the leader has not responded itself. Assumes the
/// same `ctl` port on all machines.
fn uncalled_leader(responses: &[Value], called: &[SocketAddr]) -> Option<SocketAddr> {
    if responses.iter().any(has_member_details) {
        return None;
    }
    let leader = responses
        .iter()
        .find_map(|s| s["leader"].as_str()?.parse::<SocketAddr>().ok())?;
    Some(SocketAddr::new(leader.ip(), called.first()?.port()))
}

fn header<const N: usize>(titles: [&str; N]) -> [String; N] {
    titles.map(String::from)
}

fn format_control_balancers(responses: &[Value]) -> String {
    let commit_index = |s: &Value| s["commit"].as_u64();
    let newest = responses.iter().filter_map(commit_index).max().unwrap_or(0);
    let mut rows = vec![header([
        "CONTROL", "ROLE", "TERM", "COMMIT", "BEHIND", "REV",
    ])];
    rows.extend(responses.iter().map(|s| {
        let behind = newest - commit_index(s).unwrap_or(0);
        [
            cell_text(&s["node"]),
            cell_text(&s["role"]),
            cell_text(&s["term"]),
            cell_text(&s["commit"]),
            behind.to_string(),
            cell_text(&s["rev"]),
        ]
    }));
    table(&rows)
}

/// Formats the members of the log: the state of each if the leader reports it, otherwise only their addresses.
fn format_members(status: &Value) -> String {
    let leader = cell_text(&status["leader"]);
    let Some(members) = status["members"].as_array() else {
        let list = |members: &Value| {
            let members = members.as_array().into_iter().flatten();
            members.map(cell_text).collect::<Vec<_>>().join(" ")
        };
        let (voters, learners) = (list(&status["voters"]), list(&status["learners"]));
        return format!(
            "leader {leader}; voters {voters}; learners {learners}; the leader was not asked: how they stand is not known\n"
        );
    };
    let mut rows = vec![header(["MEMBER", "KIND", "CONTACT", "SILENT MS", "BEHIND"])];
    rows.extend(members.iter().map(|member| {
        let is_voter = member["voter"] == true;
        let is_in_contact = member["in_contact"] == true;
        [
            cell_text(&member["address"]),
            if is_voter { "voter" } else { "learner" }.into(),
            if is_in_contact { "yes" } else { "NO" }.into(),
            cell_text(&member["silence_ms"]),
            cell_text(&member["behind"]),
        ]
    }));
    let tolerable_losses = cell_text(&status["losses_borne"]);
    format!("leader {leader}; {tolerable_losses} more voters can be lost\n") + &table(&rows)
}

fn format_evacuations(status: &Value) -> String {
    let zones = status["evacuated"].as_object().into_iter().flatten();
    zones
        .map(|(zone, count)| format!("zone {zone} is evacuated ({count} times)\n"))
        .collect()
}

fn format_key_ranges(status: &Value) -> String {
    let services = status["keys"].as_object().into_iter().flatten();
    services
        .map(|(service, keys)| {
            let owners = keys["held"].as_object().map_or(0, serde_json::Map::len);
            let (ranges, moving) = (&keys["slices"], &keys["leaving"]);
            format!(
                "keys of {service}: {ranges} slices at {owners} upstreams, {moving} on their way\n"
            )
        })
        .collect()
}

fn format_balancers(status: &Value) -> String {
    let mut rows = vec![header(["BALANCER", "ZONE", "HTTP", "STATE"])];
    let balancers = status["balancers"].as_array().into_iter().flatten();
    rows.extend(balancers.map(|balancer| {
        let state = match (balancer["leaving"].as_bool(), balancer["ready"].as_bool()) {
            (Some(true), _) => "leaving",
            (_, Some(true)) => "ready",
            _ => "not ready",
        };
        [
            cell_text(&balancer["node"]),
            cell_text(&balancer["zone"]),
            cell_text(&balancer["http"]),
            state.into(),
        ]
    }));
    table(&rows)
}

#[cfg(test)]
mod tests;
