//! Settings of the console, and the settings that docs/CONFIG.md shows.

use oleander_console::Settings;
use oleander_host::settings::SettingsError;
use serde_json::Value;

const PAGE: &str = include_str!("../../../docs/CONFIG.md");

/// The example with this name on the page.
fn example(name: &str) -> &'static str {
    let (_, rest) = PAGE.split_once(&format!("```json {name}\n")).expect("an example");
    rest.split_once("```").expect("an end").0
}

#[test]
fn examples_of_the_page_are_valid_and_each_field_has_a_row() {
    Settings::parse(example("console")).unwrap();
    oleander_host::Settings::parse(example("entry")).unwrap();
    let entry: Value = serde_json::from_str(example("entry")).unwrap();
    let sections = [&entry, &entry["log"], &entry["entry"], &entry["batch"]];
    for name in sections.iter().flat_map(|section| section.as_object().unwrap().keys()) {
        assert!(PAGE.contains(&format!("\n| `{name}` | ")), "no row of {name}");
    }
}

#[test]
fn broken_settings_are_refused() {
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
