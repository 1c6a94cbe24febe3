//! Which documents are too large to be parsed.

use super::*;

/// Guards against an estimate that misses a kind of value, and against one that refuses an ordinary configuration.
#[test]
fn size_of_every_kind_of_value_counts() {
    let kinds = ["null", "true", "1", "-1", "1.5", r#""abc""#, "[]", "{}"];
    for kind in kinds {
        let list = |values: usize| format!("[{}{kind}]", format!("{kind},").repeat(values - 1));
        assert!(!exceeds_parsed_size(&list(1), 2048), "{kind}");
        assert!(exceeds_parsed_size(&list(100), 2048), "{kind}");
        let mut cut = list(100);
        cut.pop();
        assert!(exceeds_parsed_size(&cut, 2048), "cut after {kind}");
    }
    let fields: Vec<_> = (0..100).map(|i| format!(r#""{i}":0"#)).collect();
    assert!(exceeds_parsed_size(
        &format!("{{{}}}", fields.join(",")),
        8192
    ));
    assert!(
        !exceeds_parsed_size("[,", 2048),
        "a syntax error is no size"
    );
}
