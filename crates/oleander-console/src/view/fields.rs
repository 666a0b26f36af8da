//! Form controls, each with the faults of its field.

use maud::{Markup, html};
use oleander_document::{Fault, schema::Limit};
use serde_json::Value;

use super::{MessagesByPath, button};
use crate::draft::LIST_MARKER;

/// Faults of a draft, indexed by JSON path.
#[derive(Debug)]
pub(super) struct FaultsByPath<'a>(MessagesByPath<'a>);

impl<'a> From<&'a [Fault]> for FaultsByPath<'a> {
    fn from(faults: &'a [Fault]) -> Self {
        let mut messages = MessagesByPath::new();
        for fault in faults {
            messages.entry(&fault.path).or_default().push(&fault.message);
        }
        Self(messages)
    }
}

impl FaultsByPath<'_> {
    /// Renders the faults at `path`.
    pub(super) fn render_at(&self, path: &str) -> Markup {
        let messages = self.0.get(path).map(Vec::as_slice).unwrap_or_default();
        html! { @for message in messages { span.fault { (message) } } }
    }
}

/// Text of a JSON value in a form control.
fn field_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

/// A text input; `list` is the id of a `datalist` with suggestions.
pub(super) fn text_field(
    label: &str,
    path: &str,
    value: &Value,
    list: Option<&str>,
    faults: &FaultsByPath<'_>,
) -> Markup {
    html! {
        label {
            span { (label) }
            input id=(path) name=(path) value=(field_text(value)) list=[list] autocomplete="off";
            (faults.render_at(path))
        }
    }
}

/// A drop-down list; a present value that is not in `options` stays selected.
pub(super) fn select_field(
    label: &str,
    path: &str,
    value: &Value,
    options: &[&str],
    faults: &FaultsByPath<'_>,
) -> Markup {
    let present = field_text(value);
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
            (faults.render_at(path))
        }
    }
}

/// Inputs for an object of limits; a limit left empty takes its default.
pub(super) fn limit_fields(
    title: &str,
    path: &str,
    object: &Value,
    limits: &[Limit],
    faults: &FaultsByPath<'_>,
) -> Markup {
    html! {
        fieldset {
            legend { (title) }
            (faults.render_at(path))
            @for limit in limits {
                @let path = format!("{path}.{}", limit.name);
                label {
                    span { (limit.name) " (" (limit.unit) ")" }
                    input id=(path) name=(path) value=(field_text(&object[limit.name]))
                        inputmode="numeric" autocomplete="off"
                        placeholder=(limit.default)
                        title=(format!("{} to {}", limit.min, limit.max));
                    (faults.render_at(&path))
                }
            }
        }
    }
}

/// Hidden input that marks a list as present, even if it is empty.
pub(super) fn list_marker(path: &str) -> Markup {
    html! { input type="hidden" name=(path) value=(LIST_MARKER); }
}

/// A button that appends an element to the list at `path`.
pub(super) fn add_button(path: &str, label: &str) -> Markup {
    button(&format!("add {path}"), label)
}

/// A button that removes the list element at `path`.
pub(super) fn remove_button(path: &str) -> Markup {
    button(&format!("remove {path}"), "Remove")
}
