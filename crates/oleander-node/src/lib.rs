//! What the entry and the batch process share beyond the host shell.
//!
//! Both start from the same settings, follow the same document and route by the same policies.

mod convert;
mod document;
mod policy;
mod process;

pub use convert::{peer_counts, router_targets, target_counts, target_status};
pub use document::{DOCUMENT_KEY, LocalDocument, VersionedDocument};
pub use policy::routing_policy;
pub use process::{ProcessContext, ProcessError, record_lifecycle, run_process};
