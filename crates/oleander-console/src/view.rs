//! HTML of the console; text is escaped by the template library.

use std::collections::BTreeMap;

use maud::{DOCTYPE, Markup, html};
use oleander_core::Revision;
use oleander_document::{Change, Fault};
use oleanderctl::{admin::CurrentDocument, apply::Conflict};

use crate::{Draft, submission};

mod fields;
mod sections;

use fields::Faults;

/// What one page shows.
#[derive(Debug)]
pub(crate) struct Page {
    /// The document that was read, which the edit is bound to.
    pub(crate) base: CurrentDocument,
    pub(crate) draft: Draft,
    pub(crate) faults: Vec<Fault>,
    /// Changes of a preview.
    pub(crate) changes: Option<Vec<Change>>,
    pub(crate) notice: Option<Notice>,
}

/// What became of the last request.
#[derive(Debug)]
pub(crate) enum Notice {
    /// The draft has no faults.
    NoFaults,
    /// The document was accepted as this revision.
    Applied(Revision),
    /// Another change came first.
    Conflict(Conflict),
    /// Nothing was changed.
    Unreachable(String),
    /// The change may have taken effect.
    Unknown(String),
}

impl Page {
    /// A page that shows a draft and nothing else.
    pub(crate) const fn new(base: CurrentDocument, draft: Draft) -> Self {
        Self { base, draft, faults: Vec::new(), changes: None, notice: None }
    }
}

/// The page of forms.
pub(crate) fn render(page: &Page) -> Markup {
    let by_path = Faults::from(page.faults.as_slice());
    let revision = page.base.revision.map(|revision| revision.to_string()).unwrap_or_default();
    let base = page.base.document.as_ref().map(|document| document.to_value().to_string());
    frame(&html! {
        p { "Revision read: " strong { (if revision.is_empty() { "none" } else { &revision }) } }
        @if let Some(notice) = &page.notice { (render_notice(notice)) }
        @if !page.faults.is_empty() { (render_faults(&page.faults)) }
        @if let Some(changes) = &page.changes {
            section.changes { h2 { "Changes" } (render_changes(changes)) }
        }
        form method="post" action="/" {
            input type="hidden" name=(submission::REVISION) value=(revision);
            input type="hidden" name=(submission::BASE) value=(base.unwrap_or_default());
            p.buttons {
                (button("check", "Check"))
                (button("preview", "Preview changes"))
                (button("apply", "Apply"))
                a href="/" { "Discard and load the document in force" }
            }
            (sections::render(page.draft.value(), &by_path))
        }
    })
}

/// A page that says what went wrong.
pub(crate) fn failure(message: &str) -> Markup {
    frame(&html! {
        div.notice.bad role="alert" { p { (message) } }
        p { a href="/" { "Load the document in force" } }
    })
}

fn frame(content: &Markup) -> Markup {
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

/// A button that submits the form with an action.
fn button(action: &str, label: &str) -> Markup {
    html! { button type="submit" name=(submission::ACTION) value=(action) { (label) } }
}

fn render_notice(notice: &Notice) -> Markup {
    match notice {
        Notice::NoFaults => good("No faults."),
        Notice::Applied(revision) => good(&format!("Accepted as revision {revision}.")),
        Notice::Unreachable(error) => bad(&format!("Nothing was changed: {error}")),
        Notice::Unknown(error) => {
            bad(&format!("The change may have taken effect; apply again to settle it: {error}"))
        }
        Notice::Conflict(conflict) => render_conflict(conflict),
    }
}

fn good(message: &str) -> Markup {
    html! { div.notice.good role="status" { p { (message) } } }
}

fn bad(message: &str) -> Markup {
    html! { div.notice.bad role="alert" { p { (message) } } }
}

fn render_conflict(conflict: &Conflict) -> Markup {
    let show = |revision: Option<Revision>| match revision {
        Some(revision) => revision.to_string(),
        None => "none".to_owned(),
    };
    html! {
        div.notice.bad role="alert" {
            p {
                "Conflict: revision " (show(conflict.base)) " was read, revision "
                (show(conflict.revision)) " is in force. The change that came first:"
            }
            (render_changes(&conflict.changes))
            @if conflict.response_lost {
                p { "An answer was lost: this document may have been in force before that." }
            }
            p { a href="/" { "Discard these edits and load the document in force" } }
        }
    }
}

fn render_faults(faults: &[Fault]) -> Markup {
    html! {
        div.notice.bad role="alert" {
            p { (faults.len()) " faults; nothing was applied." }
            ul {
                @for fault in faults {
                    li { a href=(format!("#{}", fault.path)) { code { (fault.path) } } " " (fault.message) }
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

/// Messages by path.
type Messages<'a> = BTreeMap<&'a str, Vec<&'a str>>;
