//! Parsing of valid documents, and the faults of invalid ones.

use oleander_core::hash;
use oleander_document::{Document, ServiceKind, Workspace, schema};

const VENTILADORES: &str = include_str!("../../../examples/ventiladores.json");
const HARROW: &str = include_str!("../../../examples/harrow.json");

/// Paths of the faults of a document.
fn fault_paths(text: &str) -> Vec<String> {
    let faults = Document::from_json(text.as_bytes()).expect_err("an invalid document");
    faults.into_iter().map(|fault| fault.path).collect()
}

#[test]
fn examples_are_valid_and_contain_the_demo_key() {
    for text in [VENTILADORES, HARROW] {
        let document = Document::from_json(text.as_bytes()).unwrap();
        let digest = hash::digest(b"demo-caller-key");
        assert!(document.workspace_by_digest(&digest).is_some());
    }
}

#[test]
fn truck_dispatch_and_certificate_issue_are_not_repeatable() {
    for (text, service, operation) in
        [(VENTILADORES, "despacho", "dispatch-truck"), (HARROW, "certificates", "issue")]
    {
        let document = Document::from_json(text.as_bytes()).unwrap();
        let service = document.service(service).unwrap();
        assert!(!service.operation(operation).unwrap().repeatable);
        assert!(matches!(service.kind, ServiceKind::Plain { .. }));
    }
}

#[test]
fn absent_limits_have_the_default_values() {
    let text = r#"{"zones": ["a"], "workspaces": [],
        "services": [{"name": "s", "kind": "engine", "model": "m", "targets": []}]}"#;
    let document = Document::from_json(text.as_bytes()).unwrap();
    let online = &document.services[0].online;
    assert_eq!(online.deadline.as_millis(), schema::DEADLINE.default);
    assert_eq!(online.reserve, 4);
    assert_eq!(document.services[0].batch.lot_items, 64);
}

#[test]
fn all_faults_of_an_invalid_document_are_listed() {
    let text = r#"{
        "zones": ["a", "a", "b c"],
        "services": [
            {"name": "s", "kind": "engine", "targets": [
                {"name": "t1", "zone": "nowhere", "address": "127.0.0.1:7101"},
                {"name": "t1", "zone": "a", "address": "localhost:7102"},
                {"name": "t3", "zone": "a", "address": "127.0.0.1:7101", "weight": 2}
            ], "online": {"target_limit": 4, "reserve": 4, "deadline_ms": 0}},
            {"name": "s", "kind": "plain", "model": "m", "targets": [],
                "operations": [{"name": "a/b", "repeatable": "no"}]}
        ],
        "workspaces": [{"name": 7, "key_digest": "xyz", "services": ["s", "other"]}]
    }"#;
    assert_eq!(
        fault_paths(text),
        [
            "$.zones[1]",
            "$.zones[2]",
            "$.services[0].model",
            "$.services[0].targets[0].zone",
            "$.services[0].targets[1].name",
            "$.services[0].targets[1].address",
            "$.services[0].targets[2].weight",
            "$.services[0].targets[2].address",
            "$.services[0].online.reserve",
            "$.services[0].online.deadline_ms",
            "$.services[1].name",
            "$.services[1].model",
            "$.services[1].operations[0].name",
            "$.services[1].operations[0].repeatable",
            "$.workspaces[0].name",
            "$.workspaces[0].key_digest",
            "$.workspaces[0].services[1]",
        ]
    );
}

#[test]
fn a_document_above_the_size_limit_is_rejected() {
    let example = Document::from_json(VENTILADORES.as_bytes()).unwrap();
    let mut document = example.clone();
    let mut number = 0;
    while document.to_json().len() <= schema::MAX_DOCUMENT_BYTES {
        document.workspaces.extend((0..500).map(|_| {
            number += 1;
            let digest = hash::digest(format!("key-{number}").as_bytes());
            let name = format!("w-{number}").parse().unwrap();
            Workspace { name, key_digest: digest, ..example.workspaces[0].clone() }
        }));
    }
    assert_eq!(fault_paths(&document.to_json()), ["$"]);
    document.workspaces.truncate(500);
    assert_eq!(Document::from_json(document.to_json().as_bytes()), Ok(document));
}

#[test]
fn input_that_is_not_a_json_object_has_one_fault() {
    assert_eq!(fault_paths("{\"zones\": ["), ["$"]);
    assert_eq!(fault_paths("[]"), ["$"]);
}
