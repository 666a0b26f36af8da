//! Differences between two documents.
//!
//! Array elements are matched by name, not by index, so that a target added at the front is one
//! change. Paths also refer to elements by name: `$.services["s"].online.reserve`.

use std::{collections::BTreeSet, fmt};

use oleander_core::value;
use serde_json::{Map, Value};

use crate::{Document, path};

value! {
    /// A value that differs.
    pub struct Change {
        /// JSON path of the value, with array elements by name.
        pub path: String,
        /// Old value; `None` if the value was added.
        pub before: Option<Value>,
        /// New value; `None` if the value was removed.
        pub after: Option<Value>,
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.path),
            (Some(before), None) => write!(f, "- {}: {before}", self.path),
            (None, Some(after)) => write!(f, "+ {}: {after}", self.path),
            (None, None) => f.write_str(&self.path),
        }
    }
}

/// The changes that turn `old` into `new`; empty if and only if they are equal.
#[must_use]
pub fn diff(old: &Document, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    diff_values(path::ROOT, &old.to_value(), &new.to_value(), &mut changes);
    changes
}

fn diff_values(path: &str, old: &Value, new: &Value, changes: &mut Vec<Change>) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => diff_objects(path, old, new, changes),
        (Value::Array(old), Value::Array(new)) => diff_arrays(path, old, new, changes),
        _ if old == new => {}
        _ => push_change(changes, path.to_owned(), Some(old), Some(new)),
    }
}

fn diff_objects(
    path: &str,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    changes: &mut Vec<Change>,
) {
    let fields: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for field in fields {
        diff_optional(path::field(path, field), old.get(field), new.get(field), changes);
    }
}

fn diff_arrays(path: &str, old: &[Value], new: &[Value], changes: &mut Vec<Change>) {
    for value in old {
        let name = element_name(value);
        diff_optional(path::key(path, name), Some(value), find_element(new, name), changes);
    }
    for value in new {
        let name = element_name(value);
        if find_element(old, name).is_none() {
            push_change(changes, path::key(path, name), None, Some(value));
        }
    }
    diff_order(path, old, new, changes);
}

/// Reports a change of the order of the elements that both arrays have.
fn diff_order(path: &str, old: &[Value], new: &[Value], changes: &mut Vec<Change>) {
    let before = common_names(old, new);
    let after = common_names(new, old);
    if before != after {
        push_change(changes, path.to_owned(), Some(&before.into()), Some(&after.into()));
    }
}

fn common_names<'a>(list: &'a [Value], other: &[Value]) -> Vec<&'a str> {
    list.iter().map(element_name).filter(|name| find_element(other, name).is_some()).collect()
}

fn diff_optional(
    path: String,
    old: Option<&Value>,
    new: Option<&Value>,
    changes: &mut Vec<Change>,
) {
    match (old, new) {
        (Some(old), Some(new)) => diff_values(&path, old, new, changes),
        (None, None) => {}
        _ => push_change(changes, path, old, new),
    }
}

/// The name of an array element: its field `name`, or the element itself if it is a string.
fn element_name(value: &Value) -> &str {
    value.get("name").unwrap_or(value).as_str().unwrap_or_default()
}

fn find_element<'a>(list: &'a [Value], name: &str) -> Option<&'a Value> {
    list.iter().find(|value| element_name(value) == name)
}

fn push_change(
    changes: &mut Vec<Change>,
    path: String,
    before: Option<&Value>,
    after: Option<&Value>,
) {
    changes.push(Change { path, before: before.cloned(), after: after.cloned() });
}
