//! Tests of differences between configurations.

use serde_json::json;

use super::*;

#[test]
fn added_changed_and_removed_items_are_named() {
    let old = json!({"routes": [{"name": "a", "svc": "s", "tries": 2}, {"name": "b"}],
        "services": [{"name": "s"}], "limits": {"max_body_bytes": 1}});
    let new = json!({"routes": [{"name": "a", "svc": "t", "tries": 2}, {"name": "c"}],
        "services": [{"name": "s"}, {"name": "t"}], "limits": {"max_body_bytes": 1}});
    assert_eq!(
        diff(&old, &new),
        [
            "+ services t: {\"name\":\"t\"}",
            "~ routes a: svc \"s\" -> \"t\"",
            "+ routes c: {\"name\":\"c\"}",
            "- routes b"
        ]
    );
    assert_eq!(diff(&new, &new), Vec::<String>::new());
    assert_eq!(
        diff(&Value::Null, &json!({"limits": {"x": 1}})),
        ["~ limits: x none -> 1"]
    );
}
