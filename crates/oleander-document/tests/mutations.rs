//! Invalid changes to a valid document are reported at their paths.

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
struct Location {
    path: String,
    pointer: String,
}

/// The locations of all values of a document, parents before children.
fn locations(value: &Value) -> Vec<Location> {
    let mut found = Vec::new();
    collect(value, Location { path: path::ROOT.to_owned(), pointer: String::new() }, &mut found);
    found
}

fn collect(value: &Value, location: Location, found: &mut Vec<Location>) {
    let Location { path, pointer } = location.clone();
    found.push(location);
    match value {
        Value::Object(map) => {
            for (name, value) in map {
                let path = path::field(&path, name);
                collect(value, Location { path, pointer: format!("{pointer}/{name}") }, found);
            }
        }
        Value::Array(list) => {
            for (i, value) in list.iter().enumerate() {
                let path = path::element(&path, i);
                collect(value, Location { path, pointer: format!("{pointer}/{i}") }, found);
            }
        }
        _ => {}
    }
}

/// An example document and the location of one of its values that `predicate` accepts.
fn pick_location(seed: usize, predicate: impl Fn(&Value) -> bool) -> (Value, Location) {
    let value: Value = serde_json::from_str(EXAMPLES[seed % 2]).expect("JSON");
    let all = locations(&value);
    let matches = |location: &&Location| value.pointer(&location.pointer).is_some_and(&predicate);
    let found: Vec<&Location> = all.iter().filter(matches).collect();
    let location = found[seed / 2 % found.len()].clone();
    (value, location)
}

fn value_at<'a>(value: &'a mut Value, location: &Location) -> &'a mut Value {
    value.pointer_mut(&location.pointer).expect("the location is in the document")
}

/// Whether a field of the examples is required.
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

/// An invalid string or number, or a string in place of another type.
fn invalid_value(value: &Value) -> Value {
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
        let (mut value, location) = pick_location(seed, has_required);
        let map = value_at(&mut value, &location).as_object_mut().expect("an object");
        let names: Vec<String> = map.keys().filter(|name| is_required(name)).cloned().collect();
        let name = &names[seed / 64 % names.len()];
        map.remove(name);
        is_reported(&value, &path::field(&location.path, name))
    }

    fn a_wrong_type_is_reported(seed: usize, kind: usize) -> bool {
        let (mut value, location) = pick_location(seed, |_| true);
        let slot = value_at(&mut value, &location);
        let mut others = vec![json!(null), json!(true), json!(1), json!("*"), json!([]), json!({})];
        others.retain(|other| std::mem::discriminant(other) != std::mem::discriminant(slot));
        *slot = others[kind % others.len()].clone();
        is_reported(&value, &location.path)
    }

    fn an_unknown_field_is_reported(seed: usize, name: String) -> bool {
        let (mut value, location) = pick_location(seed, Value::is_object);
        let name = format!("x{name}");
        value_at(&mut value, &location)[&name] = json!(1);
        is_reported(&value, &path::field(&location.path, &name))
    }

    fn an_invalid_leaf_is_reported(seed: usize) -> bool {
        let (mut value, location) = pick_location(seed, is_leaf);
        let slot = value_at(&mut value, &location);
        *slot = invalid_value(slot);
        is_reported(&value, &location.path)
    }

    fn a_duplicate_element_is_reported(seed: usize) -> bool {
        let (mut value, location) =
            pick_location(seed, |v| v.as_array().is_some_and(|list| !list.is_empty()));
        let list = value_at(&mut value, &location).as_array_mut().expect("an array");
        let last = path::element(&location.path, list.len());
        list.push(list[0].clone());
        let expected = if list[0].is_object() { path::field(&last, "name") } else { last };
        is_reported(&value, &expected)
    }

    fn several_faults_are_all_reported(seeds: Vec<usize>) -> bool {
        let mut value: Value = serde_json::from_str(EXAMPLES[0]).expect("JSON");
        let all = locations(&value);
        let leaf = |location: &&Location| value.pointer(&location.pointer).is_some_and(is_leaf);
        let leaves: Vec<&Location> = all.iter().filter(leaf).collect();
        let picked: Vec<&Location> = seeds.iter().map(|s| leaves[s % leaves.len()]).collect();
        for location in &picked {
            let slot = value_at(&mut value, location);
            *slot = invalid_value(slot);
        }
        picked.iter().all(|location| is_reported(&value, &location.path))
    }
}

#[test]
fn a_duplicate_field_is_reported() {
    let text = r#"{"zones": ["a"], "services": [], "workspaces": [], "zones": ["b"]}"#;
    let faults = Document::from_json(text.as_bytes()).unwrap_err();
    assert_eq!(faults[0].path, "$.zones");
}
