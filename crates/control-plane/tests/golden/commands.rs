//! Commands, as the data of log entries.

use control_plane::configuration::Command;
use control_plane::evacuations::{Attempt, Step};
use protocol::keys::{Change, Holder, Owned};

use crate::fixture::check;

const ATTEMPT: Attempt = Attempt { term: 3, number: 70_000 };

fn configuration(rev: u64) -> String {
    format!(
        r#"{{"rev": {rev}, "services": [{{"name": "s"}}], "routes": [{{"name": "r", "host": "h",
            "path_prefix": "/a/", "type": "mutating", "deadline_ms": 100, "target_ms": 50,
            "svc": "s", "tries": 2}}]}}"#
    )
}

pub fn replace(base: u64, rev: u64) -> Command {
    Command::Replace { base, body: configuration(rev) }
}

pub fn amend(base: u64, rev: u64) -> Command {
    let body = format!(r#"{{"rev": {rev}, "upsert": {{"services": [{{"name": "t"}}]}}}}"#);
    Command::Amend { base, body }
}

pub fn evacuation(step: Step) -> Command {
    Command::Evacuation { zone: "a".into(), step }
}

fn place() -> Command {
    let holder = |n: u8| {
        let addr = std::net::SocketAddr::from(([10, 0, 0, n], 8080));
        Holder { id: format!("u{n}"), addr }
    };
    let owned = [
        Owned::Free,
        Owned::By(holder(1), None),
        Owned::By(holder(2), Some("handover".into())),
        Owned::Leaving(holder(3)),
    ];
    let change = |(n, owned): (u16, Owned)| Change {
        since: n * 1000,
        to: n * 1000 + 999,
        was: n.into(),
        owned,
    };
    Command::Place { service: "s".into(), changes: (0..).zip(owned).map(change).collect() }
}

fn samples() -> Vec<Command> {
    let steps = [
        Step::Begin,
        Step::Finish { ends: 4 },
        Step::Acknowledge { order: 4, attempt: ATTEMPT },
        Step::Withdraw { order: 4, attempt: ATTEMPT, written: true },
        Step::Confirm { order: 5 },
        Step::Expire { last: 300 },
    ];
    let mut samples = vec![
        replace(5, 7),
        amend(7, 9),
        Command::Evacuate { zone: "a".into(), seen: 3 },
        Command::Return { zone: "a".into(), seen: 4 },
        place(),
    ];
    samples.extend(steps.map(evacuation));
    samples
}

/// The fixture of a command. A new variant needs one.
fn fixture_name(command: &Command) -> &'static str {
    match command {
        Command::Replace { .. } => "command_replace.cbor",
        Command::Amend { .. } => "command_amend.cbor",
        Command::Evacuate { .. } => "command_evacuate.cbor",
        Command::Return { .. } => "command_return.cbor",
        Command::Place { .. } => "command_place.cbor",
        Command::Evacuation { step, .. } => match step {
            Step::Begin => "command_evacuation_begin.cbor",
            Step::Finish { .. } => "command_evacuation_finish.cbor",
            Step::Acknowledge { .. } => "command_evacuation_acknowledge.cbor",
            Step::Withdraw { .. } => "command_evacuation_withdraw.cbor",
            Step::Confirm { .. } => "command_evacuation_confirm.cbor",
            Step::Expire { .. } => "command_evacuation_expire.cbor",
        },
    }
}

#[test]
fn each_command_keeps_its_bytes() {
    for sample in samples() {
        check(fixture_name(&sample), &sample);
    }
}
