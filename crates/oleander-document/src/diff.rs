//! Differences between two documents.
//!
//! List elements are matched by name, not by position, so that a target which is added at the
//! front shows as one change. Paths name such elements: `$.services["s"].online.reserve`.

use std::{collections::BTreeSet, fmt};

use oleander_core::value;
use serde_json::{Map, Value};

use crate::{Document, path};

value! {
    /// One difference.
    pub struct Change {
        /// Path of the value, with list elements by name.
        pub path: String,
        /// Value before; `None` if it is new.
        pub before: Option<Value>,
        /// Value after; `None` if it is gone.
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
        (Value::Array(old), Value::Array(new)) => diff_lists(path, old, new, changes),
        _ if old == new => {}
        _ => push(changes, path.to_owned(), Some(old), Some(new)),
    }
}

fn diff_objects(
    path: &str,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    changes: &mut Vec<Change>,
) {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        diff_options(path::field(path, name), old.get(name), new.get(name), changes);
    }
}

fn diff_lists(path: &str, old: &[Value], new: &[Value], changes: &mut Vec<Change>) {
    for value in old {
        let key = key(value);
        diff_options(path::key(path, key), Some(value), find(new, key), changes);
    }
    for value in new {
        let key = key(value);
        if find(old, key).is_none() {
            push(changes, path::key(path, key), None, Some(value));
        }
    }
    diff_order(path, old, new, changes);
}

/// Reports elements of both lists that stand in another order.
fn diff_order(path: &str, old: &[Value], new: &[Value], changes: &mut Vec<Change>) {
    let before = common_keys(old, new);
    let after = common_keys(new, old);
    if before != after {
        push(changes, path.to_owned(), Some(&before.into()), Some(&after.into()));
    }
}

fn common_keys<'a>(list: &'a [Value], other: &[Value]) -> Vec<&'a str> {
    list.iter().map(key).filter(|key| find(other, key).is_some()).collect()
}

fn diff_options(path: String, old: Option<&Value>, new: Option<&Value>, changes: &mut Vec<Change>) {
    match (old, new) {
        (Some(old), Some(new)) => diff_values(&path, old, new, changes),
        (None, None) => {}
        _ => push(changes, path, old, new),
    }
}

/// The name of a list element: its own text, or its field `name`.
fn key(value: &Value) -> &str {
    value.get("name").unwrap_or(value).as_str().unwrap_or_default()
}

fn find<'a>(list: &'a [Value], wanted: &str) -> Option<&'a Value> {
    list.iter().find(|value| key(value) == wanted)
}

fn push(changes: &mut Vec<Change>, path: String, before: Option<&Value>, after: Option<&Value>) {
    changes.push(Change { path, before: before.cloned(), after: after.cloned() });
}
