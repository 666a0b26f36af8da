//! Reads JSON values at their paths and collects every fault on the way.
//!
//! Each method returns `None` after it has recorded a fault, so that a caller can read all
//! fields before it gives up on the whole.

use std::str::FromStr;

use serde_json::{Map, Value};

use crate::{Fault, path, schema::Limit};

/// A JSON value together with its path.
#[derive(Debug, Clone)]
pub(crate) struct Node<'a> {
    pub(crate) path: String,
    pub(crate) value: &'a Value,
}

/// A JSON object together with its path.
#[derive(Debug)]
pub(crate) struct Object<'a> {
    pub(crate) path: String,
    map: &'a Map<String, Value>,
}

impl<'a> Object<'a> {
    /// The field, if it is there.
    pub(crate) fn optional(&self, name: &str) -> Option<Node<'a>> {
        let value = self.map.get(name)?;
        Some(Node { path: path::field(&self.path, name), value })
    }
}

/// Collects faults.
#[derive(Debug, Default)]
pub(crate) struct Reader {
    faults: Vec<Fault>,
}

impl Reader {
    /// All faults in the order in which they were found.
    pub(crate) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Records a fault.
    pub(crate) fn fault(&mut self, path: &str, message: impl Into<String>) {
        self.faults.push(Fault { path: path.to_owned(), message: message.into() });
    }

    /// Reads an object and reports the fields that are not among `known`.
    pub(crate) fn object<'a>(&mut self, node: &Node<'a>, known: &[&str]) -> Option<Object<'a>> {
        let Value::Object(map) = node.value else {
            self.wrong_type(node, "an object");
            return None;
        };
        for name in map.keys().filter(|name| !known.contains(&name.as_str())) {
            self.fault(&path::field(&node.path, name), "unknown field");
        }
        Some(Object { path: node.path.clone(), map })
    }

    /// Reads a field that must be there.
    pub(crate) fn required<'a>(&mut self, object: &Object<'a>, name: &str) -> Option<Node<'a>> {
        let node = object.optional(name);
        if node.is_none() {
            self.fault(&path::field(&object.path, name), "required field is missing");
        }
        node
    }

    /// Reads a list with `min` to `max` elements.
    pub(crate) fn list<'a>(
        &mut self,
        node: &Node<'a>,
        min: usize,
        max: usize,
    ) -> Option<Vec<Node<'a>>> {
        let Value::Array(values) = node.value else {
            self.wrong_type(node, "a list");
            return None;
        };
        if !(min..=max).contains(&values.len()) {
            let message = format!("must hold {min} to {max} elements, holds {}", values.len());
            self.fault(&node.path, message);
        }
        let nodes = values.iter().enumerate();
        Some(nodes.map(|(i, value)| Node { path: path::element(&node.path, i), value }).collect())
    }

    /// Reads a text.
    pub(crate) fn text<'a>(&mut self, node: &Node<'a>) -> Option<&'a str> {
        let text = node.value.as_str();
        if text.is_none() {
            self.wrong_type(node, "a text");
        }
        text
    }

    /// Reads a truth value.
    pub(crate) fn flag(&mut self, node: &Node<'_>) -> Option<bool> {
        let flag = node.value.as_bool();
        if flag.is_none() {
            self.wrong_type(node, "true or false");
        }
        flag
    }

    /// Reads a text that parses as an identifier.
    pub(crate) fn id<T>(&mut self, node: &Node<'_>) -> Option<T>
    where
        T: FromStr<Err: std::fmt::Display>,
    {
        let text = self.text(node)?;
        match text.parse() {
            Ok(id) => Some(id),
            Err(error) => {
                self.fault(&node.path, error.to_string());
                None
            }
        }
    }

    /// Reads an optional whole number within its bounds.
    pub(crate) fn limit(&mut self, object: &Object<'_>, limit: &Limit) -> Option<u64> {
        let Some(node) = object.optional(limit.name) else {
            return Some(limit.default);
        };
        let Some(number) = node.value.as_u64() else {
            self.not_whole(&node, limit);
            return None;
        };
        if (limit.min..=limit.max).contains(&number) {
            return Some(number);
        }
        self.out_of_bounds(&node.path, number, limit);
        None
    }

    fn not_whole(&mut self, node: &Node<'_>, limit: &Limit) {
        if node.value.is_number() {
            self.out_of_bounds(&node.path, node.value, limit);
        } else {
            self.wrong_type(node, "a whole number");
        }
    }

    fn out_of_bounds(&mut self, path: &str, found: impl std::fmt::Display, limit: &Limit) {
        let Limit { unit, min, max, .. } = limit;
        self.fault(path, format!("must be a whole number from {min} to {max} {unit}, is {found}"));
    }

    fn wrong_type(&mut self, node: &Node<'_>, expected: &str) {
        let found = match node.value {
            Value::Null => "null",
            Value::Bool(_) => "a truth value",
            Value::Number(_) => "a number",
            Value::String(_) => "a text",
            Value::Array(_) => "a list",
            Value::Object(_) => "an object",
        };
        self.fault(&node.path, format!("must be {expected}, is {found}"));
    }
}
