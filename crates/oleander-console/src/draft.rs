//! A document being edited, which may be invalid.
//!
//! The name of a form field is its JSON path in the document. Each list also has a field of its own
//! with the value [`LIST_MARKER`], which distinguishes an empty list from a missing one.

use std::fmt;

use oleander_document::{Document, Fault, schema};
use serde_json::{Value, json};

use crate::json_path::{self, Segment};

/// Value of the form field that marks a list as present.
pub(crate) const LIST_MARKER: &str = "[]";
/// Document fields that hold lists.
const LIST_FIELDS: [&str; 5] = ["zones", "services", "operations", "targets", "workspaces"];

/// A document being edited, which may be invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draft {
    value: Value,
}

/// Why a draft can't be built or edited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DraftError {
    /// The field name is not a JSON path, or doesn't fit the structure of the draft.
    ///
    /// Forms that the console rendered don't cause this.
    InvalidField(String),
    /// No list or list element at this path.
    NotFound(String),
}

impl From<&Document> for Draft {
    fn from(document: &Document) -> Self {
        Self { value: document.to_value() }
    }
}

impl Draft {
    /// Builds a draft from names and values of form fields.
    ///
    /// # Errors
    ///
    /// Returns the first field whose name is not a JSON path or doesn't fit the fields before it.
    pub fn from_fields<'a>(
        fields: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Result<Self, DraftError> {
        let mut draft = Self { value: json!({}) };
        for (path, text) in fields {
            draft.set(path, text).ok_or_else(|| DraftError::InvalidField(path.to_owned()))?;
        }
        draft.remove_inapplicable_fields();
        Ok(draft)
    }

    /// The draft as JSON.
    #[must_use]
    pub const fn value(&self) -> &Value {
        &self.value
    }

    /// Validates the draft.
    ///
    /// # Errors
    ///
    /// Returns all faults.
    pub fn check(&self) -> Result<Document, Vec<Fault>> {
        Document::from_json(self.value.to_string().as_bytes())
    }

    /// Appends a new element to the list at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if `path` does not name a list.
    pub fn add(&mut self, path: &str) -> Result<(), DraftError> {
        self.try_add(path).ok_or_else(|| DraftError::NotFound(path.to_owned()))
    }

    /// Removes the list element at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such element.
    pub fn remove(&mut self, path: &str) -> Result<(), DraftError> {
        self.try_remove(path).ok_or_else(|| DraftError::NotFound(path.to_owned()))
    }

    /// Sets the value of a form field; `None` if `path` is malformed or doesn't fit the draft.
    fn set(&mut self, path: &str, text: &str) -> Option<()> {
        let segments = json_path::parse(path)?;
        let name = segments.iter().rev().find_map(field_name)?.to_owned();
        let is_element = matches!(segments.last(), Some(Segment::Index(_)));
        let Some(value) = parse_field_value(&name, is_element, text.trim()) else {
            return Some(());
        };
        *get_or_insert(&mut self.value, &segments)? = value;
        Some(())
    }

    fn try_add(&mut self, path: &str) -> Option<()> {
        let segments = json_path::parse(path)?;
        let element = self.new_element(&segments)?;
        let list = get_or_insert(&mut self.value, &segments)?;
        if list.is_null() {
            *list = json!([]);
        }
        list.as_array_mut()?.push(element);
        Some(())
    }

    fn try_remove(&mut self, path: &str) -> Option<()> {
        let mut segments = json_path::parse(path)?;
        let Some(Segment::Index(index)) = segments.pop() else { return None };
        let list = get_or_insert(&mut self.value, &segments)?.as_array_mut()?;
        (index < list.len()).then(|| drop(list.remove(index)))
    }

    /// Initial value of a new element of the list at `segments`; `None` if it is not a known list.
    fn new_element(&self, segments: &[Segment]) -> Option<Value> {
        let name = field_name(segments.last()?)?;
        Some(match name {
            "services" if segments.len() == 1 => {
                json!({ "name": "", "kind": schema::ENGINE_KIND, "model": "", "targets": [] })
            }
            "zones" | "services" => json!(""),
            "operations" => json!({ "name": "", "repeatable": false }),
            "targets" => json!({ "name": "", "zone": self.value["zones"][0], "address": "" }),
            "workspaces" => json!({ "name": "", "key_digest": "", "services": [] }),
            _ => return None,
        })
    }

    /// Removes the fields that don't apply to the kind of their service.
    ///
    /// They are submitted along with a changed kind, and the document refuses them.
    fn remove_inapplicable_fields(&mut self) {
        let services = self.value.get_mut("services").and_then(Value::as_array_mut);
        for service in services.into_iter().flatten().filter_map(Value::as_object_mut) {
            let inapplicable = match service.get("kind").and_then(Value::as_str) {
                Some(schema::ENGINE_KIND) => "operations",
                Some(schema::PLAIN_KIND) => "model",
                _ => continue,
            };
            service.remove(inapplicable);
        }
    }
}

/// JSON value of a form field; `None` if the field is absent from the document.
///
/// Text that does not parse as the field's type stays a string, which validation reports.
fn parse_field_value(name: &str, is_element: bool, text: &str) -> Option<Value> {
    if is_limit_field(name) {
        let number = text.parse::<u64>().map_or_else(|_| json!(text), |number| json!(number));
        return (!text.is_empty()).then_some(number);
    }
    if LIST_FIELDS.contains(&name) && !is_element {
        return (text == LIST_MARKER).then(|| json!([]));
    }
    let flag = (name == "repeatable").then(|| text.parse::<bool>().ok()).flatten();
    Some(flag.map_or_else(|| json!(text), Value::Bool))
}

fn is_limit_field(name: &str) -> bool {
    let mut all_limits =
        schema::ONLINE_LIMITS.iter().chain(&schema::BATCH_LIMITS).chain(&schema::WORKSPACE_LIMITS);
    all_limits.any(|limit| limit.name == name)
}

/// Name of an object field; `None` for an index.
fn field_name(segment: &Segment) -> Option<&str> {
    match segment {
        Segment::Field(name) => Some(name),
        Segment::Index(_) => None,
    }
}

/// Node at `segments`.
///
/// Inserts missing fields and, if an index equals the length of its list, a new last element.
/// `None` if the path doesn't fit the existing values or an index exceeds the length.
fn get_or_insert<'a>(value: &'a mut Value, segments: &[Segment]) -> Option<&'a mut Value> {
    let mut node = value;
    for segment in segments {
        node = match segment {
            Segment::Field(name) => {
                replace_null(node, json!({}));
                node.as_object_mut()?.entry(name).or_insert(Value::Null)
            }
            Segment::Index(index) => {
                replace_null(node, json!([]));
                let list = node.as_array_mut()?;
                if *index == list.len() {
                    list.push(Value::Null);
                }
                list.get_mut(*index)?
            }
        };
    }
    Some(node)
}

/// Replaces `null` by an empty container.
fn replace_null(node: &mut Value, empty: Value) {
    if node.is_null() {
        *node = empty;
    }
}

impl fmt::Display for DraftError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidField(path) => {
                write!(f, "form field {path:?} does not fit the document")
            }
            Self::NotFound(path) => write!(f, "no list or list element at {path:?}"),
        }
    }
}

impl std::error::Error for DraftError {}
