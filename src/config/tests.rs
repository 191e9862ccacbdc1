//! Tests of `mod.rs`: which files are refused, and with which errors.

use super::*;
use serde_json::json;

/// The example of an operator's file, split into a platform's file and an operator's.
fn files() -> (Value, toml::Table) {
    let mut own: toml::Table = toml::from_str(include_str!("../../deploy/operator.toml")).unwrap();
    let settings = serde_json::to_value(own.remove("settings").unwrap()).unwrap();
    own.remove("limits");
    own.remove("name");
    let platform = json!({"name": "n3", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "coordinator": "127.0.0.1:8500",
        "flow_bytes_per_s": 310_000, "known": {"index": 0, "updates": []}, "settings": settings});
    (platform, own)
}

fn read_error(platform: &str, operator: Option<&str>) -> String {
    let operator = operator.map(|text| ("front.toml", text));
    let config = read(Some(("node.json", platform.as_bytes())), operator);
    config.map(|c| c.name).expect_err("it is refused")
}

/// Sets the value at a path.
fn with(mut tree: Value, path: &str, value: Value) -> String {
    let at = path.split('.').fold(&mut tree, |at, key| match key.parse::<usize>() {
        Ok(i) => &mut at[i],
        Err(_) => &mut at[key],
    });
    *at = value;
    tree.to_string()
}

#[test]
fn both_example_files_are_accepted() {
    let (platform, own) = files();
    let text = platform.to_string();
    assert!(read(Some(("node.json", text.as_bytes())), None).is_ok());
    let own = toml::to_string(&own).unwrap();
    let both = read(Some(("node.json", text.as_bytes())), Some(("front.toml", &own)));
    assert!(both.is_ok(), "{:?}", both.err());
    // Unknown keys in the platform's file are ignored.
    let more = with(platform, "settings.caps.some-day", json!([1, {"a": null}]));
    assert!(read(Some(("node.json", more.as_bytes())), None).is_ok());
}

#[test]
fn invalid_value_is_reported_with_file_key_and_expectation() {
    let cases = [
        ("limits.sockets", json!("many"), "a number above 0"),
        ("limits.memory_mb", json!(-1), "a number above 0"),
        ("listen", json!("here"), "an address and a port"),
        ("coordinator", json!(8500), "a text"),
        ("seed", json!("xyz"), "hexadecimal digits"),
        ("known.index", json!(-3), "a whole number"),
        ("known.updates", json!({}), "a list"),
        ("settings.az", json!(70), "the place of one of the zones"),
        ("settings.me", json!(70_000), "a small whole number"),
        ("settings.caps.cancel", json!(1), "true or false"),
        ("settings.caps.connect-timeout", json!(0), "a number above 0"),
        ("settings.caps.max-retry-after", json!(-0.5), "a number of 0 or more"),
        ("settings.prices.handshake", json!("high"), "a number of 0 or more"),
        ("settings.profiles.0.deadline", json!(0), "a number above 0"),
        ("settings.profiles.0.aim", json!(-1), "a number of 0 or more"),
        ("settings.profiles.1.worth", json!(-1), "a number of 0 or more"),
        ("settings.profiles.1.semantics", json!("twice"), "one of idempotent, at_most_once, deduplicated"),
        ("settings.profiles.2.key-ttl", json!(-3), "a number of 0 or more"),
        ("settings.profiles.2.group", json!("town"), "one of all, zone, cell"),
        ("settings.invariants.cold-from", json!(1.5), "a number from 0 to 1"),
        ("settings.invariants.fall", json!(-2), "a number of 0 or more"),
        ("settings.specifics.good-for", json!([0.0]), ""),
        ("settings.specifics.zone-hub", json!([9, 9]), "a list of places of zones"),
        ("settings.specifics.sideways", json!("up"), "one of silent, location, any"),
        ("settings.specifics.purge-settles", json!(null), "a number of 0 or more"),
    ];
    for (path, value, expected) in cases {
        let error = read_error(&with(files().0, path, value), None);
        if expected.is_empty() {
            assert_eq!(
                error,
                "node.json: 'settings.specifics' is not a table that tells of as many classes as 'profiles'"
            );
            continue;
        }
        assert_eq!(error, format!("node.json: '{path}' is not {expected}"));
    }
}

#[test]
fn missing_and_duplicate_keys_are_reported() {
    for path in ["name", "limits.sockets", "settings.caps.most-tries", "settings.profiles", "known.updates"] {
        let mut tree = files().0;
        let (above, key) = path.rsplit_once('.').unwrap_or(("", path));
        let at = above.split('.').filter(|k| !k.is_empty()).fold(&mut tree, |at, key| &mut at[key]);
        at.as_object_mut().unwrap().remove(key).unwrap();
        assert_eq!(read_error(&tree.to_string(), None), format!("node.json: '{path}' is missing"));
    }
    let text = files().0.to_string();
    for (once, twice, path) in [
        ("{", r#"{"name":"n4","#, "name"),
        (r#""sockets":"#, r#""sockets":64,"sockets":"#, "limits.sockets"),
        (r#""semantics":"#, r#""semantics":"at_most_once","semantics":"#, "settings.profiles.0.semantics"),
    ] {
        let error = read_error(&text.replacen(once, twice, 1), None);
        assert!(
            error.starts_with(&format!("node.json: not JSON: '{path}' stands twice, and may once")),
            "{error}"
        );
    }
    // Two classes of one name are refused too.
    let error = read_error(&with(files().0, "settings.profiles.1.name", json!("media")), None);
    assert_eq!(
        error,
        "node.json: 'settings.profiles' is not a list without twins: 'media' stands twice in it"
    );
    assert!(read_error("{\"name\": }", None).starts_with("node.json: not JSON: expected value"));
    assert!(read_error("[]", None).starts_with("node.json: not a JSON object"));
    assert!(read_error("{} {}", None).starts_with("node.json: not JSON: trailing characters"));
}

#[test]
fn unknown_keys_in_the_operators_file_are_refused() {
    let (platform, own) = files();
    let platform = platform.to_string();
    let text = toml::to_string(&own).unwrap();
    let cases = [
        ("[signed]", "lissten = 1\n[signed]", "'lissten' is not known: there are name, "),
        ("reread_s = 5", "rereed_s = 5", "'signed.rereed_s' is not known: there are listen, base, "),
        ("refresh_s = ", "refresh = ", "'xds.refresh' is not known: there are server, refresh_s"),
        ("in_flight = ", "inflight = ", "is not known: there are name, issuer, "),
        ("leeway_s = 0", "leeway_s = -1", "'signed' is not a table whose times are 0 or more"),
        ("[signed]", "[signed]\nbase = \"x\"", "not TOML: duplicate key"),
        ("[signed]", "[signed]\nlisten = 5", "not TOML: duplicate key"),
    ];
    for (from, to, expected) in cases {
        assert!(text.contains(from), "the example has '{from}': {text}");
        let error = read_error(&platform, Some(&text.replacen(from, to, 1)));
        assert!(error.starts_with("front.toml: ") && error.contains(expected), "{error}");
    }
    // If both files have a key, the operator's takes precedence, and errors name the operator's file.
    let error = read_error(&platform, Some(&format!("listen = 5\n{text}")));
    assert_eq!(error, "front.toml: 'listen' is not a text");
}
