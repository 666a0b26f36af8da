//! The hosts of the system as one host sees them, and calls between them.
//!
//! Each process writes one [`HostRecord`] to the platform when it starts; from there on liveness
//! comes from `oleander-members` over authenticated links, at a cost that does not grow with the
//! fleet and without calls of the platform. A host whose path to the platform is bad goes by way of
//! another ([`Routed`]). [`Directory`] decides which addresses callers get.

mod breaker;
mod cluster;
mod detour;
mod directory;
mod feed;
mod join;
mod message;
mod probing;
mod record;
mod retirement;
mod sharing;
mod ways;
mod zone_load;

pub use breaker::Breaker;
pub use cluster::{Cluster, Handler, Identity, Presence};
pub use detour::{Detour, Routed, StoreAnswer, StoreCall};
pub use directory::{Candidate, Directory};
pub use feed::{Feeder, Feeds, History, News, PROMPT_FEED, feeder_of};
pub use join::{JoinError, join};
pub use message::{PeerAnswer, PeerCall, ServiceLoad};
pub use record::{HostRecord, PREFIX as HOST_PREFIX};
pub use retirement::Retire;
pub use zone_load::{ZoneLoad, teller};
