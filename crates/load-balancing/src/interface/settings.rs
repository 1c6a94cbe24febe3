//! Settings of a balancer: request classes, tenants, limits, rules and prices of its site.

use std::sync::Arc;

use super::Span;

/// Effect of running a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: may be repeated any number of times.
    Safe,
    /// Deduplicated: the upstreams of one dedup group drop repeats within the dedup window.
    Keyed,
    /// Not idempotent: must never run twice.
    Unsafe,
}

/// The set of upstreams that together deduplicate a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All upstreams.
    All,
    /// The upstreams of one zone.
    Zone,
    /// The upstreams of one cell.
    Cell,
}

/// A class of requests. What it allows for a request is fixed when the request is accepted: see
/// [`Request::accepted_class`](super::Request::accepted_class).
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Identifies the class among those that have the same index one after the other. Estimates are kept for an index
    /// while its class has the same id, whatever else changes. 0 where indexes are never reused.
    pub id: u64,
    /// An answer within this time earns the full value.
    pub latency_target: Span,
    /// Longest time that a client waits.
    pub deadline: Span,
    /// Value of one request.
    pub value: f64,
    /// Share of the value that an answer after the latency target earns.
    pub late_value: f64,
    /// Effect of running a request more than once.
    pub effect: Effect,
    /// The upstreams that deduplicate a keyed request together: once one of them has run it, none of them runs it again
    /// within `dedup_window`.
    pub dedup_group: DedupGroup,
    /// For how long the dedup group drops repeated attempts of a keyed request, counted from when the first attempt
    /// that may have run was sent.
    pub dedup_window: Span,
    /// The latency target grows by this multiple of a request's own work, up to the deadline.
    pub latency_target_stretch: f64,
    /// Whether the response is a stream, whose beginning the host reports by
    /// [`Event::ResponseStarted`](super::Event::ResponseStarted).
    pub streaming: bool,
    /// Whether requests with the same key run one at a time, in order of arrival. This holds across all such
    /// classes.
    pub in_order: bool,
    /// The zones that its requests may be sent to; `None` for any.
    pub zones: Option<Vec<u32>>,
    /// The machine types that its requests may be sent to; `None` for any.
    pub kinds: Option<Vec<u32>>,
    /// Maximum number of attempts per request, if lower than the site's limit.
    pub max_attempts: Option<usize>,
    /// Whether the class gets no new requests; its settings then don't affect other classes.
    pub retired: bool,
}

impl RequestClass {
    /// Returns an idempotent class of value 1 with this latency target and deadline.
    pub fn safe(latency_target: Span, deadline: Span) -> Self {
        Self {
            id: 0,
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

    /// Returns the maximum number of attempts per request at a site with this limit.
    pub fn max_attempts_within(&self, site_limit: usize) -> usize {
        let own_limit = self.max_attempts.unwrap_or(site_limit);
        own_limit.min(site_limit)
    }
}

/// A tenant and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its quota in requests per second, over all balancers.
    pub quota_rps: f64,
    /// Its share of the service.
    pub share: f64,
}

/// Limits of the site.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of attempts per request.
    pub max_attempts: usize,
    /// Whether two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether upstreams may be probed.
    pub probes: bool,
    /// Whether rejected clients are told when to retry.
    pub retry_after: bool,
    /// Longest retry delay that clients respect.
    pub max_retry_after: Span,
    /// Time after which a connection attempt has failed.
    pub connect_timeout: Span,
    /// Time after which idle connections close.
    pub keepalive: Span,
    /// Number of concurrent attempts per connection.
    pub streams_per_conn: u32,
}

/// Parameters for draining, slow start, retries and the list of upstreams.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Minimum share of its capacity that an upstream has when it starts.
    pub slow_start_min_capacity: f64,
    /// Time after its start by which an upstream has its full capacity.
    pub slow_start_duration: Span,
    /// Requests per second that one upstream may get during slow start, from all balancers together; 0 if not
    /// set.
    pub slow_start_rate_per_s: f64,
    /// How long an unused send credit remains valid, if `slow_start_rate_per_s` is set.
    pub slow_start_credit_ttl: Span,
    /// An upstream fails if it is sent more than this multiple of its present capacity for `overload_window`.
    pub overload_multiple: f64,
    /// Time after which an upstream that gets too many requests fails; see `overload_multiple`.
    pub overload_window: Span,
    /// How long requests may still be sent to an upstream after its drain has become known.
    pub drain_grace: Span,
    /// How long after the client's deadline an answer still counts.
    pub answer_slack: Span,
    /// If the list must be requested: time after which a change of the list counts as known to the balancer, even if it
    /// has had no news of the list.
    pub membership_poll_interval: Span,
    /// Time within which idle connections to a draining upstream must be closed; zero for no such rule.
    pub drain_close_timeout: Span,
    /// How long a key is blocked after an attempt of an ordered class that may still be running.
    pub ordered_retry_delay: Span,
    /// Window of the retry budget: within any such time, all balancers together may send `retry_ratio` retries per
    /// request plus `retry_allowance`. Zero for no limit.
    pub retry_window: Span,
    /// Retries allowed per request within the window.
    pub retry_ratio: f64,
    /// Retries that all balancers together are allowed within the window in addition to `retry_ratio`.
    pub retry_allowance: f64,
}

