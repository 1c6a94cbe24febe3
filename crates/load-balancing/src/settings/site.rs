//! The JSON format of a site's settings, and its conversion to a balancer's [`Settings`](interface::Settings).
//!
//! Times in JSON are in milliseconds.

use serde::Deserialize;

use super::span_from_ms;
use crate::interface::{self, Span};

fn one() -> f64 {
    1.0
}

/// All settings of a site.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SiteSettings {
    /// Balancers in the fleet.
    pub balancers: u32,
    /// This balancer's position in the fleet, from 0.
    #[serde(default)]
    pub position: u32,
    /// Index of this balancer's zone.
    #[serde(default)]
    pub zone: u32,
    /// Names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Names of the machine types.
    #[serde(default)]
    pub machine_types: Vec<String>,
    /// Shortest interval between deliveries of events, in milliseconds.
    pub tick: f64,
    /// How the balancer gets the list of upstreams.
    pub registry_mode: RegistryMode,
    /// Request classes.
    pub services: Vec<Service>,
    /// Tenants; may be empty.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// Limits of the site.
    pub policy_limits: PolicyLimits,
    /// Parameters for draining, slow start and the list of upstreams.
    pub safety: Safety,
    /// Costs.
    #[serde(default)]
    pub prices: Prices,
    /// Load reports of upstreams.
    #[serde(default)]
    pub stats: Stats,
    /// How the service is rated.
    #[serde(default)]
    pub scoring_mix: ScoringMix,
    /// Behaviour of clients.
    #[serde(default)]
    pub client_habits: ClientHabits,
    /// The unit that value counts by.
    #[serde(default)]
    pub counted_by: CountedBy,
    /// Value of a request beyond its tenant's quota, relative to the value of its class.
    #[serde(default = "one", rename = "OverShareWorth")]
    pub over_quota_value: f64,
}

/// Weights of the measures by which the site rates the service.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct ScoringMix {
    /// The whole run.
    pub whole: f64,
    /// The worst time window of the run.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant.
    pub worst_tenant: f64,
}

/// Behaviour of clients.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct ClientHabits {
    /// Whether they mark their retries.
    pub marks_retry: bool,
}

/// The unit that value counts by.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum CountedBy {
    /// Per request.
    #[default]
    Request,
    /// Per unit of work.
    Work,
}

/// How the balancer gets the list of upstreams.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum RegistryMode {
    /// It is sent without a request.
    Automatic,
    /// It must be requested.
    Subscribe,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Service {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// An answer within this time earns the full value, in milliseconds.
    #[serde(rename = "Aim")]
    pub latency_target: f64,
    /// Longest time that a client waits, in milliseconds.
    pub deadline: f64,
    /// Effect of running a request more than once.
    pub effect: Effect,
    /// The upstreams that together drop repeats.
    #[serde(default, rename = "Group")]
    pub dedup_group: Group,
    /// Value of one request.
    #[serde(default = "one", rename = "Importance")]
    pub value: f64,
    /// Share of the value that an answer after the latency target earns.
    #[serde(default)]
    pub late_value: f64,
    /// For how long upstreams drop repeats, in milliseconds.
    #[serde(default, rename = "Window")]
    pub dedup_window: f64,
    /// The latency target grows by this multiple of a request's work.
    #[serde(default, rename = "AimStretch")]
    pub latency_target_stretch: f64,
    /// Whether the response is a stream.
    #[serde(default)]
    pub streaming: bool,
    /// Whether requests with the same key run one at a time, in order of arrival.
    #[serde(default, rename = "ByArrival")]
    pub in_order: bool,
    /// The zones that its requests may be sent to, by index; absent for any.
    #[serde(default, rename = "ZonesAllowed")]
    pub zones: Option<Vec<u32>>,
    /// The machine types that its requests may be sent to, by index; absent for any.
    #[serde(default, rename = "BoundTo")]
    pub kinds: Option<Vec<u32>>,
}

/// Effect of running a request more than once.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Idempotent: may be repeated any number of times.
    Retryable,
    /// Deduplicated: the upstreams of one dedup group drop repeats within the dedup window.
    Dedup,
    /// Not idempotent: must never run twice.
    Fragile,
}

