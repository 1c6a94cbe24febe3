//! What goes to upstreams and what of their answers is understood.

use super::*;

#[test]
fn a_load_report_is_read_as_far_as_it_is_understood() {
    let fields = ["eps", "qps", "inflight"].map(|n| (n.to_string(), LoadReportField::from_name(n)));
    let load = LoadReportFormat::Named(fields.to_vec());
    let read = |text: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("x-load", text.parse().expect("a header"));
        let r = load.report(&headers);
        (r.errors_per_s, r.requests_per_s, r.inflight)
    };
    assert_eq!(
        read("TEXT eps=0.5, qps=140, inflight=7"),
        (Some(0.5), Some(140.0), Some(7.0))
    );
    assert_eq!(
        read("TEXT inflight=7,queue=2, qps=NaN, eps=x,"),
        (None, None, Some(7.0))
    );
    assert_eq!(
        read("TEXT eps=-1, qps=1e300, inflight=0"),
        (None, None, Some(0.0))
    );
    assert_eq!(read("JSON {\"eps\": 1}"), (None, None, None));
}

#[test]
fn load_told_by_slots_is_read_as_far_as_it_is_understood() {
    let load = LoadReportFormat::Slots(HeaderName::from_static("upstream-load"));
    let read = |text: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("upstream-load", text.parse().expect("a header"));
        let r = load.report(&headers);
        (r.inflight, r.queued)
    };
    assert_eq!(read("3,1,8"), (Some(3.0), Some(1.0)));
    assert_eq!(read("3, x,8"), (Some(3.0), None));
    assert_eq!(read(""), (None, None));
    assert_eq!(read("-1,1e300,1"), (None, None));
}

pub(crate) fn dialect() -> UpstreamProtocol {
    UpstreamProtocol {
        deadline: HeaderName::from_static("x-deadline-ms"),
        target: None,
        not_run: HeaderName::from_static("x-not-run"),
        refusals: &[],
        echo: None,
        seal: None,
        served: |s| s == StatusCode::OK,
        passes_errors: false,
        load: LoadReportFormat::Named(Vec::new()),
    }
}

#[test]
fn a_head_goes_on_with_what_is_left_of_its_time_and_the_name_of_who_is_meant() {
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
        body: Bytes::new(),
    };
    let address = Cell::new(SocketAddr::from(([127, 0, 0, 1], 1)));
    let name = Some(HeaderValue::from_static("i-7"));
    let target = Target {
        address,
        name,
        closed_from: Cell::new(None),
    };
    let dialect = UpstreamProtocol {
        target: Some(HeaderName::from_static("target-instance")),
        ..dialect()
    };
    let head = forward.head(&dialect, &target, Instant::now());
    assert_eq!(
        String::from_utf8_lossy(&head),
        "POST /api/x?q=1 HTTP/1.1\r\nhost: h\r\nx-deadline-ms: 0\r\ntarget-instance: i-7\r\n\
         content-length: 0\r\n\r\n"
    );
}
