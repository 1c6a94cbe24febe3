//! Tests of request heads, load reports and attempt errors.

use hyper::header::{HeaderMap, HeaderName};
use hyper::{Method, StatusCode, Uri};
use load_balancing::interface::{AttemptOutcome, LoadReport};
use load_balancing::settings::LoadReportField;

use super::*;
use crate::request_body::RequestBody;
use crate::upstream_connection::{NothingSent, ResponseFault};

#[test]
fn named_load_report_ignores_invalid_values() {
    let fields = ["eps", "qps", "inflight"].map(|n| (n.to_string(), LoadReportField::from_name(n)));
    let load = LoadReportFormat::Named(fields.to_vec());
    let parse = |text: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("x-load", text.parse().expect("a header"));
        let r = load.parse(&headers);
        (r.errors_per_s, r.requests_per_s, r.inflight)
    };
    assert_eq!(
        parse("TEXT eps=0.5, qps=140, inflight=7"),
        (Some(0.5), Some(140.0), Some(7.0))
    );
    assert_eq!(
        parse("TEXT inflight=7,queue=2, qps=NaN, eps=x,"),
        (None, None, Some(7.0))
    );
    assert_eq!(
        parse("TEXT eps=-1, qps=1e300, inflight=0"),
        (None, None, Some(0.0))
    );
    assert_eq!(parse("JSON {\"eps\": 1}"), (None, None, None));
}

#[test]
fn slots_load_report_ignores_invalid_values() {
    let load = LoadReportFormat::Slots(HeaderName::from_static("upstream-load"));
    let parse = |text: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("upstream-load", text.parse().expect("a header"));
        let r = load.parse(&headers);
        (r.inflight, r.queued)
    };
    assert_eq!(parse("3,1,8"), (Some(3.0), Some(1.0)));
    assert_eq!(parse("3, x,8"), (Some(3.0), None));
    assert_eq!(parse(""), (None, None));
    assert_eq!(parse("-1,1e300,1"), (None, None));
}

pub(crate) fn test_protocol() -> UpstreamProtocol {
    UpstreamProtocol {
        deadline_header: HeaderName::from_static("x-deadline-ms"),
        target_header: None,
        not_run_header: HeaderName::from_static("x-not-run"),
        not_run_statuses: &[],
        request_id_header: None,
        seal_header: None,
        is_served: |s| s == StatusCode::OK,
        forwards_errors: false,
        load_report: LoadReportFormat::Named(Vec::new()),
    }
}

#[test]
fn forwarded_head_has_remaining_time_and_target() {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("h"));
    headers.insert(
        "target-instance",
        HeaderValue::from_static("chosen by a client"),
    );
    let forward = ForwardedRequest {
        method: Method::POST,
        uri: Uri::from_static("/api/x?q=1"),
        headers,
        body: RequestBody::default(),
    };
    let address = Cell::new(SocketAddr::from(([127, 0, 0, 1], 1)));
    let name = Some(HeaderValue::from_static("i-7"));
    let target = Target {
        address,
        name,
        closed_at: Cell::new(None),
    };
    let protocol = UpstreamProtocol {
        target_header: Some(HeaderName::from_static("target-instance")),
        ..test_protocol()
    };
    let head = forward.encode_head(&protocol, &target, Instant::now());
    assert_eq!(
        String::from_utf8_lossy(&head),
        "POST /api/x?q=1 HTTP/1.1\r\nhost: h\r\nx-deadline-ms: 0\r\ntarget-instance: i-7\r\n\
         content-length: 0\r\n\r\n"
    );
}

#[test]
fn attempt_error_says_whether_the_request_may_have_run() {
    use AttemptError as E;
    let reset = || std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let (fault, report) = (ResponseFault::ConnectionEnded, LoadReport::default());
    let (not_sent, not_issued) = (AttemptOutcome::ConnectFailed, AttemptOutcome::NotIssued);
    let (upstream, internal) = (ErrorOrigin::Upstream, ErrorOrigin::Internal);
    let incomplete = E::IncompleteResponse { fault, report };
    for (error, outcome, origin) in [
        (E::UnnamedUpstream, not_sent, internal),
        (E::ConnectionLimit, not_sent, internal),
        (E::Connect(reset()), not_sent, upstream),
        (E::ConnectTimeout, not_sent, upstream),
        (E::UpstreamClosed, not_issued, upstream),
        (E::RequestAbandoned, not_issued, ErrorOrigin::Downstream),
        (E::Send(NothingSent(reset())), not_sent, upstream),
        (E::DeadlineBeforeSent, not_sent, upstream),
        (E::ResponseTimeout, AttemptOutcome::Timeout, upstream),
        (incomplete, AttemptOutcome::Reset, upstream),
    ] {
        assert_eq!((error.outcome(), error.origin()), (outcome, origin));
        let may_have_run = ![not_sent, not_issued].contains(&outcome);
        assert_eq!(error.may_have_run(), may_have_run, "{error}");
    }
}
