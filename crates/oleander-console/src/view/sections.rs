//! Sections of the form: data centres, services and workspaces.

use maud::{Markup, html};
use oleander_document::{path, schema};
use serde_json::Value;

use super::fields::{Faults, add, choice, input, limits, list_mark, remove};

/// Suggestions of data centre names.
const ZONE_LIST: &str = "zone-names";
/// Suggestions of service names.
const SERVICE_LIST: &str = "service-names";

/// All sections of a draft.
pub(super) fn render(draft: &Value, faults: &Faults<'_>) -> Markup {
    html! {
        (suggestions(ZONE_LIST, names(&draft["zones"])))
        (suggestions(SERVICE_LIST, names(&draft["services"])))
        section {
            h2 { "Data centres" }
            (texts("$.zones", &draft["zones"], None, "Add a data centre", faults))
        }
        section {
            h2 { "Services" }
            (list_mark("$.services"))
            (faults.at("$.services"))
            @for (path, value) in elements("$.services", &draft["services"]) {
                (service(&path, value, faults))
            }
            (add("$.services", "Add a service"))
        }
        section {
            h2 { "Workspaces" }
            (list_mark("$.workspaces"))
            (faults.at("$.workspaces"))
            @for (path, value) in elements("$.workspaces", &draft["workspaces"]) {
                (workspace(&path, value, faults))
            }
            (add("$.workspaces", "Add a workspace"))
        }
    }
}

/// The elements of a list with their paths.
fn elements<'a>(list: &str, value: &'a Value) -> Vec<(String, &'a Value)> {
    let values = value.as_array().into_iter().flatten();
    values.enumerate().map(|(i, value)| (path::element(list, i), value)).collect()
}

/// The names of list elements.
fn names(list: &Value) -> Vec<&str> {
    let values = list.as_array().into_iter().flatten();
    values.filter_map(|value| value.get("name").unwrap_or(value).as_str()).collect()
}

fn suggestions(id: &str, names: Vec<&str>) -> Markup {
    html! { datalist id=(id) { @for name in names { option value=(name); } } }
}

/// A list of texts.
fn texts(
    list: &str,
    value: &Value,
    suggestions: Option<&str>,
    label: &str,
    faults: &Faults<'_>,
) -> Markup {
    html! {
        (list_mark(list))
        (faults.at(list))
        @for (path, value) in elements(list, value) {
            div.row { (input("name", &path, value, suggestions, faults)) (remove(&path)) }
        }
        (add(list, label))
    }
}

fn service(at: &str, value: &Value, faults: &Faults<'_>) -> Markup {
    let field = |name: &str| path::field(at, name);
    html! {
        fieldset id=(at) {
            legend { "Service " (value["name"].as_str().unwrap_or_default()) }
            (faults.at(at))
            div.row {
                (input("name", &field("name"), &value["name"], None, faults))
                (choice("kind", &field("kind"), &value["kind"],
                    &[schema::ENGINE_KIND, schema::PLAIN_KIND], faults))
                (remove(at))
            }
            @if value["kind"] == schema::PLAIN_KIND {
                (operations(&field("operations"), &value["operations"], faults))
            } @else {
                (input("model", &field("model"), &value["model"], None, faults))
            }
            (targets(&field("targets"), &value["targets"], faults))
            (limits("Online calls", &field("online"), &value["online"],
                &schema::ONLINE_LIMITS, faults))
            (limits("Batch work", &field("batch"), &value["batch"],
                &schema::BATCH_LIMITS, faults))
        }
    }
}

fn operations(list: &str, value: &Value, faults: &Faults<'_>) -> Markup {
    html! {
        fieldset {
            legend { "Operations" }
            (list_mark(list))
            (faults.at(list))
            @for (at, value) in elements(list, value) {
                div.row {
                    (input("name", &path::field(&at, "name"), &value["name"], None, faults))
                    (choice("repeatable", &path::field(&at, "repeatable"), &value["repeatable"],
                        &["true", "false"], faults))
                    (remove(&at))
                }
            }
            (add(list, "Add an operation"))
        }
    }
}

fn targets(list: &str, value: &Value, faults: &Faults<'_>) -> Markup {
    html! {
        fieldset {
            legend { "Targets" }
            (list_mark(list))
            (faults.at(list))
            @for (at, value) in elements(list, value) {
                div.row {
                    (input("name", &path::field(&at, "name"), &value["name"], None, faults))
                    (input("zone", &path::field(&at, "zone"), &value["zone"], Some(ZONE_LIST), faults))
                    (input("address", &path::field(&at, "address"), &value["address"], None, faults))
                    (remove(&at))
                }
            }
            (add(list, "Add a target"))
        }
    }
}

fn workspace(at: &str, value: &Value, faults: &Faults<'_>) -> Markup {
    let field = |name: &str| path::field(at, name);
    html! {
        fieldset id=(at) {
            legend { "Workspace " (value["name"].as_str().unwrap_or_default()) }
            (faults.at(at))
            div.row {
                (input("name", &field("name"), &value["name"], None, faults))
                (input("key_digest", &field("key_digest"), &value["key_digest"], None, faults))
                (remove(at))
            }
            fieldset {
                legend { "Services it may call" }
                (texts(&field("services"), &value["services"], Some(SERVICE_LIST), "Add a service", faults))
            }
            (limits("Limits", &field("limits"), &value["limits"], &schema::WORKSPACE_LIMITS, faults))
        }
    }
}
