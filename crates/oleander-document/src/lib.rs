//! The one document that operators write: services, targets, limits and workspaces.

mod canonical;
mod document;
mod fault;
mod json;
mod names;
pub mod path;
mod read;
mod reader;
pub mod schema;

pub use document::{
    BatchLimits, Document, OnlineLimits, Operation, Service, ServiceKind, TargetEntry, Workspace,
    WorkspaceLimits,
};
pub use fault::Fault;
