//! The one document that operators write: services, targets, limits and workspaces.
//!
//! [`Document`] is the checked form; it is read whole by [`Document::from_json`], which lists every
//! [`Fault`]. [`diff`] lists the [`Change`]s between two documents. [`schema`] holds the field names,
//! defaults and bounds that the docs and the console share.

mod canonical;
mod diff;
mod document;
mod fault;
mod json;
mod names;
pub mod path;
mod read;
mod reader;
pub mod schema;
mod strict;

pub use diff::{Change, diff};
pub use document::{
    BatchLimits, Document, OnlineLimits, Operation, Service, ServiceKind, TargetConfig, Workspace,
    WorkspaceLimits,
};
pub use fault::Fault;
