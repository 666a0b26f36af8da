//! Validation of console settings, and the example settings in docs/CONFIG.md.

use oleander_console::Settings;
use oleander_host::settings::SettingsError;
use serde_json::Value;

const CONFIG_PAGE: &str = include_str!("../../../docs/CONFIG.md");

/// The example of this name in docs/CONFIG.md.
fn example(name: &str) -> &'static str {
    let (_, rest) = CONFIG_PAGE.split_once(&format!("```json {name}\n")).expect("an example");
    rest.split_once("```").expect("an end").0
}

#[test]
fn documented_examples_are_valid_and_each_field_is_documented() {
    Settings::parse(example("console")).unwrap();
    oleander_host::Settings::parse(example("entry")).unwrap();
    let entry: Value = serde_json::from_str(example("entry")).unwrap();
    let sections = [&entry, &entry["log"], &entry["entry"], &entry["batch"]];
    for name in sections.iter().flat_map(|section| section.as_object().unwrap().keys()) {
        assert!(CONFIG_PAGE.contains(&format!("\n| `{name}` | ")), "no table row for `{name}`");
    }
}

#[test]
fn invalid_settings_are_rejected() {
    for (from, to) in [
        ("\"listen\"", "\"listens\""),
        ("127.0.0.1:7400", "localhost:7400"),
        ("127.0.0.1:7400", "127.0.0.1:0"),
        ("[\"127.0.0.1:7303\", \"127.0.0.1:7313\"]", "[]"),
        ("\"info\" }\n", "\"loud\" }\n"),
        ("\n}\n", "\n} x"),
    ] {
        let text = example("console").replacen(from, to, 1);
        let result = Settings::parse(&text);
        assert!(matches!(result, Err(SettingsError::Faults(_))), "{text}");
    }
}
