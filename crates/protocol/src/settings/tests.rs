use super::*;

const VALID: &str = r#"{"node": "edge-1", "ip": "127.0.0.1", "zone": "a", "region": "r",
    "zone_map": {"a": "r"}, "listen": {}, "port_range": [7000, 7010], "of_later": 1}"#;

fn parse(text: &str) -> Result<Settings, String> {
    Settings::parse(Path::new("boot.json"), text.as_bytes()).map_err(|e| e.to_string())
}

#[test]
fn unknown_fields_are_ignored_and_missing_ones_default() {
    let settings = parse(VALID).expect("valid");
    assert_eq!(
        settings.internal_addr(),
        SocketAddr::from(([127, 0, 0, 1], 7000))
    );
    assert_eq!(settings.bounds.drain_ms, 2500);
}

#[test]
fn errors_name_file_field_and_line() {
    let wrong = parse(&VALID.replace("[7000, 7010]", "\n[7000, \"x\"]")).expect_err("a wrong type");
    assert!(
        wrong.contains("boot.json") && wrong.contains("port_range"),
        "{wrong}"
    );
    assert!(wrong.contains("line 3"), "{wrong}");
    let cut = parse(&VALID[..60]).expect_err("cut short");
    assert!(cut.contains("boot.json") && cut.contains("EOF"), "{cut}");
    let zone = parse(&VALID.replace("{\"a\"", "{\"b\"")).expect_err("an unknown zone");
    assert!(zone.contains("zone_map"), "{zone}");
}