/// The set of upstreams that together deduplicate requests.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All upstreams.
    #[default]
    All,
    /// The upstreams of one zone.
    Zone,
    /// The upstreams of one cell.
    Cell,
}

/// A tenant and its quota.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Tenant {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// Its quota in requests per second, over all balancers.
    #[serde(default)]
    pub quota_rps: f64,
    /// Its share of the service.
    #[serde(default)]
    pub share: f64,
}

/// Limits of the site.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct PolicyLimits {
    /// Maximum number of attempts per request.
    pub max_attempts: usize,
    /// Whether two attempts of a request may be in flight at once.
    #[serde(default, rename = "SecondCopies")]
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    #[serde(default, rename = "Cancelling")]
    pub cancel: bool,
    /// Whether upstreams may be probed.
    #[serde(default)]
    pub probes: bool,
    /// Whether rejected clients are told when to retry.
    #[serde(default)]
    pub retry_after: bool,
    /// Longest retry delay that clients respect, in milliseconds.
    #[serde(default)]
    pub max_retry_after: f64,
    /// Time after which a connection attempt has failed, in milliseconds.
    #[serde(default)]
    pub connect_timeout: f64,
    /// Time after which idle connections close, in milliseconds.
    #[serde(default)]
    pub keepalive: f64,
    /// Number of concurrent attempts per connection.
    #[serde(default)]
    pub streams_per_conn: u32,
}

/// Parameters for draining, slow start and the list of upstreams.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Safety {
    /// If the list must be requested: time after which a change of the list counts as known to the balancer, even if it
    /// has had no news of the list; in milliseconds.
    #[serde(default, rename = "AskEvery")]
    pub membership_poll_interval: f64,
    /// How long requests may still be sent to an upstream after its drain has become known, in milliseconds.
    #[serde(default)]
    pub drain_grace: f64,
    /// How long after the client's deadline an answer still counts, in milliseconds.
    #[serde(default)]
    pub answer_slack: f64,
    /// Time after its start by which an upstream has its full capacity, in milliseconds.
    #[serde(rename = "Cold")]
    pub slow_start_duration: f64,
    /// Share of its capacity that an upstream has when it starts.
    #[serde(rename = "ColdFrom")]
    pub slow_start_min_capacity: f64,
    /// An upstream fails if it is sent more than this multiple of its present capacity for `overload_window`.
    #[serde(rename = "FallMultiple")]
    pub overload_multiple: f64,
    /// Time after which an upstream that gets too many requests fails, in milliseconds; see `overload_multiple`.
    #[serde(rename = "TipAfter")]
    pub overload_window: f64,
    /// Time within which idle connections to a draining upstream must be closed, in milliseconds.
    #[serde(default, rename = "DrainClose")]
    pub drain_close_timeout: f64,
    /// How long a key is blocked after an attempt that may still be running, in milliseconds.
    #[serde(default, rename = "TurnGap")]
    pub ordered_retry_delay: f64,
}

/// Costs, as shares of the total value.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct Prices {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// Upstream work whose answer no client got.
    pub waste: f64,
    /// A new connection.
    pub handshake: f64,
    /// A probe.
    pub probe: f64,
    /// Requests that end unserved after their latency target, by value.
    pub late_fail: f64,
}

/// Load reports of upstreams.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub struct Stats {
    /// Names of the values in a report, in order; see [`LoadReportField`](crate::settings::LoadReportField).
    pub names: Vec<String>,
    /// How upstreams send reports.
    #[serde(rename = "How")]
    pub mode: LoadReportMode,
}

/// How upstreams send load reports.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum LoadReportMode {
    /// With answers and probes.
    Piggyback,
    /// With probes only.
    Pull,
    /// Not at all.
    #[default]
    Silent,
}

