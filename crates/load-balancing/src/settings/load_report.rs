//! Names of the values in a load report.

use super::span_from_ms;
use crate::interface::LoadReport;

/// The meaning of one value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportField {
    /// Requests in progress.
    InFlight,
    /// Queued requests.
    Queue,
    /// CPU utilization, 0 to 1.
    Util,
    /// Recent service time without queueing, in milliseconds.
    Service,
    /// Requests served per second.
    Qps,
    /// Errors per second.
    Eps,
    /// A name that this build does not know.
    Other,
}

impl LoadReportField {
    /// Returns the field with this name in the settings.
    pub fn from_name(name: &str) -> Self {
        match name {
            "inflight" => Self::InFlight,
            "queue" => Self::Queue,
            "util" => Self::Util,
            "latency_ms" => Self::Service,
            "qps" => Self::Qps,
            "eps" => Self::Eps,
            _ => Self::Other,
        }
    }

    /// Sets this field of a report to a reported value.
    pub fn set(self, report: &mut LoadReport, value: f64) {
        match self {
            Self::InFlight => report.inflight = Some(value),
            Self::Queue => report.queued = Some(value),
            Self::Util => report.utilization = Some(value),
            Self::Service => report.service_time = Some(span_from_ms(value)),
            Self::Qps => report.requests_per_s = Some(value),
            Self::Eps => report.errors_per_s = Some(value),
            Self::Other => {}
        }
    }
}
