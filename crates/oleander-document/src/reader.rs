//! Reads typed values from JSON and collects all faults.
//!
//! A method that can't return a value adds a fault and returns `None`, so that its caller can read
//! the other fields before it rejects the whole value.

use std::str::FromStr;

use serde_json::{Map, Value};

use crate::{Fault, path, schema::Limit};

/// A JSON value with its path.
#[derive(Debug, Clone)]
pub(crate) struct Node<'a> {
    pub(crate) path: String,
    pub(crate) value: &'a Value,
}

/// A JSON object with its path.
#[derive(Debug)]
pub(crate) struct Object<'a> {
    pub(crate) path: String,
    map: &'a Map<String, Value>,
}

impl<'a> Object<'a> {
    /// The field `name`, if it is present.
    pub(crate) fn optional(&self, name: &str) -> Option<Node<'a>> {
        let value = self.map.get(name)?;
        Some(Node { path: path::field(&self.path, name), value })
    }
}

/// Reads values and collects their faults.
#[derive(Debug, Default)]
pub(crate) struct Reader {
    faults: Vec<Fault>,
}

impl Reader {
    /// All faults, in the order in which they were found.
    pub(crate) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    /// Adds a fault.
    pub(crate) fn add_fault(&mut self, path: &str, message: impl Into<String>) {
        self.faults.push(Fault { path: path.to_owned(), message: message.into() });
    }

    /// Reads an object; adds a fault for each field that is not among `known`.
    pub(crate) fn object<'a>(&mut self, node: &Node<'a>, known: &[&str]) -> Option<Object<'a>> {
        let Value::Object(map) = node.value else {
            self.report_wrong_type(node, "an object");
            return None;
        };
        for name in map.keys().filter(|name| !known.contains(&name.as_str())) {
            self.add_fault(&path::field(&node.path, name), "unknown field");
        }
        Some(Object { path: node.path.clone(), map })
    }

    /// Reads a required field.
    pub(crate) fn required<'a>(&mut self, object: &Object<'a>, name: &str) -> Option<Node<'a>> {
        let node = object.optional(name);
        if node.is_none() {
            self.add_fault(&path::field(&object.path, name), "required field is missing");
        }
        node
    }

    /// Reads an array, which should have `min` to `max` elements.
    pub(crate) fn array<'a>(
        &mut self,
        node: &Node<'a>,
        min: usize,
        max: usize,
    ) -> Option<Vec<Node<'a>>> {
        let Value::Array(values) = node.value else {
            self.report_wrong_type(node, "an array");
            return None;
        };
        if !(min..=max).contains(&values.len()) {
            let message = format!("must have {min} to {max} elements, has {}", values.len());
            self.add_fault(&node.path, message);
        }
        let nodes = values.iter().enumerate();
        Some(nodes.map(|(i, value)| Node { path: path::element(&node.path, i), value }).collect())
    }

    /// Reads a string.
    pub(crate) fn string<'a>(&mut self, node: &Node<'a>) -> Option<&'a str> {
        let text = node.value.as_str();
        if text.is_none() {
            self.report_wrong_type(node, "a string");
        }
        text
    }

    /// Reads a boolean.
    pub(crate) fn boolean(&mut self, node: &Node<'_>) -> Option<bool> {
        let flag = node.value.as_bool();
        if flag.is_none() {
            self.report_wrong_type(node, "true or false");
        }
        flag
    }

    /// Reads a string that parses as an identifier.
    pub(crate) fn id<T>(&mut self, node: &Node<'_>) -> Option<T>
    where
        T: FromStr<Err: std::fmt::Display>,
    {
        let text = self.string(node)?;
        match text.parse() {
            Ok(id) => Some(id),
            Err(error) => {
                self.add_fault(&node.path, error.to_string());
                None
            }
        }
    }

    /// Reads an optional integer and checks its bounds; returns the default if it is absent.
    pub(crate) fn limit(&mut self, object: &Object<'_>, limit: &Limit) -> Option<u64> {
        let Some(node) = object.optional(limit.name) else {
            return Some(limit.default);
        };
        let Some(number) = node.value.as_u64() else {
            self.report_non_integer(&node, limit);
            return None;
        };
        if (limit.min..=limit.max).contains(&number) {
            return Some(number);
        }
        self.report_out_of_bounds(&node.path, number, limit);
        None
    }

    fn report_non_integer(&mut self, node: &Node<'_>, limit: &Limit) {
        if node.value.is_number() {
            self.report_out_of_bounds(&node.path, node.value, limit);
        } else {
            self.report_wrong_type(node, "an integer");
        }
    }

    fn report_out_of_bounds(&mut self, path: &str, found: impl std::fmt::Display, limit: &Limit) {
        let Limit { unit, min, max, .. } = limit;
        self.add_fault(path, format!("must be an integer from {min} to {max} {unit}, is {found}"));
    }

    fn report_wrong_type(&mut self, node: &Node<'_>, expected: &str) {
        let found = match node.value {
            Value::Null => "null",
            Value::Bool(_) => "a boolean",
            Value::Number(_) => "a number",
            Value::String(_) => "a string",
            Value::Array(_) => "an array",
            Value::Object(_) => "an object",
        };
        self.add_fault(&node.path, format!("must be {expected}, is {found}"));
    }
}
