//! The rules of the replicated state: which configuration is valid, what builds on what, what was taken already.
//! Every control balancer applies the same commands in the same order and comes to the same verdicts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use protocol::config::Config;
use protocol::key_ranges::{KeyRangeChange, KeyRangeMap};
use serde::de::Visitor;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::{Map, Value};
use sha2::{Digest, Sha256};

use crate::evacuations::{AcknowledgementState, EvacuationStep, ZoneEvacuations};

/// Configurations that were taken are known by their digests for so many versions: eleven hours at 4,500 changes a
/// day, in under 50 kB of a snapshot. An older one that is sent again gets no clear answer.
pub const MAX_REMEMBERED_REVISIONS: usize = 2048;
/// Orders on top of versions that are not there yet, which were refused and must stay so, are known up to this many.
const REFUSED: usize = 256;
/// Bytes of a SHA-256 that tell one order from another.
const DIGEST: usize = 16;

/// An order, as it stands in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A whole configuration on top of version `base`, as it was sent.
    Replace { base: u64, body: String },
    /// Named items of it.
    Amend { base: u64, body: String },
    /// An evacuation, as builds before form 4 of the snapshot wrote it.
    #[serde(rename = "Evacuate")]
    LegacyEvacuate { zone: String, seen: u64 },
    /// A return, as those wrote it.
    #[serde(rename = "Return")]
    LegacyReturn { zone: String, seen: u64 },
    /// Who is to hold which keys of a service; each change counts by itself.
    #[serde(rename = "Place")]
    AssignKeys {
        service: String,
        changes: Vec<KeyRangeChange>,
    },
    /// A step of an order that evacuates a zone, or returns it.
    #[serde(rename = "Evacuation")]
    ZoneStep { zone: String, step: EvacuationStep },
}

/// What becomes of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    Applied,
    /// The very same was taken before.
    AlreadyApplied,
    /// Another version is current.
    RevisionMismatch {
        current: u64,
    },
    /// Another evacuation or return came in between: to be decided again.
    Conflict,
    /// It makes no sense, and why.
    Invalid(String),
    /// It is so old that nobody knows whether it was taken: it must not be refused.
    Expired,
}

/// An order's digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CommandDigest([u8; DIGEST]);

/// What is agreed on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The current version, 0 for none, and where in the log it was taken.
    #[serde(rename = "rev")]
    pub revision: u64,
    pub config_index: u64,
    /// The configuration as JSON.
    pub config: Arc<str>,
    /// Orders of zones that are evacuated, or were returned lately.
    #[serde(rename = "zones")]
    pub zone_evacuations: BTreeMap<String, ZoneEvacuations>,
    #[serde(rename = "evacuated_index")]
    pub evacuations_index: u64,
    /// Of each service whose upstreams divide its keys, who holds which; and where in the log that changed last.
    pub keys: BTreeMap<String, KeyRangeMap>,
    pub keys_index: u64,
    /// Configurations that were taken, by the version they led to.
    #[serde(rename = "taken")]
    pub(crate) accepted_revisions: BTreeMap<u64, CommandDigest>,
    /// The newest version that is no longer among them.
    #[serde(rename = "forgotten")]
    pub(crate) last_expired_revision: u64,
    /// Orders that were refused because their base, by which they stand here, was yet to come.
    #[serde(rename = "refused")]
    pub(crate) rejected_commands: BTreeSet<(u64, CommandDigest)>,
}

impl ReplicatedState {
    /// What would become of a change of the configuration now.
    pub fn check(&self, command: &Command) -> CommandOutcome {
        match self.outcome(command) {
            Ok(Some(_)) => CommandOutcome::Applied,
            Ok(None) => CommandOutcome::AlreadyApplied,
            Err(verdict) => verdict,
        }
    }

    /// Whether a verdict on this change holds for good without standing in the log: all but the refusal of one
    /// whose base may still come, in a copy that is still on its way.
    pub fn is_final(&self, command: &Command, verdict: &CommandOutcome) -> bool {
        let early = command.base().is_some_and(|base| base > self.revision);
        let noted = command
            .base()
            .is_some_and(|b| self.rejected_commands.contains(&(b, digest(command))));
        *verdict != CommandOutcome::Applied
            && (!early || noted || !matches!(verdict, CommandOutcome::RevisionMismatch { .. }))
    }

