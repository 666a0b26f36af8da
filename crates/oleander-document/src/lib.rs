//! The configuration document of operators: services, targets, limits and workspaces.
//!
//! [`Document`] is its validated form. [`Document::from_json`] parses and validates JSON; it either
//! accepts a document as a whole or returns every [`Fault`] in it. [`diff`] lists the [`Change`]s
//! between two documents. [`schema`] has the field names, defaults and bounds; the console and the
//! test of the configuration page use it, too.

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
