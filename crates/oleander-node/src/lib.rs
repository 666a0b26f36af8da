//! Startup, configuration document, pools of targets, writing of logs and type conversions that the
//! entry and batch processes share.
//!
//! Both read settings of the same format, follow the same document and apply the same routing
//! policies.

mod convert;
mod document;
mod policy;
mod pools;
mod process;
mod segment;

pub use convert::{peer_counts, router_targets, target_addresses, target_counts, target_status};
pub use document::{DOCUMENT_KEY, LocalDocument, VersionedDocument};
pub use policy::routing_policy;
pub use pools::{Pools, ServicePool};
pub use process::{ProcessContext, ProcessError, record_lifecycle, run_process};
pub use segment::create_segment;
