//! Tests of `plan.rs`.

use super::*;

#[test]
fn an_error_names_the_invalid_key() {
    let wrong = [
        (r#"{"frots": 3}"#, "frots"),
        (r#"{"clients": {"rate": "x"}}"#, "clients.rate"),
        (r#"{"faults": [{"fault": {"node-slow": {}}, "at": 1, "until": 2}]}"#, "times"),
        (r#"{"faults": [{"fault": "node-silent", "at": 3, "until": 2}]}"#, "faults.0.at"),
        (
            r#"{"faults": [{"fault": "node-silent", "at": 1, "until": 2, "nodes": {"places": [10]}}]}"#,
            "nodes.places",
        ),
        (r#"{"programs": [{"name": "a", "share": 0.5}]}"#, "programs"),
    ];
    for (text, key) in wrong {
        let e = Plan::read(text).expect_err(text);
        assert!(e.contains(key), "{text}: {e}");
    }
    assert!(Plan::read("{}").is_ok());
    let first = serde_json::to_string(&Plan::first_look()).unwrap();
    assert!(Plan::read(&first).is_ok(), "{first}");
}
