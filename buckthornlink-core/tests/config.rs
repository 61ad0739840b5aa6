//! Faults of a configuration text are named by field, line and column.

use buckthornlink_core::config::{Config, ConfigDelta, MAX_TEXT_BYTES};

const GOOD: &str = r#"{
  "zones": ["a", "b"],
  "services": [
    {"name": "token", "address": "10.0.0.1:4433", "dependencies": ["ledger"]},
    {"name": "ledger", "address": "10.0.0.2:4434"}
  ]
}"#;

fn fault(text: &str) -> String {
    Config::parse(text)
        .expect_err("the text is faulty")
        .to_string()
}

#[test]
fn faults_are_named_with_their_place() {
    let faults = [
        ("truncated", fault(&GOOD[..GOOD.len() - 4])),
        (
            "unknown field",
            fault(&GOOD.replace("dependencies", "depends")),
        ),
        (
            "cycle",
            fault(&GOOD.replace("4434\"}", "4434\", \"dependencies\": [\"token\"]}")),
        ),
        ("self", fault(&GOOD.replace("[\"ledger\"]", "[\"token\"]"))),
        (
            "unknown dependency",
            fault(&GOOD.replace("[\"ledger\"]", "[\"leger\"]")),
        ),
        (
            "double address",
            fault(&GOOD.replace("10.0.0.2:4434", "10.0.0.1:4433")),
        ),
        ("double port", fault(&GOOD.replace(":4434", ":4433"))),
        (
            "double name",
            fault(&GOOD.replace("\"name\": \"ledger\"", "\"name\": \"token\"")),
        ),
        ("double zone", fault(&GOOD.replace("\"b\"", "\"a\""))),
        (
            "no address",
            fault(&GOOD.replace("10.0.0.2:4434", "ledger.example:4434")),
        ),
        ("bad name", fault(&GOOD.replace("\"b\"", "\"b c\""))),
        (
            "no slots",
            fault(&GOOD.replace("4434\"}", "4434\", \"limits\": {\"slots\": 0}}")),
        ),
        ("not JSON", fault("services:\n  - token\n")),
        ("empty", fault("")),
        ("too long", fault(&" ".repeat(MAX_TEXT_BYTES + 1))),
    ];
    insta::assert_debug_snapshot!(faults);
}

#[test]
fn longest_text_is_accepted() {
    let mut text = GOOD.to_owned();
    text.push_str(&" ".repeat(MAX_TEXT_BYTES - text.len()));
    assert!(Config::parse(&text).is_ok());
}

#[test]
fn delta_names_what_changes() {
    let old = Config::parse(GOOD).unwrap();
    let text = GOOD
        .replace("\"b\"", "\"c\"")
        .replace("10.0.0.2:4434", "10.0.0.2:4435");
    let new = Config::parse(&text).unwrap();
    let delta = ConfigDelta::between(&old, &new);
    assert_eq!(delta.apply(&old), new);
    insta::assert_snapshot!(delta);
}

#[test]
fn slice_holds_a_service_and_its_dependencies() {
    let config = Config::parse(GOOD).unwrap();
    assert_eq!(config.slice("token").unwrap().services.len(), 2);
    assert_eq!(config.slice("ledger").unwrap().services.len(), 1);
    assert!(config.slice("none").is_none());
}
