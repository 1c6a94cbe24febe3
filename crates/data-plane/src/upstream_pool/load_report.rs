//! Parses the load that upstreams report in response headers.

use hyper::header::{HeaderMap, HeaderName};
use load_balancing::interface::LoadReport;
use load_balancing::settings::LoadReportField;

/// Values outside of this range are considered erroneous and ignored.
const PLAUSIBLE_VALUES: std::ops::RangeInclusive<f64> = 0.0..=1e6;

/// The format of load reports.
pub enum LoadReportFormat {
    /// `X-Load: TEXT name=value, ...`, with the field that each name denotes.
    Named(Vec<(String, LoadReportField)>),
    /// Running requests, queued requests and slots, separated by commas, in this header.
    Slots(HeaderName),
}

impl LoadReportFormat {
    /// Parses the report from response headers. Values that are unknown, malformed or implausible are left out.
    pub(super) fn parse(&self, headers: &HeaderMap) -> LoadReport {
        match self {
            Self::Named(fields) => parse_named(fields, headers),
            Self::Slots(header) => parse_slots(header, headers),
        }
    }
}

fn parse_named(fields: &[(String, LoadReportField)], headers: &HeaderMap) -> LoadReport {
    let mut report = LoadReport::default();
    let text = header_text(headers, "x-load").and_then(|text| text.trim().strip_prefix("TEXT"));
    for pair in text.unwrap_or_default().split(',') {
        let Some((name, value)) = pair.split_once('=') else {
            continue;
        };
        let Ok(value) = value.trim().parse::<f64>() else {
            continue;
        };
        let known = fields.iter().find(|(known, _)| known == name.trim());
        if let Some((_, field)) = known.filter(|_| PLAUSIBLE_VALUES.contains(&value)) {
            field.set(&mut report, value);
        }
    }
    report
}

fn parse_slots(header: &HeaderName, headers: &HeaderMap) -> LoadReport {
    let mut values = header_text(headers, header.as_str())
        .unwrap_or_default()
        .split(',');
    let mut next = || {
        let value = values.next()?.trim().parse().ok();
        value.filter(|value| PLAUSIBLE_VALUES.contains(value))
    };
    // The fields must be initialized in the order of the values in the header.
    LoadReport {
        inflight: next(),
        queued: next(),
        ..LoadReport::default()
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
