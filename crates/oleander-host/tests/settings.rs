//! Defaults and faults of settings files.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use oleander_core::Span;
use oleander_host::{Policy, Role, Settings, SettingsError};
use serde_json::{Value, json};

fn valid() -> Value {
    json!({
        "host": "entry-1", "zone": "pergamino", "role": "entry",
        "listen": "127.0.0.1:8001", "link": "127.0.0.1:8002", "admin": "127.0.0.1:8003",
        "platform": "127.0.0.1:8000",
        "link_key_file": "link.key", "operator_key_file": "operator.key",
    })
}

/// Paths of the faults found after setting each field (`section.field` or `field`) to its value.
fn fault_paths(changes: &[(&str, Value)]) -> Vec<String> {
    let mut settings = valid();
    for (field, value) in changes {
        let (section, field) = field.split_once('.').unwrap_or(("", field));
        match section {
            "" => settings[field] = value.clone(),
            _ => settings[section][field] = value.clone(),
        }
    }
    match Settings::parse(&settings.to_string()) {
        Ok(_) => Vec::new(),
        Err(SettingsError::Faults(faults)) => faults.into_iter().map(|f| f.path).collect(),
        Err(other) => panic!("{other}"),
    }
}

#[test]
fn sections_have_defaults() {
    let settings = Settings::parse(&valid().to_string()).unwrap();
    assert_eq!(settings.role, Role::Entry);
    assert_eq!(settings.entry.policy, Policy::Managed);
    assert_eq!(settings.entry.address_ttl, Span::from_secs(5));
    assert_eq!(settings.batch.slots, 64);
    assert_eq!(settings.data_folder, None);
    assert!(!settings.log.json);
}

#[test]
fn all_faults_are_listed_with_their_paths() {
    let found = fault_paths(&[
        ("host", json!("a b")),
        ("link", json!("localhost:1")),
        ("entry.shards", json!(0)),
        ("batch.claim_ms", json!(1)),
        ("log.file", json!("")),
    ]);
    assert_eq!(found, ["host", "link", "log.file", "entry.shards", "batch.claim_ms"]);
}

#[test]
fn unknown_fields_and_wrong_types_are_rejected() {
    assert_eq!(fault_paths(&[("lsten", json!("x"))]), ["lsten"]);
    assert_eq!(fault_paths(&[("entry.shard", json!(1))]), ["entry.shard"]);
    assert_eq!(fault_paths(&[("batch.slots", json!("many"))]), ["batch.slots"]);
    assert_eq!(fault_paths(&[("batch.policy", json!("fair"))]), ["batch.policy"]);
    assert_eq!(fault_paths(&[("role", json!("king"))]), ["role"]);
}

#[test]
fn two_listeners_cannot_share_an_address() {
    assert_eq!(fault_paths(&[("admin", json!("127.0.0.1:8001"))]), ["admin"]);
}

#[test]
fn text_after_the_settings_is_rejected() {
    let text = format!("{} x", valid());
    assert!(matches!(Settings::parse(&text), Err(SettingsError::Faults(_))));
}

#[test]
fn a_missing_file_is_a_read_error() {
    assert!(matches!(Settings::read("/nonexistent/settings"), Err(SettingsError::Read(_))));
}