impl SiteSettings {
    /// Converts to the settings of a balancer of this site.
    pub fn to_settings(&self) -> interface::Settings {
        interface::Settings {
            classes: self.services.iter().map(|s| s.to_class().into()).collect(),
            tenants: self.tenants.iter().map(Tenant::to_tenant).collect(),
            balancers: self.balancers,
            position: self.position,
            zones: self.zones.len() as u32,
            zone: self.zone,
            zone_distances: Vec::new(),
            tick: span_from_ms(self.tick),
            membership_by_request: self.registry_mode == RegistryMode::Subscribe,
            limits: self.policy_limits.to_limits(),
            rules: self.safety.to_rules(),
            prices: self.prices.to_prices(),
            scoring_mix: self.scoring_mix.to_scoring_mix(),
            over_quota_value: self.over_quota_value,
            value_by_work: self.counted_by == CountedBy::Work,
            clients_mark_retries: self.client_habits.marks_retry,
            load_report_source: match self.stats.mode {
                LoadReportMode::Piggyback => interface::LoadReportSource::Answers,
                LoadReportMode::Pull => interface::LoadReportSource::Probes,
                LoadReportMode::Silent => interface::LoadReportSource::None,
            },
        }
    }
}

impl Service {
    fn to_class(&self) -> interface::RequestClass {
        interface::RequestClass {
            id: 0,
            latency_target: span_from_ms(self.latency_target),
            deadline: span_from_ms(self.deadline),
            value: self.value,
            late_value: self.late_value,
            effect: match self.effect {
                Effect::Retryable => interface::Effect::Safe,
                Effect::Dedup => interface::Effect::Keyed,
                Effect::Fragile => interface::Effect::Unsafe,
            },
            dedup_group: match self.dedup_group {
                Group::All => interface::DedupGroup::All,
                Group::Zone => interface::DedupGroup::Zone,
                Group::Cell => interface::DedupGroup::Cell,
            },
            dedup_window: span_from_ms(self.dedup_window),
            latency_target_stretch: self.latency_target_stretch,
            streaming: self.streaming,
            in_order: self.in_order,
            zones: self.zones.clone(),
            kinds: self.kinds.clone(),
            max_attempts: None,
            retired: false,
        }
    }
}

impl Tenant {
    fn to_tenant(&self) -> interface::Tenant {
        interface::Tenant {
            quota_rps: self.quota_rps,
            share: self.share,
        }
    }
}

impl PolicyLimits {
    fn to_limits(&self) -> interface::Limits {
        interface::Limits {
            max_attempts: self.max_attempts,
            hedging: self.hedging,
            cancel: self.cancel,
            probes: self.probes,
            retry_after: self.retry_after,
            max_retry_after: span_from_ms(self.max_retry_after),
            connect_timeout: span_from_ms(self.connect_timeout),
            keepalive: span_from_ms(self.keepalive),
            streams_per_conn: self.streams_per_conn,
        }
    }
}

impl Safety {
    /// Converts the parameters. A slow-start rate and a retry budget can't be set by this format.
    fn to_rules(&self) -> interface::Rules {
        interface::Rules {
            slow_start_min_capacity: self.slow_start_min_capacity,
            slow_start_duration: span_from_ms(self.slow_start_duration),
            slow_start_rate_per_s: 0.0,
            slow_start_credit_ttl: Span(0),
            overload_multiple: self.overload_multiple,
            overload_window: span_from_ms(self.overload_window),
            drain_grace: span_from_ms(self.drain_grace),
            answer_slack: span_from_ms(self.answer_slack),
            membership_poll_interval: span_from_ms(self.membership_poll_interval),
            drain_close_timeout: span_from_ms(self.drain_close_timeout),
            ordered_retry_delay: span_from_ms(self.ordered_retry_delay),
            retry_window: Span(0),
            retry_ratio: 0.0,
            retry_allowance: 0.0,
        }
    }
}

impl Prices {
    fn to_prices(&self) -> interface::Prices {
        interface::Prices {
            cross_zone: self.cross_zone,
            waste: self.waste,
            handshake: self.handshake,
            probe: self.probe,
            late_fail: self.late_fail,
        }
    }
}

impl ScoringMix {
    fn to_scoring_mix(&self) -> interface::ScoringMix {
        interface::ScoringMix {
            whole: self.whole,
            worst_window: self.worst_window,
            worst_class: self.worst_class,
            worst_tenant: self.worst_tenant,
        }
    }
}
