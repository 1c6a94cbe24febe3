//! Encodings of commands, which are the data of log entries.

use control_plane::configuration::Command;
use control_plane::evacuations::{AcknowledgementAttempt, EvacuationStep};
use protocol::key_ranges::{KeyRangeChange, LeaseHolder, Ownership};

use crate::fixture::check;

const ATTEMPT: AcknowledgementAttempt = AcknowledgementAttempt {
    term: 3,
    number: 70_000,
};

fn configuration(rev: u64) -> String {
    format!(
        r#"{{"rev": {rev}, "services": [{{"name": "s"}}], "routes": [{{"name": "r", "host": "h",
            "path_prefix": "/a/", "type": "mutating", "deadline_ms": 100, "target_ms": 50,
            "svc": "s", "tries": 2}}]}}"#
    )
}

pub(crate) fn replace(base: u64, rev: u64) -> Command {
    Command::Replace {
        base,
        body: configuration(rev),
    }
}

pub(crate) fn amend(base: u64, rev: u64) -> Command {
    let body = format!(r#"{{"rev": {rev}, "upsert": {{"services": [{{"name": "t"}}]}}}}"#);
    Command::Amend { base, body }
}

pub(crate) fn evacuation(step: EvacuationStep) -> Command {
    Command::ZoneStep {
        zone: "a".into(),
        step,
    }
}

fn assign_keys() -> Command {
    let holder = |n: u8| {
        let addr = std::net::SocketAddr::from(([10, 0, 0, n], 8080));
        LeaseHolder {
            id: format!("u{n}"),
            addr,
        }
    };
    let ownerships = [
        Ownership::Unowned,
        Ownership::Assigned(holder(1), None),
        Ownership::Assigned(holder(2), Some("handover".into())),
        Ownership::Releasing(holder(3)),
    ];
    let change = |(n, ownership): (u16, Ownership)| KeyRangeChange {
        first: n * 1000,
        last: n * 1000 + 999,
        expected_token: n.into(),
        ownership,
    };
    Command::AssignKeys {
        service: "s".into(),
        changes: (0..).zip(ownerships).map(change).collect(),
    }
}

fn samples() -> Vec<Command> {
    let steps = [
        EvacuationStep::Begin,
        EvacuationStep::Finish { ends: 4 },
        EvacuationStep::Acknowledge {
            command: 4,
            attempt: ATTEMPT,
        },
        EvacuationStep::Withdraw {
            command: 4,
            attempt: ATTEMPT,
            written: true,
        },
        EvacuationStep::Confirm { command: 5 },
        EvacuationStep::Expire { last: 300 },
    ];
    let mut samples = vec![
        replace(5, 7),
        amend(7, 9),
        Command::LegacyEvacuate {
            zone: "a".into(),
            expected_index: 3,
        },
        Command::LegacyReturn {
            zone: "a".into(),
            expected_index: 4,
        },
        assign_keys(),
    ];
    samples.extend(steps.map(evacuation));
    samples
}

/// Returns the fixture of a command. Each new variant needs one.
fn fixture_name(command: &Command) -> &'static str {
    match command {
        Command::Replace { .. } => "command_replace.cbor",
        Command::Amend { .. } => "command_amend.cbor",
        Command::LegacyEvacuate { .. } => "command_evacuate.cbor",
        Command::LegacyReturn { .. } => "command_return.cbor",
        Command::AssignKeys { .. } => "command_place.cbor",
        Command::ZoneStep { step, .. } => match step {
            EvacuationStep::Begin => "command_evacuation_begin.cbor",
            EvacuationStep::Finish { .. } => "command_evacuation_finish.cbor",
            EvacuationStep::Acknowledge { .. } => "command_evacuation_acknowledge.cbor",
            EvacuationStep::Withdraw { .. } => "command_evacuation_withdraw.cbor",
            EvacuationStep::Confirm { .. } => "command_evacuation_confirm.cbor",
            EvacuationStep::Expire { .. } => "command_evacuation_expire.cbor",
        },
    }
}

#[test]
fn command_encodings_are_unchanged() {
    for sample in samples() {
        check(fixture_name(&sample), &sample);
    }
}
