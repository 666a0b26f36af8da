//! Properties of the canonical form and of differences between documents.

use oleander_check::properties;
use oleander_document::{Document, diff, schema};
use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};

/// Example documents in canonical form.
const EXAMPLES: [&str; 2] = [
    include_str!("../../../examples/ventiladores.json"),
    include_str!("../../../examples/harrow.json"),
];

/// An arbitrary valid document.
#[derive(Debug, Clone)]
struct AnyDocument(Document);

impl Arbitrary for AnyDocument {
    fn arbitrary(g: &mut Gen) -> Self {
        let zones = names(g, "zone", 1);
        let services = names(g, "service", 0);
        let workspaces = names(g, "workspace", 0);
        let value = json!({
            "zones": zones,
            "services": services.iter().map(|name| service(g, name, &zones)).collect::<Vec<_>>(),
            "workspaces":
                workspaces.iter().map(|name| workspace(g, name, &services)).collect::<Vec<_>>(),
        });
        Self(Document::try_from(&value).expect("a valid document"))
    }
}

/// Up to five numbered names in ascending or descending order; the first `min` are always present.
fn names(g: &mut Gen, prefix: &str, min: usize) -> Vec<String> {
    let mut numbers: Vec<usize> = (0..5).filter(|&i| i < min || bool::arbitrary(g)).collect();
    if bool::arbitrary(g) {
        numbers.reverse();
    }
    numbers.iter().map(|i| format!("{prefix}-{i}")).collect()
}

fn service(g: &mut Gen, name: &str, zones: &[String]) -> Value {
    let names = names(g, &format!("{name}.target"), 0);
    let targets: Vec<Value> = names.iter().map(|name| target(g, name, zones)).collect();
    let mut value = json!({ "name": name, "kind": "engine", "model": "m", "targets": targets });
    if bool::arbitrary(g) {
        value["kind"] = json!("plain");
        value["operations"] = json!([{ "name": "run", "repeatable": bool::arbitrary(g) }]);
        value.as_object_mut().expect("an object").remove("model");
    }
    let mut online = limits(g, &schema::ONLINE_LIMITS);
    if online["reserve"].as_u64() >= online["target_limit"].as_u64() {
        online["reserve"] = json!(0);
    }
    value["online"] = online;
    value["batch"] = limits(g, &schema::BATCH_LIMITS);
    value
}

fn target(g: &mut Gen, name: &str, zones: &[String]) -> Value {
    let number: u16 = name.bytes().map(u16::from).sum();
    json!({ "name": name, "zone": g.choose(zones), "address": format!("127.0.0.1:{number}") })
}

fn workspace(g: &mut Gen, name: &str, services: &[String]) -> Value {
    let digest = oleander_core::hash::digest(name.as_bytes());
    let limits = limits(g, &schema::WORKSPACE_LIMITS);
    json!({ "name": name, "key_digest": digest, "services": services, "limits": limits })
}

fn limits(g: &mut Gen, limits: &[schema::Limit]) -> Value {
    let numbers = limits.iter().map(|limit| {
        let span = limit.max - limit.min + 1;
        (limit.name.to_owned(), json!(limit.min + u64::arbitrary(g) % span))
    });
    Value::Object(numbers.collect())
}

properties! {
    fn canonical_text_parses_to_the_same_document(document: AnyDocument) -> bool {
        Document::from_json(document.0.to_json().as_bytes()) == Ok(document.0)
    }

    fn canonical_value_converts_to_the_same_document(document: AnyDocument) -> bool {
        Document::try_from(&document.0.to_value()) == Ok(document.0)
    }

    fn a_diff_is_empty_only_for_equal_documents(old: AnyDocument, new: AnyDocument) -> bool {
        diff(&old.0, &old.0).is_empty() && diff(&old.0, &new.0).is_empty() == (old.0 == new.0)
    }

    fn a_reverse_diff_has_the_reverse_changes(old: AnyDocument, new: AnyDocument) -> bool {
        let forward = diff(&old.0, &new.0);
        let reverse = diff(&new.0, &old.0);
        forward.len() == reverse.len()
            && forward
                .iter()
                .all(|f| reverse.iter().any(|r| r.path == f.path && r.after == f.before))
    }
}

#[test]
fn examples_are_canonical() {
    for text in EXAMPLES {
        let document = Document::from_json(text.as_bytes()).unwrap();
        assert_eq!(document.to_json(), text);
    }
}

#[test]
fn changes_have_paths_by_name_and_both_values() {
    let old = Document::from_json(EXAMPLES[0].as_bytes()).unwrap();
    let mut new = old.clone();
    new.services[0].online.reserve = 6;
    new.services[0].targets.remove(0);
    new.services.reverse();
    let changes: Vec<String> = diff(&old, &new).iter().map(ToString::to_string).collect();
    assert_eq!(
        changes,
        [
            r#"~ $.services["alarma-llm"].online.reserve: 4 -> 6"#,
            r#"- $.services["alarma-llm"].targets["alarma-1"]: {"address":"127.0.0.1:7101","name":"alarma-1","zone":"pergamino"}"#,
            r#"~ $.services: ["alarma-llm","despacho"] -> ["despacho","alarma-llm"]"#,
        ]
    );
}
