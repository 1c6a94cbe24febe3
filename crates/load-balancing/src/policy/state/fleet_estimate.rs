//! What the fleet of upstreams as a whole sustains for this balancer. Times are in microseconds.

use crate::fleet::peer_load::PeerLoad;
use crate::fleet::retry_budget::RetryBudget;
use crate::interface::Time;
use crate::policy::state::concurrency::ConcurrencyEstimate;

/// Weight of a new answer in the fleet's means.
const MEAN_GAIN: f64 = 0.02;

/// What is known of one class.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::policy) struct ClassEstimate {
    /// Mean latency; 0 before any answer.
    pub(in crate::policy) mean: f64,
    /// Mean deviation from it.
    pub(in crate::policy) deviation: f64,
    /// Share of the attempts for which a hedge was due and that were never answered, 0 to 1.
    pub(in crate::policy) unanswered_share: f64,
}

/// Estimates over all upstreams.
#[derive(Debug, Default)]
pub(in crate::policy) struct FleetEstimate {
    /// TS, the mean service time of all upstreams.
    pub(in crate::policy) service_time: f64,
    /// The mean of 2*TP_i over the upstreams where it is known.
    pub(in crate::policy) propagation: f64,
    /// By class.
    pub(in crate::policy) classes: Vec<ClassEstimate>,
    /// By class, its share in the recent answers, 0 to 1. By itself since every answer moves all of them, and
    /// there may be a thousand.
    pub(in crate::policy) class_share: Vec<f64>,
    /// The longest wait that each class can bear.
    pub(in crate::policy) max_queue_wait: f64,
    /// By kind of upstream.
    pub(in crate::policy) concurrency: Vec<ConcurrencyEstimate>,
    /// When the trials of other levels of concurrency began.
    pub(in crate::policy) trials_started_at: Time,
    /// This balancer's limit in even parts of the fleet.
    pub(in crate::policy) tolerance: f64,
    /// TS as it was in good times. Judged by the TS of the moment, a whole fleet of balancers that crowds the
    /// upstreams never looks crowded.
    pub(in crate::policy) uncrowded_service_time: f64,
    pub(in crate::policy) peer_load: PeerLoad,
    /// Retries that it may still make.
    pub(in crate::policy) retry_budget: RetryBudget,
    /// Answers of upstreams past their slow start, a decaying count by kind.
    pub(in crate::policy) warm_served: Vec<f64>,
    /// The highest rate of these per unit of weight that was seen lately, per microsecond, by kind.
    pub(in crate::policy) warm_rate: Vec<f64>,
    /// The same over all kinds.
    pub(in crate::policy) overall_warm_rate: f64,
    /// When these were last counted.
    pub(in crate::policy) warm_counted_at: Time,
}

impl FleetEstimate {
    /// Before any answer: `service_time` for every upstream, and nothing known of any class.
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

    /// Makes place for more classes, of which nothing is known.
    pub(in crate::policy) fn resize_classes(&mut self, classes: usize) {
        self.classes.resize(classes, ClassEstimate::default());
        self.class_share.resize(classes, 0.0);
    }

    /// The mean latency of a class; before any answer of it, that of the fleet.
    pub(in crate::policy) fn class_mean(&self, class: usize) -> f64 {
        let mean = self.classes[class].mean;
        if mean > 0.0 { mean } else { self.service_time }
    }

    /// Takes in the latency of a served request of this class.
    pub(in crate::policy) fn learn_latency(&mut self, class: usize, latency: f64) {
        self.service_time += (latency - self.service_time) * MEAN_GAIN;
        for share in &mut self.class_share {
            *share -= *share * MEAN_GAIN;
        }
        self.class_share[class] += MEAN_GAIN;
        let known = &mut self.classes[class];
        let is_first = known.mean == 0.0;
        let gain = if is_first { 1.0 } else { MEAN_GAIN };
        let deviation = if is_first {
            latency / 2.0
        } else {
            (latency - known.mean).abs()
        };
        known.deviation += (deviation - known.deviation) * gain;
        known.mean += (latency - known.mean) * gain;
    }
}
