use serde_json::json;

use super::*;
use crate::wire::{decode_body, encode_frame};

/// Returns an operator's configuration with this many routes, which together cover each kind of value of each field.
fn config_text(routes: usize) -> String {
    let route = |n: usize| {
        let mut route = json!({"name": format!("r-{n:07x}"), "type": "mutating",
            "host": format!("host{}.example", n % 40), "path_prefix": format!("/p{n}/"),
            "deadline_ms": 2500 + n, "target_ms": u64::MAX - n as u64, "prio": n % 3,
            "svc": format!("s{}", n % 4), "tries": 2, "home_regions": []});
        if n.is_multiple_of(3) {
            route["type"] = json!("idempotent");
            route["home_regions"] = json!(["perth", "kalgoorlie"]);
        }
        if n.is_multiple_of(5) {
            route["svc"] = json!(null);
            route["split"] = json!([{"svc": "s0", "weight": 0}, {"svc": "s3", "weight": u32::MAX}]);
        }
        route
    };
    let service = |n: usize| {
        json!({"name": format!("s{n}"), "health_path": "/health", "max_conns": 140 + n,
            "protocol": "h1", "tls": false, "warmup_s": 3.5, "warmup_per_s": 0.1, "sharded": n == 2})
    };
    let routes: Vec<_> = (0..routes).map(route).collect();
    let services: Vec<_> = (0..4).map(service).collect();
    let limits = json!({"max_header_bytes": 1, "max_body_bytes": 2, "header_timeout_ms": 3,
        "idle_timeout_ms": 4});
    json!({"rev": u64::MAX, "routes": routes, "services": services, "limits": limits}).to_string()
}

#[test]
fn round_trip_in_a_third_of_the_json_size() {
    for routes in [0, 1, 7, 1500] {
        let text = config_text(routes);
        let config: Config = serde_json::from_str(&text).expect("valid");
        let frame = encode_frame(&CompactConfig::from_config(&config)).expect("a frame");
        let decoded: CompactConfig = decode_body(&frame[4..]).expect("rows");
        assert_eq!(decoded.to_config(), config, "{routes} routes");
        assert_eq!(decoded.revision(), config.revision);
        let is_small = routes < 1000 || 3 * frame.len() < text.len();
        assert!(is_small, "{} bytes for {}", frame.len(), text.len());
        assert!(
            routes < 1000 || frame.len() < 80 * routes,
            "{} bytes",
            frame.len()
        );
    }
}
