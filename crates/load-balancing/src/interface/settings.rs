//! What the balancer is told of its site: classes, tenants, limits and prices.

use super::Span;

/// What repeating a request can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: may be repeated freely.
    Safe,
    /// Upstreams of one dedup group drop repeats, for a while.
    Keyed,
    /// Not idempotent: must never run twice.
    Unsafe,
}

/// Which upstreams drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// An answer within this time earns the full value.
    pub latency_target: Span,
    /// The longest that a client waits.
    pub deadline: Span,
    /// Value of one request.
    pub value: f64,
    /// Share of the value that is earned by an answer after the latency target.
    pub late_value: f64,
    /// What a repeat does.
    pub effect: Effect,
    /// Which upstreams drop repeats of a keyed request.
    pub dedup_group: DedupGroup,
    /// For how long they do, from the sending of the first attempt that may have run.
    pub dedup_window: Span,
    /// The latency target grows by this multiple of a request's own work, up to the deadline.
    pub latency_target_stretch: f64,
    /// The response is a stream: [`Event::ResponseStarted`](super::Event::ResponseStarted) tells that it has
    /// begun.
    pub streaming: bool,
    /// Requests of such classes that share a key run one at a time, in the order of their arrival.
    pub in_order: bool,
    /// The only zones it may be sent to; `None` for any.
    pub zones: Option<Vec<u32>>,
    /// The only machine kinds it may be sent to; `None` for any.
    pub kinds: Option<Vec<u32>>,
    /// Most attempts of one request, where that is fewer than the site allows.
    pub max_attempts: Option<usize>,
    /// No new request has it: its figures bind no other class.
    pub retired: bool,
}

impl RequestClass {
    /// A class that may be repeated freely, of value 1, with this latency target and deadline.
    pub fn safe(latency_target: Span, deadline: Span) -> Self {
        Self {
            latency_target,
            deadline,
            value: 1.0,
            late_value: 0.0,
            effect: Effect::Safe,
            dedup_group: DedupGroup::All,
            dedup_window: Span(0),
            latency_target_stretch: 0.0,
            streaming: false,
            in_order: false,
            zones: None,
            kinds: None,
            max_attempts: None,
            retired: false,
        }
    }
}

/// A tenant and its quota share of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second within its quota, over all balancers.
    pub quota_rps: f64,
    /// Its share of the service.
    pub share: f64,
}

/// What the site allows.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most attempts of one request.
    pub max_attempts: usize,
    /// Two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Upstreams may be probed.
    pub probes: bool,
    /// Clients are given retry advice.
    pub retry_after: bool,
    /// Longest advice that a client heeds.
    pub max_retry_after: Span,
    /// A connection not made within this counts as failed.
    pub connect_timeout: Span,
    /// Idle connections close after this.
    pub keepalive: Span,
    /// Attempts that one connection carries at once.
    pub streams_per_conn: u32,
}

/// Figures of the rules on draining, slow start, retries and the list of upstreams.
#[derive(Clone, Debug)]
pub struct Rules {
    /// An upstream starts at this share of its capacity or more.
    pub slow_start_min_capacity: f64,
    /// It has its full capacity no later than this after its start.
    pub slow_start_duration: Span,
    /// Requests per second that one upstream may get during slow start, from all balancers together; 0 where
    /// nobody tells.
    pub slow_start_rate_per_s: f64,
    /// Where that rate is told: how long a send that was earned waits for a request before it is lost.
    pub slow_start_credit_ttl: Span,
    /// An upstream falls over when it is sent more than this multiple of its present capacity
    pub overload_multiple: f64,
    /// for this long.
    pub overload_window: Span,
    /// How long after a drain is known a request may still be sent.
    pub drain_grace: Span,
    /// A final answer this long after the client's deadline still counts.
    pub answer_slack: Span,
    /// Where the list must be requested: the longest silence before a change counts as told.
    pub membership_poll_interval: Span,
    /// Idle connections to a draining upstream must be closed within this; zero where no rule says so.
    pub drain_close_timeout: Span,
    /// How long a key is blocked after an attempt of an ordered class that may still be running.
    pub ordered_retry_delay: Span,
    /// Within any such time all balancers together may send as many retries as the next two fields say; zero
    /// where no rule says so.
    pub retry_window: Span,
    /// Retries allowed per request of that time,
    pub retry_ratio: f64,
    /// and so many more.
    pub retry_allowance: f64,
}

/// What things cost, each per first attempt, in shares of all value.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// Upstream work that served no answer, per work offered.
    pub waste: f64,
    /// A new connection.
    pub handshake: f64,
    /// A probe.
    pub probe: f64,
    /// Value that ends unserved after its latency target has passed.
    pub late_fail: f64,
}

