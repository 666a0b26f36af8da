//! Sections of the form: data centres, services and workspaces.

use maud::{Markup, html};
use oleander_document::{path, schema};
use serde_json::Value;

use super::fields::{
    FaultsByPath, add_button, limit_fields, list_marker, remove_button, select_field, text_field,
};

/// Id of the `datalist` with the names of data centres.
const ZONE_LIST: &str = "zone-names";
/// Id of the `datalist` with the names of services.
const SERVICE_LIST: &str = "service-names";

/// Renders all sections.
pub(super) fn render(draft: &Value, faults: &FaultsByPath<'_>) -> Markup {
    html! {
        (datalist(ZONE_LIST, names(&draft["zones"])))
        (datalist(SERVICE_LIST, names(&draft["services"])))
        section {
            h2 { "Data centres" }
            (string_list("$.zones", &draft["zones"], None, "Add a data centre", faults))
        }
        section {
            h2 { "Services" }
            (list_marker("$.services"))
            (faults.render_at("$.services"))
            @for (path, value) in elements("$.services", &draft["services"]) {
                (service(&path, value, faults))
            }
            (add_button("$.services", "Add a service"))
        }
        section {
            h2 { "Workspaces" }
            (list_marker("$.workspaces"))
            (faults.render_at("$.workspaces"))
            @for (path, value) in elements("$.workspaces", &draft["workspaces"]) {
                (workspace(&path, value, faults))
            }
            (add_button("$.workspaces", "Add a workspace"))
        }
    }
}

/// List elements with their paths.
fn elements<'a>(list_path: &str, value: &'a Value) -> Vec<(String, &'a Value)> {
    let values = value.as_array().into_iter().flatten();
    values.enumerate().map(|(i, value)| (path::element(list_path, i), value)).collect()
}

/// Names of the elements of a list of strings or of named objects.
fn names(list: &Value) -> Vec<&str> {
    let values = list.as_array().into_iter().flatten();
    values.filter_map(|value| value.get("name").unwrap_or(value).as_str()).collect()
}

/// Suggestions for text inputs.
fn datalist(id: &str, names: Vec<&str>) -> Markup {
    html! { datalist id=(id) { @for name in names { option value=(name); } } }
}

/// Editor of a list of strings.
fn string_list(
    list_path: &str,
    value: &Value,
    suggestions: Option<&str>,
    label: &str,
    faults: &FaultsByPath<'_>,
) -> Markup {
    html! {
        (list_marker(list_path))
        (faults.render_at(list_path))
        @for (path, value) in elements(list_path, value) {
            div.row {
                (text_field("name", &path, value, suggestions, faults))
                (remove_button(&path))
            }
        }
        (add_button(list_path, label))
    }
}

fn service(path: &str, value: &Value, faults: &FaultsByPath<'_>) -> Markup {
    let field = |name: &str| path::field(path, name);
    html! {
        fieldset id=(path) {
            legend { "Service " (value["name"].as_str().unwrap_or_default()) }
            (faults.render_at(path))
            div.row {
                (text_field("name", &field("name"), &value["name"], None, faults))
                (select_field("kind", &field("kind"), &value["kind"],
                    &[schema::ENGINE_KIND, schema::PLAIN_KIND], faults))
                (remove_button(path))
            }
            @if value["kind"] == schema::PLAIN_KIND {
                (operations(&field("operations"), &value["operations"], faults))
            } @else {
                (text_field("model", &field("model"), &value["model"], None, faults))
            }
            (targets(&field("targets"), &value["targets"], faults))
            (limit_fields("Online calls", &field("online"), &value["online"],
                &schema::ONLINE_LIMITS,
                faults))
            (limit_fields("Batch work", &field("batch"), &value["batch"],
                &schema::BATCH_LIMITS, faults))
        }
    }
}

fn operations(list_path: &str, value: &Value, faults: &FaultsByPath<'_>) -> Markup {
    html! {
        fieldset {
            legend { "Operations" }
            (list_marker(list_path))
            (faults.render_at(list_path))
            @for (path, value) in elements(list_path, value) {
                div.row {
                    (text_field("name", &path::field(&path, "name"), &value["name"], None, faults))
                    (select_field("repeatable", &path::field(&path, "repeatable"),
                        &value["repeatable"], &["true", "false"], faults))
                    (remove_button(&path))
                }
            }
            (add_button(list_path, "Add an operation"))
        }
    }
}

fn targets(list_path: &str, value: &Value, faults: &FaultsByPath<'_>) -> Markup {
    html! {
        fieldset {
            legend { "Targets" }
            (list_marker(list_path))
            (faults.render_at(list_path))
            @for (path, value) in elements(list_path, value) {
                div.row {
                    (text_field("name", &path::field(&path, "name"), &value["name"], None, faults))
                    (text_field("zone", &path::field(&path, "zone"), &value["zone"],
                        Some(ZONE_LIST), faults))
                    (text_field("address", &path::field(&path, "address"), &value["address"], None,
                        faults))
                    (remove_button(&path))
                }
            }
            (add_button(list_path, "Add a target"))
        }
    }
}

fn workspace(path: &str, value: &Value, faults: &FaultsByPath<'_>) -> Markup {
    let field = |name: &str| path::field(path, name);
    html! {
        fieldset id=(path) {
            legend { "Workspace " (value["name"].as_str().unwrap_or_default()) }
            (faults.render_at(path))
            div.row {
                (text_field("name", &field("name"), &value["name"], None, faults))
                (text_field("key_digest", &field("key_digest"), &value["key_digest"], None, faults))
                (remove_button(path))
            }
            fieldset {
                legend { "Services it may call" }
                (string_list(&field("services"), &value["services"], Some(SERVICE_LIST),
                    "Add a service", faults))
            }
            (limit_fields("Limits", &field("limits"), &value["limits"],
                &schema::WORKSPACE_LIMITS, faults))
        }
    }
}
