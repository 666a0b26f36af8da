//! Every mutation of a good document is reported at its own path.

use oleander_check::properties;
use oleander_document::{Document, path, schema};
use serde_json::{Value, json};

/// Example documents.
const EXAMPLES: [&str; 2] = [
    include_str!("../../../examples/ventiladores.json"),
    include_str!("../../../examples/harrow.json"),
];

/// A value within a document: its JSON path and its JSON pointer.
#[derive(Debug, Clone)]
struct Place {
    path: String,
    pointer: String,
}

/// All places of a document, parents before children.
fn places(value: &Value) -> Vec<Place> {
    let mut found = Vec::new();
    collect(value, Place { path: path::ROOT.to_owned(), pointer: String::new() }, &mut found);
    found
}

fn collect(value: &Value, place: Place, found: &mut Vec<Place>) {
    let Place { path, pointer } = place.clone();
    found.push(place);
    match value {
        Value::Object(map) => {
            for (name, value) in map {
                let path = path::field(&path, name);
                collect(value, Place { path, pointer: format!("{pointer}/{name}") }, found);
            }
        }
        Value::Array(list) => {
            for (i, value) in list.iter().enumerate() {
                let path = path::element(&path, i);
                collect(value, Place { path, pointer: format!("{pointer}/{i}") }, found);
            }
        }
        _ => {}
    }
}

/// An example document and one of its places that `wanted` accepts.
fn pick(seed: usize, wanted: impl Fn(&Value) -> bool) -> (Value, Place) {
    let value: Value = serde_json::from_str(EXAMPLES[seed % 2]).expect("JSON");
    let all = places(&value);
    let fit = |place: &&Place| value.pointer(&place.pointer).is_some_and(&wanted);
    let found: Vec<&Place> = all.iter().filter(fit).collect();
    let place = found[seed / 2 % found.len()].clone();
    (value, place)
}

fn slot<'a>(value: &'a mut Value, place: &Place) -> &'a mut Value {
    value.pointer_mut(&place.pointer).expect("a place of the document")
}

/// Whether a field of the examples must be there.
fn is_required(name: &str) -> bool {
    let optional =
        [&schema::ONLINE_LIMITS[..], &schema::BATCH_LIMITS, &schema::WORKSPACE_LIMITS].concat();
    let is_limit = optional.iter().any(|limit| limit.name == name);
    !is_limit && !["online", "batch", "limits"].contains(&name)
}

fn has_required(value: &Value) -> bool {
    value.as_object().is_some_and(|map| map.keys().any(|name| is_required(name)))
}

fn is_leaf(value: &Value) -> bool {
    !value.is_object() && !value.is_array()
}

/// A value of the same type that no field accepts, or of another type.
fn broken(value: &Value) -> Value {
    match value {
        Value::String(_) => json!("not/allowed"),
        Value::Number(_) => json!(u64::MAX),
        _ => json!("text"),
    }
}

fn is_reported(value: &Value, path: &str) -> bool {
    match Document::from_json(value.to_string().as_bytes()) {
        Ok(_) => false,
        Err(faults) => faults.iter().any(|fault| fault.path == path),
    }
}

properties! {
    fn a_removed_required_field_is_reported(seed: usize) -> bool {
        let (mut value, place) = pick(seed, has_required);
        let map = slot(&mut value, &place).as_object_mut().expect("an object");
        let names: Vec<String> = map.keys().filter(|name| is_required(name)).cloned().collect();
        let name = &names[seed / 64 % names.len()];
        map.remove(name);
        is_reported(&value, &path::field(&place.path, name))
    }

    fn a_wrong_type_is_reported(seed: usize, kind: usize) -> bool {
        let (mut value, place) = pick(seed, |_| true);
        let slot = slot(&mut value, &place);
        let mut others = vec![json!(null), json!(true), json!(1), json!("*"), json!([]), json!({})];
        others.retain(|other| std::mem::discriminant(other) != std::mem::discriminant(slot));
        *slot = others[kind % others.len()].clone();
        is_reported(&value, &place.path)
    }

    fn an_unknown_field_is_reported(seed: usize, name: String) -> bool {
        let (mut value, place) = pick(seed, Value::is_object);
        let name = format!("x{name}");
        slot(&mut value, &place)[&name] = json!(1);
        is_reported(&value, &path::field(&place.path, &name))
    }

    fn a_broken_leaf_is_reported(seed: usize) -> bool {
        let (mut value, place) = pick(seed, is_leaf);
        let slot = slot(&mut value, &place);
        *slot = broken(slot);
        is_reported(&value, &place.path)
    }

    fn a_repeated_element_is_reported(seed: usize) -> bool {
        let (mut value, place) = pick(seed, |v| v.as_array().is_some_and(|list| !list.is_empty()));
        let list = slot(&mut value, &place).as_array_mut().expect("a list");
        let last = path::element(&place.path, list.len());
        list.push(list[0].clone());
        let expected = if list[0].is_object() { path::field(&last, "name") } else { last };
        is_reported(&value, &expected)
    }

    fn several_faults_are_all_reported(seeds: Vec<usize>) -> bool {
        let mut value: Value = serde_json::from_str(EXAMPLES[0]).expect("JSON");
        let all = places(&value);
        let leaf = |place: &&Place| value.pointer(&place.pointer).is_some_and(is_leaf);
        let leaves: Vec<&Place> = all.iter().filter(leaf).collect();
        let picked: Vec<&Place> = seeds.iter().map(|s| leaves[s % leaves.len()]).collect();
        for place in &picked {
            let slot = slot(&mut value, place);
            *slot = broken(slot);
        }
        picked.iter().all(|place| is_reported(&value, &place.path))
    }
}

#[test]
fn a_field_that_stands_twice_is_reported() {
    let text = r#"{"zones": ["a"], "services": [], "workspaces": [], "zones": ["b"]}"#;
    let faults = Document::from_json(text.as_bytes()).unwrap_err();
    assert_eq!(faults[0].path, "$.zones");
}
