//! The operators' console: a page of forms that edits the document.
//!
//! The page holds the whole document together with the revision that was read; the server keeps
//! nothing between two requests. [`Draft`] turns fields into a document, whose faults stand beside
//! their fields because a field is named by its JSON path.

mod auth;
mod draft;
mod pages;
mod settings;
mod steps;
mod submission;
mod view;

pub use draft::{Draft, DraftError};
pub use pages::{Console, router};
pub use settings::Settings;