/// Costs, each per first attempt, as shares of the total value.
#[derive(Clone, Debug, Default)]
pub struct Prices {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// Upstream work whose answer no client got, relative to the work offered.
    pub waste: f64,
    /// A new connection.
    pub handshake: f64,
    /// A probe.
    pub probe: f64,
    /// Requests that end unserved after their latency target, by value.
    pub late_fail: f64,
}

/// Weights of the measures by which the site rates the service.
#[derive(Clone, Debug, Default)]
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

/// Where load reports come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportSource {
    /// There are no load reports.
    #[default]
    None,
    /// Answers to requests and to probes carry load reports.
    Answers,
    /// Only answers to probes carry load reports.
    Probes,
}

/// Settings of a balancer, passed at its start and when it is reconfigured.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Request classes, by index. Shared with the requests that were accepted with them.
    pub classes: Vec<Arc<RequestClass>>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Balancers in the fleet, this one included.
    pub balancers: u32,
    /// This balancer's position in the fleet, from 0.
    pub position: u32,
    /// Number of zones of the site.
    pub zones: u32,
    /// Zone of this balancer.
    pub zone: u32,
    /// Network round-trip time to each zone, by index; empty if unknown.
    pub zone_distances: Vec<Span>,
    /// Shortest interval between deliveries of events.
    pub tick: Span,
    /// Whether the list of upstreams must be requested.
    pub membership_by_request: bool,
    /// Limits of the site.
    pub limits: Limits,
    /// Parameters for draining, slow start, retries and the list of upstreams.
    pub rules: Rules,
    /// Costs.
    pub prices: Prices,
    /// How the service is rated.
    pub scoring_mix: ScoringMix,
    /// Value of a request beyond its tenant's quota, relative to the value of its class.
    pub over_quota_value: f64,
    /// Whether value counts per unit of work rather than per request.
    pub value_by_work: bool,
    /// Whether clients mark their retries.
    pub clients_mark_retries: bool,
    /// Where load reports come from.
    pub load_report_source: LoadReportSource,
}

/// Lower bound of [`Settings::tick`], in microseconds.
const MIN_TICK_US: i64 = 100;
/// Lower bound of [`Rules::slow_start_min_capacity`]: an upstream that starts without any capacity would never get a
/// request, and never warm up.
const MIN_SLOW_START_CAPACITY: f64 = 0.01;
/// Lower bound of [`Rules::membership_poll_interval`], in ticks.
const MIN_POLL_INTERVAL_TICKS: i64 = 10;

impl Settings {
    /// Returns settings for one balancer in one zone with these classes, three attempts per request, and no further
    /// rules or prices.
    pub fn basic(classes: impl IntoIterator<Item = impl Into<Arc<RequestClass>>>) -> Self {
        Self {
            classes: classes.into_iter().map(Into::into).collect(),
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

    /// Returns the settings with out-of-range values replaced by the nearest valid ones.
    ///
    /// # Errors
    /// Returns an error if there is no class, or a latency target or deadline is not above zero: no valid value can be
    /// assumed.
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
        // With a tick of zero, time would never advance.
        self.tick.0 = self.tick.0.max(MIN_TICK_US);
        self.balancers = self.balancers.max(1);
        self.limits.max_attempts = self.limits.max_attempts.max(1);
        // Without advice to clients, there is no retry delay that they respect.
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

/// Reason for which settings are rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// There is no request class, so no request could be handled.
    #[error("the settings contain no request class")]
    NoClasses,
    /// A latency target or deadline is not above zero, so no answer could meet it.
    #[error("class {0}: latency target and deadline must be above zero")]
    InvalidLatencyTarget(usize),
    /// Classes were removed. Estimates are kept by index, so the number of classes must not decrease.
    #[error("there are fewer classes than the {0} of the previous settings")]
    FewerClasses(usize),
}
