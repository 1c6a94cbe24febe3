//! Values derived from the settings alone.

use crate::interface::{RequestClass, Settings, Span};

/// Sweep interval as a share of the shortest latency target, short enough that queued requests are rejected close to
/// their limit.
const SWEEP_SHARE_OF_TARGET: f64 = 1.0 / 32.0;

impl Settings {
    /// Returns the classes that new requests may have. Without this filter, a route that had been moved or removed kept
    /// constraining the remaining routes of its former service by its latency target.
    pub(in crate::policy) fn active_classes(&self) -> impl Iterator<Item = &RequestClass> {
        let classes = self.classes.iter().map(AsRef::as_ref);
        classes.filter(|class: &&RequestClass| !class.retired)
    }

    /// Returns the mean latency target of the active classes in microseconds.
    pub(in crate::policy) fn mean_latency_target(&self) -> f64 {
        let (count, sum) = self.active_classes().fold((0.0, 0.0), |(count, sum), c| {
            (count + 1.0, sum + c.latency_target.as_micros())
        });
        if count > 0.0 {
            sum / count
        } else {
            self.classes[0].latency_target.as_micros()
        }
    }

    /// Returns the interval between sweeps, which do the periodic housekeeping, where every class has at least this
    /// latency target.
    pub(in crate::policy) fn sweep_interval(&self, latency_target: Span) -> Span {
        let interval = (latency_target.0 as f64 * SWEEP_SHARE_OF_TARGET) as i64;
        Span(interval.max(self.tick.0))
    }

    /// Returns the shortest latency target of all classes.
    pub(in crate::policy) fn shortest_latency_target(&self) -> Span {
        let targets = self.classes.iter().map(|class| class.latency_target);
        targets.min().unwrap_or(Span(0))
    }
}