/// Weights of the parts of the service that the site judges by.
#[derive(Clone, Debug, Default)]
pub struct ScoringMix {
    /// The whole run.
    pub whole: f64,
    /// Its worst stretch.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant.
    pub worst_tenant: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportSource {
    /// Nowhere.
    #[default]
    None,
    /// With answers and probes.
    Answers,
    /// With probes only.
    Probes,
}

/// What the balancer is told at its start, and again when it is reconfigured.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Request classes, by index.
    pub classes: Vec<RequestClass>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Balancers in the fleet, this one included.
    pub balancers: u32,
    /// This balancer's number among them, from 0.
    pub position: u32,
    /// Number of zones of the site.
    pub zones: u32,
    /// Zone of this balancer.
    pub zone: u32,
    /// How far each zone is: the time in which a request and its answer cross; empty where nobody tells.
    pub zone_distances: Vec<Span>,
    /// Events are delivered at most this often.
    pub tick: Span,
    /// The list of upstreams comes only when it is requested.
    pub membership_by_request: bool,
    /// What the site allows.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: Rules,
    /// What things cost.
    pub prices: Prices,
    /// How the service is judged.
    pub scoring_mix: ScoringMix,
    /// Value of a request beyond its tenant's quota, relative to its class's.
    pub over_quota_value: f64,
    /// Value counts by unit of work, not by request.
    pub value_by_work: bool,
    /// Clients mark their retries.
    pub clients_mark_retries: bool,
    /// Where load reports come from.
    pub load_report_source: LoadReportSource,
}

/// No timer may be set more often than this.
const MIN_TICK_US: i64 = 100;
/// An upstream that starts with no capacity at all would never get a request, and never warm up.
const MIN_SLOW_START_CAPACITY: f64 = 0.01;
/// The list is requested no more often than once in so many ticks.
const MIN_POLL_INTERVAL_TICKS: i64 = 10;

impl Settings {
    /// One balancer with these classes, one zone, three attempts a request, and no further rules or prices: a
    /// start to fill in from.
    pub fn basic(classes: Vec<RequestClass>) -> Self {
        Self {
            classes,
            tenants: Vec::new(),
            balancers: 1,
            position: 0,
            zones: 1,
            zone: 0,
            zone_distances: Vec::new(),
            tick: Span(1000),
            membership_by_request: false,
            limits: Limits::basic(),
            rules: Rules::basic(),
            prices: Prices::default(),
            scoring_mix: ScoringMix {
                whole: 1.0,
                ..ScoringMix::default()
            },
            over_quota_value: 1.0,
            value_by_work: false,
            clients_mark_retries: false,
            load_report_source: LoadReportSource::None,
        }
    }

    /// The same settings with unsafe figures replaced by safe ones.
    ///
    /// # Errors
    /// Where no safe reading exists: no class at all, or a latency target or deadline of zero or less.
    pub fn into_validated(mut self) -> Result<Self, SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if let Some(i) = self
            .classes
            .iter()
            .position(|c| c.latency_target.0 <= 0 || c.deadline.0 <= 0)
        {
            return Err(SettingsError::InvalidLatencyTarget(i));
        }
        // A zero tick or slow-start capacity would stop a clock or an upstream for good.
        self.tick.0 = self.tick.0.max(MIN_TICK_US);
        self.balancers = self.balancers.max(1);
        self.limits.max_attempts = self.limits.max_attempts.max(1);
        // Where clients are given no advice, the longest that they heed is none.
        self.limits.max_retry_after = if self.limits.retry_after {
            Span(self.limits.max_retry_after.0.max(0))
        } else {
            Span(0)
        };
        let rules = &mut self.rules;
        rules.slow_start_min_capacity = rules
            .slow_start_min_capacity
            .clamp(MIN_SLOW_START_CAPACITY, 1.0);
        rules.membership_poll_interval.0 = rules
            .membership_poll_interval
            .0
            .max(self.tick.0.saturating_mul(MIN_POLL_INTERVAL_TICKS));
        Ok(self)
    }
}

impl Limits {
    fn basic() -> Self {
        Self {
            max_attempts: 3,
            hedging: false,
            cancel: false,
            probes: false,
            retry_after: false,
            max_retry_after: Span(0),
            connect_timeout: Span(0),
            keepalive: Span(0),
            streams_per_conn: 1,
        }
    }
}

impl Rules {
    fn basic() -> Self {
        Self {
            slow_start_min_capacity: 1.0,
            slow_start_duration: Span(0),
            slow_start_rate_per_s: 0.0,
            slow_start_credit_ttl: Span(500_000),
            overload_multiple: 1.0,
            overload_window: Span(0),
            drain_grace: Span(0),
            answer_slack: Span(0),
            membership_poll_interval: Span(0),
            drain_close_timeout: Span(0),
            ordered_retry_delay: Span(0),
            retry_window: Span(0),
            retry_ratio: 0.0,
            retry_allowance: 0.0,
        }
    }
}

/// Why settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// No request could be judged.
    #[error("settings name no request class")]
    NoClasses,
    /// A latency target or deadline that no answer can meet.
    #[error("class {0} has an aim or deadline that is not above zero")]
    InvalidLatencyTarget(usize),
    /// Requests of a class may be open, and an index must not change its meaning under them.
    #[error("there were {0} classes before, and now fewer")]
    FewerClasses(usize),
}
