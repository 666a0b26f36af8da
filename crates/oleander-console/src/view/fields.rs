//! Form fields with their faults.

use maud::{Markup, html};
use oleander_document::{Fault, schema::Limit};
use serde_json::Value;

use super::{Messages, button};
use crate::draft::LIST_MARK;

/// Faults by the path of their field.
#[derive(Debug)]
pub(super) struct Faults<'a>(Messages<'a>);

impl<'a> From<&'a [Fault]> for Faults<'a> {
    fn from(faults: &'a [Fault]) -> Self {
        let mut messages = Messages::new();
        for fault in faults {
            messages.entry(&fault.path).or_default().push(&fault.message);
        }
        Self(messages)
    }
}

impl Faults<'_> {
    /// The faults of one field.
    pub(super) fn at(&self, path: &str) -> Markup {
        let messages = self.0.get(path).map(Vec::as_slice).unwrap_or_default();
        html! { @for message in messages { span.fault { (message) } } }
    }
}

/// The text of a value as a field shows it.
fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

/// A text field; `list` names the suggestions.
pub(super) fn input(
    label: &str,
    path: &str,
    value: &Value,
    list: Option<&str>,
    faults: &Faults<'_>,
) -> Markup {
    html! {
        label {
            span { (label) }
            input id=(path) name=(path) value=(text(value)) list=[list] autocomplete="off";
            (faults.at(path))
        }
    }
}

/// A choice between fixed texts; another present value stays as it is.
pub(super) fn choice(
    label: &str,
    path: &str,
    value: &Value,
    options: &[&str],
    faults: &Faults<'_>,
) -> Markup {
    let present = text(value);
    let is_known = options.contains(&present.as_str());
    html! {
        label {
            span { (label) }
            select id=(path) name=(path) {
                @if !is_known { option selected value=(present) { (present) } }
                @for option in options {
                    option value=(option) selected[*option == present] { (option) }
                }
            }
            (faults.at(path))
        }
    }
}

/// The fields of an object of limits; an empty field takes the default.
pub(super) fn limits(
    title: &str,
    path: &str,
    object: &Value,
    limits: &[Limit],
    faults: &Faults<'_>,
) -> Markup {
    html! {
        fieldset {
            legend { (title) }
            (faults.at(path))
            @for limit in limits {
                @let path = format!("{path}.{}", limit.name);
                label {
                    span { (limit.name) " (" (limit.unit) ")" }
                    input id=(path) name=(path) value=(text(&object[limit.name]))
                        inputmode="numeric" autocomplete="off"
                        placeholder=(limit.default)
                        title=(format!("{} to {}", limit.min, limit.max));
                    (faults.at(&path))
                }
            }
        }
    }
}

/// Marks a list, so that an empty one is not a missing one.
pub(super) fn list_mark(path: &str) -> Markup {
    html! { input type="hidden" name=(path) value=(LIST_MARK); }
}

/// A button that adds an element to a list.
pub(super) fn add(path: &str, label: &str) -> Markup {
    button(&format!("add {path}"), label)
}

/// A button that removes an element.
pub(super) fn remove(path: &str) -> Markup {
    button(&format!("remove {path}"), "Remove")
}
