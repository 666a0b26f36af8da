//! What the entry and the batch process share beyond the host shell.
//!
//! Both start from the same settings, follow the same document and route by the same policies.

mod documents;
mod policy;
mod start;
mod view;

pub use documents::{DOCUMENT_KEY, Documents, InForce};
pub use policy::routing_policy;
pub use start::{Parts, StartError, record_lifecycle, start};
pub use view::{peer_counts, router_targets, target_counts, target_status};
