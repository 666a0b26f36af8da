//! The hosts of the system as one host sees them, and calls between them.
//!
//! Each process writes one [`HostRecord`] to the platform when it starts; from there on liveness
//! comes from `oleander-members` over authenticated links, at a cost that does not grow with the
//! fleet and without calls of the platform. [`Directory`] decides which addresses callers get.

mod cluster;
mod directory;
mod join;
mod message;
mod probing;
mod record;
mod sharing;

pub use cluster::{Cluster, Handler, Identity, Presence};
pub use directory::{Candidate, Directory};
pub use join::{JoinError, join};
pub use message::{PeerAnswer, PeerCall, ServiceLoad};
pub use record::HostRecord;
