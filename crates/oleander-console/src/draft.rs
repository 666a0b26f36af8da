//! A document under edit, valid or not.
//!
//! Form fields are named by JSON path. A list stands as a field of its own with the value
//! [`LIST_MARK`], so that an empty list is not a missing one.

use std::fmt;

use oleander_document::{Document, Fault, schema};
use serde_json::{Value, json};

use crate::steps::{self, Step};

/// Value of the field that stands for a list.
pub(crate) const LIST_MARK: &str = "[]";
/// Fields that are lists.
const LISTS: [&str; 5] = ["zones", "services", "operations", "targets", "workspaces"];

/// A document under edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Draft {
    value: Value,
}

/// Why fields are not a draft: the page can't have sent them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DraftError {
    /// The field has no place in a document.
    BadField(String),
    /// Nothing stands at this path.
    NotFound(String),
}

impl From<&Document> for Draft {
    fn from(document: &Document) -> Self {
        Self { value: document.to_value() }
    }
}

impl Draft {
    /// Builds a draft from form fields.
    ///
    /// # Errors
    ///
    /// Returns the first field that has no place in a document.
    pub fn from_fields<'a>(
        fields: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Result<Self, DraftError> {
        let mut draft = Self { value: json!({}) };
        for (path, text) in fields {
            draft.set(path, text).ok_or_else(|| DraftError::BadField(path.to_owned()))?;
        }
        draft.drop_other_kind();
        Ok(draft)
    }

    /// The draft as JSON.
    #[must_use]
    pub const fn value(&self) -> &Value {
        &self.value
    }

    /// The checked document.
    ///
    /// # Errors
    ///
    /// Returns every fault.
    pub fn check(&self) -> Result<Document, Vec<Fault>> {
        Document::from_json(self.value.to_string().as_bytes())
    }

    /// Adds an element to the list at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such list.
    pub fn add(&mut self, path: &str) -> Result<(), DraftError> {
        self.try_add(path).ok_or_else(|| DraftError::NotFound(path.to_owned()))
    }

    /// Removes the list element at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if nothing stands there.
    pub fn remove(&mut self, path: &str) -> Result<(), DraftError> {
        self.try_remove(path).ok_or_else(|| DraftError::NotFound(path.to_owned()))
    }

    fn set(&mut self, path: &str, text: &str) -> Option<()> {
        let steps = steps::parse(path)?;
        let name = steps.iter().rev().find_map(field_name)?.to_owned();
        let is_element = matches!(steps.last(), Some(Step::Index(_)));
        let Some(value) = typed(&name, is_element, text.trim()) else {
            return Some(());
        };
        *slot(&mut self.value, &steps)? = value;
        Some(())
    }

    fn try_add(&mut self, path: &str) -> Option<()> {
        let steps = steps::parse(path)?;
        let element = self.blank(&steps)?;
        let list = slot(&mut self.value, &steps)?;
        if list.is_null() {
            *list = json!([]);
        }
        list.as_array_mut()?.push(element);
        Some(())
    }

    fn try_remove(&mut self, path: &str) -> Option<()> {
        let mut steps = steps::parse(path)?;
        let Some(Step::Index(index)) = steps.pop() else { return None };
        let list = slot(&mut self.value, &steps)?.as_array_mut()?;
        (index < list.len()).then(|| drop(list.remove(index)))
    }

    /// A new element of the list at `steps`.
    fn blank(&self, steps: &[Step]) -> Option<Value> {
        let name = field_name(steps.last()?)?;
        Some(match name {
            "services" if steps.len() == 1 => {
                json!({ "name": "", "kind": schema::ENGINE_KIND, "model": "", "targets": [] })
            }
            "zones" | "services" => json!(""),
            "operations" => json!({ "name": "", "repeatable": false }),
            "targets" => json!({ "name": "", "zone": self.value["zones"][0], "address": "" }),
            "workspaces" => json!({ "name": "", "key_digest": "", "services": [] }),
            _ => return None,
        })
    }

    /// Drops the fields of the kind that a service is not.
    fn drop_other_kind(&mut self) {
        let services = self.value.get_mut("services").and_then(Value::as_array_mut);
        for service in services.into_iter().flatten().filter_map(Value::as_object_mut) {
            let other = match service.get("kind").and_then(Value::as_str) {
                Some(schema::ENGINE_KIND) => "operations",
                Some(schema::PLAIN_KIND) => "model",
                _ => continue,
            };
            service.remove(other);
        }
    }
}

/// The JSON value of a field's text; `None` if the field counts as absent.
fn typed(name: &str, is_element: bool, text: &str) -> Option<Value> {
    if is_limit(name) {
        let number = text.parse::<u64>().map_or_else(|_| json!(text), |number| json!(number));
        return (!text.is_empty()).then_some(number);
    }
    if LISTS.contains(&name) && !is_element {
        return (text == LIST_MARK).then(|| json!([]));
    }
    let flag = (name == "repeatable").then(|| text.parse::<bool>().ok()).flatten();
    Some(flag.map_or_else(|| json!(text), Value::Bool))
}

fn is_limit(name: &str) -> bool {
    let mut limits =
        schema::ONLINE_LIMITS.iter().chain(&schema::BATCH_LIMITS).chain(&schema::WORKSPACE_LIMITS);
    limits.any(|limit| limit.name == name)
}

fn field_name(step: &Step) -> Option<&str> {
    match step {
        Step::Field(name) => Some(name),
        Step::Index(_) => None,
    }
}

/// The place at `steps`; made if it is the next element of a list or a new field.
fn slot<'a>(value: &'a mut Value, steps: &[Step]) -> Option<&'a mut Value> {
    let mut place = value;
    for step in steps {
        place = match step {
            Step::Field(name) => {
                make(place, json!({}));
                place.as_object_mut()?.entry(name).or_insert(Value::Null)
            }
            Step::Index(index) => {
                make(place, json!([]));
                let list = place.as_array_mut()?;
                if *index == list.len() {
                    list.push(Value::Null);
                }
                list.get_mut(*index)?
            }
        };
    }
    Some(place)
}

fn make(place: &mut Value, empty: Value) {
    if place.is_null() {
        *place = empty;
    }
}

impl fmt::Display for DraftError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadField(path) => write!(f, "no field {path:?} in a document"),
            Self::NotFound(path) => write!(f, "nothing stands at {path:?}"),
        }
    }
}

impl std::error::Error for DraftError {}
