//! The one document that operators write: services, targets, limits and workspaces.

mod document;

pub use document::{
    BatchLimits, Document, OnlineLimits, Operation, Service, ServiceKind, TargetEntry, Workspace,
    WorkspaceLimits,
};