    /// Applies the command, which stands at this place of the log.
    pub fn apply(&mut self, index: u64, command: &Command) -> CommandOutcome {
        match command {
            Command::LegacyEvacuate { seen, .. } | Command::LegacyReturn { seen, .. }
                if *seen != self.evacuations_index =>
            {
                CommandOutcome::Conflict
            }
            Command::LegacyEvacuate { zone, .. } => {
                self.evacuations_index = index;
                let zone = self.zone_evacuations.entry(zone.clone()).or_default();
                zone.evacuations
                    .insert(index, AcknowledgementState::Unknown);
                CommandOutcome::Applied
            }
            Command::LegacyReturn { zone, .. } => {
                let evacuations = self
                    .zone_evacuations
                    .get_mut(zone)
                    .map(|z| &mut z.evacuations);
                if evacuations.is_none_or(|e| e.pop_first().is_none()) {
                    return CommandOutcome::AlreadyApplied;
                }
                self.evacuations_index = index;
                self.zone_evacuations.retain(|_, zone| !zone.is_empty());
                CommandOutcome::Applied
            }
            Command::ZoneStep { zone, step } => self.evacuation(index, zone, *step),
            Command::AssignKeys { service, changes } => {
                let slices = self.keys.entry(service.clone()).or_default();
                let counted = changes.iter().filter(|c| slices.apply(index, c)).count();
                if counted == 0 {
                    return CommandOutcome::Conflict;
                }
                self.keys_index = index;
                CommandOutcome::Applied
            }
            Command::Replace { .. } | Command::Amend { .. } => self.change(index, command),
        }
    }

    fn evacuation(&mut self, index: u64, zone: &str, step: EvacuationStep) -> CommandOutcome {
        let counts = self
            .zone_evacuations
            .entry(zone.to_string())
            .or_default()
            .apply(index, step);
        self.zone_evacuations.retain(|_, zone| !zone.is_empty());
        if !counts {
            return CommandOutcome::Conflict;
        }
        if matches!(step, EvacuationStep::Begin | EvacuationStep::Finish { .. }) {
            self.evacuations_index = index;
        }
        CommandOutcome::Applied
    }

    fn change(&mut self, index: u64, command: &Command) -> CommandOutcome {
        match self.outcome(command) {
            Ok(Some((rev, config))) => {
                (self.revision, self.config, self.config_index) = (rev, config.into(), index);
                self.accepted_revisions.insert(rev, digest(command));
                while self.accepted_revisions.len() > MAX_REMEMBERED_REVISIONS {
                    self.last_expired_revision = self
                        .accepted_revisions
                        .pop_first()
                        .map_or(0, |(rev, _)| rev);
                }
                // The others are stale by now, whatever comes.
                self.rejected_commands.retain(|(base, _)| *base >= rev);
                CommandOutcome::Applied
            }
            Ok(None) => CommandOutcome::AlreadyApplied,
            Err(verdict) => {
                let early = command.base().filter(|base| *base > self.revision);
                if let Some(base) =
                    early.filter(|_| matches!(verdict, CommandOutcome::RevisionMismatch { .. }))
                {
                    if self.rejected_commands.len() >= REFUSED {
                        return CommandOutcome::Expired;
                    }
                    self.rejected_commands.insert((base, digest(command)));
                }
                verdict
            }
        }
    }

    /// How many evacuations hold a zone.
    pub fn evacuations(&self, zone: &str) -> usize {
        self.zone_evacuations
            .get(zone)
            .map_or(0, |zone| zone.evacuations.len())
    }

    /// The zones that are evacuated, with the number of their evacuations.
    pub fn evacuated(&self) -> impl Iterator<Item = (&String, usize)> {
        let all = self
            .zone_evacuations
            .iter()
            .map(|(zone, orders)| (zone, orders.evacuations.len()));
        all.filter(|(_, evacuations)| *evacuations > 0)
    }

