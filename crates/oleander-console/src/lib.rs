//! The operators' console: a web form that edits the document.
//!
//! The form contains the whole document and the revision it was read at, so the server keeps no
//! state between requests. [`Draft`] converts form fields into a document. Fields and faults are
//! both identified by JSON path, so each fault is shown next to its field.

mod auth;
mod draft;
mod json_path;
mod pages;
mod settings;
mod submission;
mod view;

pub use draft::{Draft, DraftError};
pub use pages::{Console, router};
pub use settings::Settings;
