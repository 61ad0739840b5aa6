//! Validation errors, deltas and slices of a configuration.

use buckthornlink_core::config::{Config, ConfigDelta, MAX_TEXT_BYTES};

const VALID: &str = r#"{
  "zones": ["a", "b"],
  "services": [
    {"name": "token", "address": "10.0.0.1:4433", "dependencies": ["ledger"]},
    {"name": "ledger", "address": "10.0.0.2:4434"}
  ]
}"#;

fn parse_error(text: &str) -> String {
    Config::parse(text)
        .expect_err("the text is invalid")
        .to_string()
}

#[test]
fn errors_name_line_column_and_field() {
    let errors = [
        ("truncated", parse_error(&VALID[..VALID.len() - 4])),
        (
            "unknown field",
            parse_error(&VALID.replace("dependencies", "depends")),
        ),
        (
            "cycle",
            parse_error(&VALID.replace("4434\"}", "4434\", \"dependencies\": [\"token\"]}")),
        ),
        (
            "self-dependency",
            parse_error(&VALID.replace("[\"ledger\"]", "[\"token\"]")),
        ),
        (
            "unknown dependency",
            parse_error(&VALID.replace("[\"ledger\"]", "[\"leger\"]")),
        ),
        (
            "duplicate address",
            parse_error(&VALID.replace("10.0.0.2:4434", "10.0.0.1:4433")),
        ),
        (
            "duplicate port",
            parse_error(&VALID.replace(":4434", ":4433")),
        ),
        (
            "duplicate name",
            parse_error(&VALID.replace("\"name\": \"ledger\"", "\"name\": \"token\"")),
        ),
        (
            "duplicate zone",
            parse_error(&VALID.replace("\"b\"", "\"a\"")),
        ),
        (
            "invalid address",
            parse_error(&VALID.replace("10.0.0.2:4434", "ledger.example:4434")),
        ),
        (
            "invalid name",
            parse_error(&VALID.replace("\"b\"", "\"b c\"")),
        ),
        (
            "no slots",
            parse_error(&VALID.replace("4434\"}", "4434\", \"limits\": {\"slots\": 0}}")),
        ),
        ("not JSON", parse_error("services:\n  - token\n")),
        ("empty", parse_error("")),
        ("too long", parse_error(&" ".repeat(MAX_TEXT_BYTES + 1))),
    ];
    insta::assert_debug_snapshot!(errors);
}

#[test]
fn longest_text_is_accepted() {
    let mut text = VALID.to_owned();
    text.push_str(&" ".repeat(MAX_TEXT_BYTES - text.len()));
    assert!(Config::parse(&text).is_ok());
}

#[test]
fn delta_lists_changed_services_and_zones() {
    let old = Config::parse(VALID).unwrap();
    let text = VALID
        .replace("\"b\"", "\"c\"")
        .replace("10.0.0.2:4434", "10.0.0.2:4435");
    let new = Config::parse(&text).unwrap();
    let delta = ConfigDelta::between(&old, &new);
    assert_eq!(delta.apply(&old), new);
    insta::assert_snapshot!(delta);
}

#[test]
fn slice_contains_a_service_and_its_dependencies() {
    let config = Config::parse(VALID).unwrap();
    assert_eq!(config.slice("token").unwrap().services.len(), 2);
    assert_eq!(config.slice("ledger").unwrap().services.len(), 1);
    assert!(config.slice("none").is_none());
}
