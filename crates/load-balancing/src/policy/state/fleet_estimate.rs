//! Estimates over all upstreams; `fleet` stands for these here, not for the balancers. Times are in microseconds.

use crate::fleet::peer_load::PeerLoad;
use crate::fleet::retry_budget::RetryBudget;
use crate::interface::Time;
use crate::policy::state::concurrency::ConcurrencyEstimate;

/// Weight of a new answer in the means over all upstreams.
const MEAN_GAIN: f64 = 0.02;

/// Estimates for one class.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::policy) struct ClassEstimate {
    /// Mean latency; 0 before the first answer.
    pub(in crate::policy) mean: f64,
    /// Mean absolute deviation from the mean latency.
    pub(in crate::policy) deviation: f64,
    /// Share, 0 to 1, of the attempts for which a hedge was due that were never answered.
    pub(in crate::policy) unanswered_share: f64,
}

/// Estimates over all upstreams.
#[derive(Debug, Default)]
pub(in crate::policy) struct FleetEstimate {
    /// TS: the mean service time of all upstreams.
    pub(in crate::policy) service_time: f64,
    /// The mean of 2*TP_i over the upstreams for which it is known.
    pub(in crate::policy) propagation: f64,
    /// By class.
    pub(in crate::policy) classes: Vec<ClassEstimate>,
    /// By class, its share of recent answers, 0 to 1. Stored apart from `classes` because every answer changes all of
    /// the shares, and there may be a thousand.
    pub(in crate::policy) class_share: Vec<f64>,
    /// The longest queue wait that every class can tolerate.
    pub(in crate::policy) max_queue_wait: f64,
    /// By machine type.
    pub(in crate::policy) concurrency: Vec<ConcurrencyEstimate>,
    /// When the current concurrency trials began.
    pub(in crate::policy) trials_started_at: Time,
    /// This balancer's limit as a multiple of its even share of all upstream slots.
    pub(in crate::policy) tolerance: f64,
    /// TS under light load, by which crowded upstreams are recognized. If answers were compared with the current TS,
    /// upstreams that are all crowded at once would never look crowded.
    pub(in crate::policy) uncrowded_service_time: f64,
    pub(in crate::policy) peer_load: PeerLoad,
    /// Limits the retries that may still be sent.
    pub(in crate::policy) retry_budget: RetryBudget,
    /// By machine type, a decaying count of answers from warm upstreams, those past their slow start.
    pub(in crate::policy) warm_served: Vec<f64>,
    /// By machine type, the decaying peak rate of these answers per unit of weight, per microsecond.
    pub(in crate::policy) warm_rate: Vec<f64>,
    /// The decaying peak rate of these answers over all machine types, in the same unit.
    pub(in crate::policy) overall_warm_rate: f64,
    /// When the counts and rates of warm upstreams were last updated.
    pub(in crate::policy) warm_counted_at: Time,
}

impl FleetEstimate {
    /// Creates the estimate before any answer: `service_time` for every upstream, and nothing known about any class.
    pub(in crate::policy) fn new(
        classes: usize,
        uncrowded_service_time: f64,
        service_time: f64,
        tolerance: f64,
        now: Time,
    ) -> Self {
        Self {
            service_time,
            classes: vec![ClassEstimate::default(); classes],
            class_share: vec![0.0; classes],
            max_queue_wait: service_time,
            concurrency: vec![ConcurrencyEstimate::new()],
            trials_started_at: now,
            tolerance,
            uncrowded_service_time,
            peer_load: PeerLoad::new(now),
            warm_counted_at: now,
            ..Self::default()
        }
    }

    /// Adds classes of which nothing is known yet.
    pub(in crate::policy) fn resize_classes(&mut self, classes: usize) {
        self.classes.resize(classes, ClassEstimate::default());
        self.class_share.resize(classes, 0.0);
    }

    /// Discards what is known about a class, because its index now belongs to another one.
    pub(in crate::policy) fn forget_class(&mut self, class: usize) {
        self.classes[class] = ClassEstimate::default();
        self.class_share[class] = 0.0;
    }

    /// Returns the estimates of a class; those before the first answer for `None`.
    pub(in crate::policy) fn class(&self, class: Option<usize>) -> ClassEstimate {
        class.map_or(ClassEstimate::default(), |class| self.classes[class])
    }

    /// Returns the mean latency of a class, or the mean service time before the first answer of that class.
    pub(in crate::policy) fn class_mean(&self, class: Option<usize>) -> f64 {
        let mean = self.class(class).mean;
        if mean > 0.0 { mean } else { self.service_time }
    }

    /// Updates the means with the latency of a served request of this class; `None` for a class without estimates.
    pub(in crate::policy) fn learn_latency(&mut self, class: Option<usize>, latency: f64) {
        self.service_time += (latency - self.service_time) * MEAN_GAIN;
        for share in &mut self.class_share {
            *share -= *share * MEAN_GAIN;
        }
        let Some(class) = class else {
            return;
        };
        self.class_share[class] += MEAN_GAIN;
        let estimate = &mut self.classes[class];
        let is_first = estimate.mean == 0.0;
        let gain = if is_first { 1.0 } else { MEAN_GAIN };
        let deviation = if is_first {
            latency / 2.0
        } else {
            (latency - estimate.mean).abs()
        };
        estimate.deviation += (deviation - estimate.deviation) * gain;
        estimate.mean += (latency - estimate.mean) * gain;
    }
}