    /// The services whose upstreams divide their keys.
    pub fn sharded(&self) -> Vec<String> {
        let config = serde_json::from_str::<Config>(&self.config);
        let services = config.map(|c| c.services).unwrap_or_default();
        services
            .into_iter()
            .filter(|s| s.sharded)
            .map(|s| s.name)
            .collect()
    }

    /// The version and configuration that an order leads to; `None` if it did already.
    fn outcome(&self, command: &Command) -> Result<Option<(u64, String)>, CommandOutcome> {
        let (Command::Replace { base, body } | Command::Amend { base, body }) = command else {
            return Ok(Some((self.revision, String::new())));
        };
        let invalid = |why: String| CommandOutcome::Invalid(why);
        let sent: Value =
            serde_json::from_str(body).map_err(|e| invalid(format!("not JSON: {e}")))?;
        let rev = sent.get("rev").and_then(Value::as_u64);
        let rev = rev.ok_or_else(|| invalid("`rev`: expected a whole number".into()))?;
        if self.accepted_revisions.get(&rev) == Some(&digest(command)) {
            return Ok(None);
        }
        if *base < rev && rev <= self.last_expired_revision {
            return Err(CommandOutcome::Expired);
        }
        // Before it is looked into: whether an amendment makes sense is said by its base alone.
        if *base != self.revision || self.rejected_commands.contains(&(*base, digest(command))) {
            return Err(CommandOutcome::RevisionMismatch {
                current: self.revision,
            });
        }
        if rev <= self.revision {
            return Err(invalid(format!(
                "`rev`: {rev} is not above the current {}",
                self.revision
            )));
        }
        let whole = match command {
            Command::Amend { .. } => amended(&self.config, sent).map_err(invalid)?,
            _ => sent,
        };
        validate(&whole).map_err(invalid)?;
        Ok(Some((rev, whole.to_string())))
    }
}

impl Command {
    /// The version that a change of the configuration builds on.
    fn base(&self) -> Option<u64> {
        match self {
            Self::Replace { base, .. } | Self::Amend { base, .. } => Some(*base),
            _ => None,
        }
    }
}

fn digest(command: &Command) -> CommandDigest {
    let (kind, base, body) = match command {
        Command::Replace { base, body } => (0u8, *base, body.as_str()),
        Command::Amend { base, body } => (1, *base, body.as_str()),
        Command::LegacyEvacuate { zone, .. }
        | Command::LegacyReturn { zone, .. }
        | Command::ZoneStep { zone, .. } => (2, 0, zone.as_str()),
        Command::AssignKeys { service, .. } => (4, 0, service.as_str()),
    };
    let mut hasher = Sha256::new();
    hasher.update([kind]);
    hasher.update(base.to_be_bytes());
    hasher.update(body);
    CommandDigest::of(hasher.finalize().as_slice())
}

impl CommandDigest {
    /// The leading bytes of a longer digest.
    pub(crate) fn of(bytes: &[u8]) -> Self {
        let mut digest = [0; DIGEST];
        digest
            .iter_mut()
            .zip(bytes)
            .for_each(|(to, from)| *to = *from);
        Self(digest)
    }
}

impl Serialize for CommandDigest {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for CommandDigest {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Bytes;
        impl Visitor<'_> for Bytes {
            type Value = CommandDigest;
            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("the bytes of a digest")
            }
            fn visit_bytes<E: serde::de::Error>(self, bytes: &[u8]) -> Result<CommandDigest, E> {
                Ok(CommandDigest::of(bytes))
            }
        }
        from.deserialize_bytes(Bytes)
    }
}

