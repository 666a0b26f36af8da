//! HTML pages; the template library escapes all text.

use std::collections::BTreeMap;

use maud::{DOCTYPE, Markup, html};
use oleander_core::Revision;
use oleander_document::{Change, Fault};
use oleanderctl::{admin::CurrentDocument, apply::Conflict};

use crate::{Draft, submission};

mod fields;
mod sections;

use fields::FaultsByPath;

/// Contents of the form page.
#[derive(Debug)]
pub(crate) struct Page {
    /// Document and revision that the edit is based on.
    pub(crate) base: CurrentDocument,
    pub(crate) draft: Draft,
    pub(crate) faults: Vec<Fault>,
    /// Changes against `base`; set by a preview.
    pub(crate) changes: Option<Vec<Change>>,
    /// Result of the last action.
    pub(crate) notice: Option<Notice>,
}

/// Result of an action.
#[derive(Debug)]
pub(crate) enum Notice {
    /// The draft has no faults.
    NoFaults,
    /// The draft was applied as this revision.
    Applied(Revision),
    /// The document in force is no longer the one that the edit is based on.
    Conflict(Conflict),
    /// The request failed; nothing was changed.
    Failed(String),
    /// The response was lost; the draft may have been applied.
    Unknown(String),
}

impl Page {
    /// A page that shows only the form.
    pub(crate) const fn new(base: CurrentDocument, draft: Draft) -> Self {
        Self { base, draft, faults: Vec::new(), changes: None, notice: None }
    }
}

/// Renders the form page.
pub(crate) fn render(page: &Page) -> Markup {
    let faults = FaultsByPath::from(page.faults.as_slice());
    let revision = page.base.revision.map(|revision| revision.to_string()).unwrap_or_default();
    let base = page.base.document.as_ref().map(|document| document.to_value().to_string());
    layout(&html! {
        p { "Revision read: " strong { (if revision.is_empty() { "none" } else { &revision }) } }
        @if let Some(notice) = &page.notice { (render_notice(notice)) }
        @if !page.faults.is_empty() { (render_faults(&page.faults)) }
        @if let Some(changes) = &page.changes {
            section.changes { h2 { "Changes" } (render_changes(changes)) }
        }
        form method="post" action="/" {
            input type="hidden" name=(submission::REVISION_FIELD) value=(revision);
            input type="hidden" name=(submission::BASE_FIELD) value=(base.unwrap_or_default());
            p.buttons {
                (button("check", "Check"))
                (button("preview", "Preview changes"))
                (button("apply", "Apply"))
                a href="/" { "Discard and load the document in force" }
            }
            (sections::render(page.draft.value(), &faults))
        }
    })
}

/// Renders a page with an error message instead of the form.
pub(crate) fn error_page(message: &str) -> Markup {
    layout(&html! {
        div.notice.error role="alert" { p { (message) } }
        p { a href="/" { "Load the document in force" } }
    })
}

/// Wraps the content of a page in the common HTML skeleton.
fn layout(content: &Markup) -> Markup {
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { "Oleandertray console" }
                link rel="stylesheet" href="/style.css";
            }
            body {
                main {
                    h1 { "Oleandertray document" }
                    (content)
                }
            }
        }
    }
}

/// A button that submits the form with the given action.
fn button(action: &str, label: &str) -> Markup {
    html! { button type="submit" name=(submission::ACTION_FIELD) value=(action) { (label) } }
}

fn render_notice(notice: &Notice) -> Markup {
    match notice {
        Notice::NoFaults => success_notice("No faults."),
        Notice::Applied(revision) => success_notice(&format!("Applied as revision {revision}.")),
        Notice::Failed(error) => error_notice(&format!("Nothing was changed: {error}")),
        Notice::Unknown(error) => error_notice(&format!(
            "Outcome unknown, the change may have been applied; apply again to find out: {error}"
        )),
        Notice::Conflict(conflict) => render_conflict(conflict),
    }
}

fn success_notice(message: &str) -> Markup {
    html! { div.notice.success role="status" { p { (message) } } }
}

fn error_notice(message: &str) -> Markup {
    html! { div.notice.error role="alert" { p { (message) } } }
}

fn render_conflict(conflict: &Conflict) -> Markup {
    let to_text = |revision: Option<Revision>| match revision {
        Some(revision) => revision.to_string(),
        None => "none".to_owned(),
    };
    html! {
        div.notice.error role="alert" {
            p {
                "Conflict: revision " (to_text(conflict.base)) " was read, revision "
                (to_text(conflict.revision)) " is in force. The change that came first:"
            }
            (render_changes(&conflict.changes))
            @if conflict.response_lost {
                p { "A response was lost: these edits may have been in force before that change." }
            }
            p { a href="/" { "Discard these edits and load the document in force" } }
        }
    }
}

fn render_faults(faults: &[Fault]) -> Markup {
    html! {
        div.notice.error role="alert" {
            p { (faults.len()) " faults; nothing was applied." }
            ul {
                @for fault in faults {
                    li {
                        a href=(format!("#{}", fault.path)) { code { (fault.path) } } " "
                        (fault.message)
                    }
                }
            }
        }
    }
}

fn render_changes(changes: &[Change]) -> Markup {
    html! {
        @if changes.is_empty() { p { "No changes." } }
        ul.changes { @for change in changes { li { code { (change) } } } }
    }
}

/// Fault messages by JSON path.
type MessagesByPath<'a> = BTreeMap<&'a str, Vec<&'a str>>;