/// The current configuration with items added, replaced by name and removed.
fn amended(current: &str, change: Value) -> Result<Value, String> {
    let mut whole: Map<String, Value> = if current.is_empty() {
        Map::new()
    } else {
        serde_json::from_str(current).map_err(|e| format!("the current configuration: {e}"))?
    };
    let Value::Object(mut change) = change else {
        return Err("expected an object".into());
    };
    let rev = change.remove("rev").unwrap_or_default();
    let mut part = |name: &str| match change.remove(name) {
        None => Ok(Map::new()),
        Some(Value::Object(lists)) => Ok(lists),
        Some(_) => Err(format!("`{name}`: expected an object")),
    };
    let (remove, upsert) = (part("remove")?, part("upsert")?);
    if let Some(other) = change.keys().next() {
        return Err(format!("`{other}`: expected `rev`, `upsert` or `remove`"));
    }
    for (list, names) in remove {
        let at = format!("`remove.{list}`");
        let Value::Array(names) = names else {
            return Err(format!("{at}: expected a list"));
        };
        let items = items(&mut whole, &list, &at)?;
        items.retain(|item| !names.iter().any(|n| item.get("name") == Some(n)));
    }
    for (list, new) in upsert {
        let at = format!("`upsert.{list}`");
        if list == "limits" {
            whole.insert(list, new);
            continue;
        }
        let Value::Array(new) = new else {
            return Err(format!("{at}: expected a list"));
        };
        let items = items(&mut whole, &list, &at)?;
        for item in new {
            let name = item.get("name").filter(|n| n.is_string());
            let name = name.ok_or_else(|| format!("{at}: an item without a `name`"))?;
            match items.iter_mut().find(|i| i.get("name") == Some(name)) {
                Some(known) => *known = item,
                None => items.push(item),
            }
        }
    }
    whole.insert("rev".into(), rev);
    Ok(Value::Object(whole))
}

fn items<'a>(
    whole: &'a mut Map<String, Value>,
    list: &str,
    at: &str,
) -> Result<&'a mut Vec<Value>, String> {
    if list != "routes" && list != "services" {
        return Err(format!("{at}: expected `routes` or `services`"));
    }
    let entry = whole
        .entry(list)
        .or_insert_with(|| Value::Array(Vec::new()));
    entry
        .as_array_mut()
        .ok_or_else(|| format!("{at}: not a list in the current configuration"))
}

/// Whether a whole configuration makes sense; the error names what does not.
pub fn validate(whole: &Value) -> Result<Config, String> {
    let config = Config::deserialize(whole).map_err(|e| e.to_string())?;
    let mut services = BTreeSet::new();
    for s in &config.services {
        if !services.insert(s.name.as_str()) {
            return Err(format!("service `{}` stands twice", s.name));
        }
        let paced = s.warmup_s.is_finite() && s.warmup_per_s.is_finite();
        if !paced || s.warmup_s < 0.0 || s.warmup_per_s < 0.0 {
            return Err(format!(
                "service `{}`: `warmup_s` and `warmup_per_s` are 0 or more",
                s.name
            ));
        }
    }
    let (mut names, mut places) = (BTreeSet::new(), BTreeSet::new());
    for r in &config.routes {
        let wrong = |what: &str| Err(format!("route `{}`: {what}", r.name));
        if !names.insert(r.name.as_str()) {
            return wrong("stands twice");
        }
        let host = r.host.to_ascii_lowercase();
        if !places.insert((host, r.path_prefix.as_str())) {
            return wrong("another route has its host and prefix");
        }
        if !r.path_prefix.starts_with('/') || !r.path_prefix.ends_with('/') {
            return wrong("`path_prefix` begins and ends with a slash");
        }
        if r.host.is_empty() {
            return wrong("`host` is empty");
        }
        if r.deadline_ms == 0 {
            return wrong("`deadline_ms` is 0");
        }
        if r.target_ms == 0 {
            return wrong("`target_ms` is 0");
        }
        if r.max_attempts == 0 {
            return wrong("`tries` is 0");
        }
        if r.service.is_some() == r.split.is_some() {
            return wrong("expected either `svc` or `split`");
        }
        let parts = r.weighted_services();
        if parts
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum::<u64>()
            == 0
        {
            return wrong("its weights add up to 0");
        }
        if let Some((unknown, _)) = parts.iter().find(|(s, _)| !services.contains(s)) {
            return wrong(&format!("names the unknown service `{unknown}`"));
        }
    }
    Ok(config)
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    fn route(name: &str, service: &str) -> Value {
        json!({"name": name, "host": "h", "path_prefix": format!("/{name}/"), "type": "mutating",
            "deadline_ms": 100, "target_ms": 10, "svc": service, "tries": 2, "of_later": [1]})
    }

    fn whole(rev: u64, routes: Vec<Value>) -> Value {
        json!({"rev": rev, "routes": routes, "services": [{"name": "s"}, {"name": "t"}]})
    }

    fn replace(base: u64, body: &Value) -> Command {
        Command::Replace {
            base,
            body: body.to_string(),
        }
    }

    fn first() -> ReplicatedState {
        let mut agreed = ReplicatedState::default();
        let body = whole(5, vec![route("a", "s")]);
        assert_eq!(agreed.apply(1, &replace(0, &body)), CommandOutcome::Applied);
        agreed
    }

    #[test]
    fn a_version_is_taken_once_and_acknowledged_as_often_as_it_is_sent() {
        let mut agreed = first();
        let body = whole(5, vec![route("a", "s")]);
        assert_eq!(
            agreed.apply(2, &replace(0, &body)),
            CommandOutcome::AlreadyApplied
        );
        let next = whole(9, vec![route("a", "t")]);
        assert_eq!(agreed.apply(3, &replace(5, &next)), CommandOutcome::Applied);
        assert_eq!((agreed.revision, agreed.config_index), (9, 3));
        // The first one, sent again late, was taken; it does not come back into force.
        assert_eq!(
            agreed.apply(4, &replace(0, &body)),
            CommandOutcome::AlreadyApplied
        );
        assert_eq!(agreed.revision, 9);
        assert!(
            agreed.config.contains("of_later"),
            "what is not known is kept"
        );
    }

    #[test]
    fn of_two_changes_on_one_base_one_wins() {
        let mut agreed = first();
        let (one, other) = (
            whole(7, vec![route("a", "t")]),
            whole(7, vec![route("b", "t")]),
        );
        assert_eq!(agreed.apply(2, &replace(5, &one)), CommandOutcome::Applied);
        assert_eq!(
            agreed.apply(3, &replace(5, &other)),
            CommandOutcome::RevisionMismatch { current: 7 }
        );
        let amend = Command::Amend {
            base: 5,
            body: json!({"rev": 8}).to_string(),
        };
        assert_eq!(
            agreed.apply(4, &amend),
            CommandOutcome::RevisionMismatch { current: 7 }
        );
    }

    #[test]
    fn named_items_are_added_replaced_and_removed() {
        let mut agreed = first();
        let change = json!({"rev": 6, "upsert": {"routes": [route("a", "t"), route("b", "s")]},
            "remove": {"routes": ["never-was"]}});
        let amend = |base, body: &Value| Command::Amend {
            base,
            body: body.to_string(),
        };
        assert_eq!(agreed.apply(2, &amend(5, &change)), CommandOutcome::Applied);
        let config: Value = serde_json::from_str(&agreed.config).expect("JSON");
        assert_eq!(config["rev"], 6);
        assert_eq!(config["routes"][0]["svc"], "t");
        assert_eq!(config["routes"].as_array().map(Vec::len), Some(2));
        let change = json!({"rev": 8, "remove": {"routes": ["a"]}});
        assert_eq!(agreed.apply(3, &amend(6, &change)), CommandOutcome::Applied);
        assert_eq!(
            agreed.apply(4, &amend(6, &change)),
            CommandOutcome::AlreadyApplied
        );
        let config: Value = serde_json::from_str(&agreed.config).expect("JSON");
        assert_eq!(config["routes"].as_array().map(Vec::len), Some(1));
        // A service that a route still names can't go.
        let change = json!({"rev": 9, "remove": {"services": ["s"]}});
        assert!(matches!(
            agreed.check(&amend(8, &change)),
            CommandOutcome::Invalid(_)
        ));
    }

    #[test]
    fn what_makes_no_sense_is_invalid_and_changes_nothing() {
        let with = |change: &dyn Fn(&mut Value)| {
            let mut body = whole(7, vec![route("a", "s"), route("b", "s")]);
            change(&mut body);
            body.to_string()
        };
        let bodies = [
            with(&|b| b["routes"][0]["svc"] = json!("unknown")),
            with(&|b| b["routes"][1]["path_prefix"] = json!("/a/")),
            with(&|b| b["routes"][1]["name"] = json!("a")),
            with(&|b| b["routes"][0]["deadline_ms"] = json!(0)),
            with(&|b| b["routes"][0]["deadline_ms"] = json!("100")),
            with(&|b| b["routes"][0]["svc"] = Value::Null),
            with(&|b| b["routes"][0]["split"] = json!([{"svc": "s", "weight": 1}])),
            with(&|b| {
                b["routes"][0]["svc"] = Value::Null;
                b["routes"][0]["split"] =
                    json!([{"svc": "s", "weight": 0}, {"svc": "t", "weight": 0}]);
            }),
            with(&|b| b["services"][1]["name"] = json!("s")),
            with(&|b| b["rev"] = json!(5)),
            with(&|b| b["rev"] = json!(-1)),
            with(&|_| {}).replace("]}", "]"),
            "[]".to_string(),
            String::new(),
        ];
        for body in bodies {
            let mut agreed = first();
            let before = agreed.clone();
            let verdict = agreed.apply(
                2,
                &Command::Replace {
                    base: 5,
                    body: body.clone(),
                },
            );
            assert!(
                matches!(verdict, CommandOutcome::Invalid(_)),
                "{verdict:?}: {body}"
            );
            assert_eq!(agreed, before);
        }
    }

    #[test]
    fn orders_of_zones_that_a_former_build_wrote_count_as_they_did() {
        let mut agreed = first();
        let begin = |agreed: &mut ReplicatedState, index, zone: &str| {
            let seen = agreed.evacuations_index;
            agreed.apply(
                index,
                &Command::LegacyEvacuate {
                    zone: zone.into(),
                    seen,
                },
            )
        };
        let finish = |agreed: &mut ReplicatedState, index, zone: &str| {
            let seen = agreed.evacuations_index;
            agreed.apply(
                index,
                &Command::LegacyReturn {
                    zone: zone.into(),
                    seen,
                },
            )
        };
        assert_eq!(begin(&mut agreed, 2, "a"), CommandOutcome::Applied);
        assert_eq!(begin(&mut agreed, 3, "b"), CommandOutcome::Applied);
        assert_eq!(begin(&mut agreed, 4, "a"), CommandOutcome::Applied);
        assert_eq!(finish(&mut agreed, 5, "a"), CommandOutcome::Applied);
        assert_eq!(agreed.evacuations("a"), 1, "another order holds it");
        assert_eq!(finish(&mut agreed, 6, "a"), CommandOutcome::Applied);
        assert_eq!(
            agreed.evacuated().collect::<Vec<_>>(),
            [(&"b".to_string(), 1)]
        );
        assert_eq!(finish(&mut agreed, 7, "a"), CommandOutcome::AlreadyApplied);
        assert_eq!((agreed.evacuations_index, agreed.config_index), (6, 1));
        // Decided before the last one came: neither counts twice.
        let late = Command::LegacyEvacuate {
            zone: "b".into(),
            seen: 5,
        };
        assert_eq!(agreed.apply(8, &late), CommandOutcome::Conflict);
        assert_eq!(agreed.evacuations("b"), 1);
    }

    #[test]
    fn an_order_that_was_taken_is_never_refused_however_old() {
        let mut agreed = ReplicatedState::default();
        let body = |n: u64| json!({"rev": 2 * n + 3, "routes": [], "services": []});
        let order = |n: u64| replace(if n == 0 { 0 } else { 2 * n + 1 }, &body(n));
        let all = MAX_REMEMBERED_REVISIONS as u64 + 3;
        for n in 0..all {
            assert_eq!(agreed.apply(n + 1, &order(n)), CommandOutcome::Applied);
        }
        for n in 0..all {
            let known = if n < 3 {
                CommandOutcome::Expired
            } else {
                CommandOutcome::AlreadyApplied
            };
            assert_eq!(agreed.check(&order(n)), known, "order {n}");
        }
        // What can't have been taken is refused, also where its number is forgotten.
        let stale = replace(7, &json!({"rev": 5, "routes": [], "services": []}));
        assert_eq!(
            agreed.check(&stale),
            CommandOutcome::RevisionMismatch {
                current: agreed.revision
            }
        );
        let other = replace(2 * all - 1, &json!({"rev": 2 * all + 1, "routes": []}));
        assert_eq!(
            agreed.check(&other),
            CommandOutcome::RevisionMismatch {
                current: agreed.revision
            }
        );
        let restored = crate::snapshot::decode(&crate::snapshot::encode(&agreed).expect("written"));
        assert_eq!(restored.as_ref(), Ok(&agreed), "kept through a snapshot");
        let size = crate::snapshot::encode(&agreed).map_or(0, |data| data.len());
        assert!(size < 50_000, "{size} bytes");
    }

    #[test]
    fn what_was_refused_before_its_base_came_stays_refused() {
        let mut agreed = first();
        let early = replace(7, &whole(9, vec![route("a", "t")]));
        let verdict = agreed.check(&early);
        assert_eq!(verdict, CommandOutcome::RevisionMismatch { current: 5 });
        assert!(
            !agreed.is_final(&early, &verdict),
            "it has to stand in the log"
        );
        assert_eq!(agreed.apply(2, &early), verdict);
        assert!(agreed.is_final(&early, &verdict));
        assert_eq!(
            agreed.apply(3, &replace(5, &whole(7, vec![]))),
            CommandOutcome::Applied
        );
        assert_eq!(
            agreed.apply(4, &early),
            CommandOutcome::RevisionMismatch { current: 7 },
            "a copy of it, late"
        );
        let another = replace(7, &whole(10, vec![route("a", "t")]));
        assert_eq!(agreed.apply(5, &another), CommandOutcome::Applied);
        assert!(agreed.rejected_commands.is_empty(), "stale by now");
    }

    #[test]
    fn an_amendment_that_lost_its_race_is_stale_whatever_it_would_lead_to_now() {
        let mut agreed = first();
        let remove = |rev: u64, service: &str| {
            let body = json!({"rev": rev, "remove": {"services": [service]}});
            Command::Amend {
                base: 5,
                body: body.to_string(),
            }
        };
        let uses = json!({"rev": 7, "upsert": {"routes": [route("b", "t")]}});
        let uses = Command::Amend {
            base: 5,
            body: uses.to_string(),
        };
        assert_eq!(agreed.apply(2, &uses), CommandOutcome::Applied);
        assert_eq!(
            agreed.apply(3, &remove(8, "t")),
            CommandOutcome::RevisionMismatch { current: 7 }
        );
    }

    #[test]
    fn of_two_leaders_that_place_the_same_keys_one_is_heard() {
        use protocol::key_ranges::{LeaseHolder, Ownership};
        let mut agreed = first();
        let place = |was: u64, id: &str| {
            let addr = std::net::SocketAddr::from(([10, 0, 0, 1], 80));
            let owned = Ownership::Assigned(
                LeaseHolder {
                    id: id.into(),
                    addr,
                },
                None,
            );
            let changes = vec![KeyRangeChange {
                first: 0,
                last: u16::MAX,
                expected_token: was,
                ownership: owned,
            }];
            Command::AssignKeys {
                service: "s".into(),
                changes,
            }
        };
        assert_eq!(agreed.apply(7, &place(0, "a")), CommandOutcome::Applied);
        assert_eq!(
            agreed.apply(8, &place(0, "b")),
            CommandOutcome::Conflict,
            "decided on what was before"
        );
        assert_eq!(agreed.keys_index, 7);
        assert_eq!(agreed.apply(9, &place(1, "b")), CommandOutcome::Applied);
        assert_eq!((agreed.keys_index, agreed.config_index), (9, 1));
        let holder = agreed.keys["s"]
            .get(0)
            .and_then(|s| s.ownership.holder())
            .map(|h| h.id.as_str());
        assert_eq!(holder, Some("b"));
    }
}
