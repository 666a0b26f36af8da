//! The hosts of the system as one host sees them, and calls between them.
//!
//! Each process writes one [`HostRecord`] to the platform when it starts; from there on liveness
//! comes from `oleander-members` over authenticated links, at a cost that does not grow with the
//! fleet and without calls of the platform. A host whose path to the platform is bad goes by way of
//! another ([`FailoverStore`]). [`Directory`] decides which addresses callers get.

mod breaker;
mod cluster;
mod directory;
mod failover;
mod fallback;
mod feed;
mod join;
mod message;
mod probing;
mod record;
mod retirement;
mod sharing;
mod zone_load;

pub use breaker::CircuitBreaker;
pub use cluster::{Cluster, Handler, Identity, Liveness};
pub use directory::{Directory, EntryHost};
pub use failover::{FailoverStore, StoreFallback, StoreRequest, StoreResponse};
pub use feed::{ChangeFeeds, ChangeLog, ChangesSince, Feeder, PROMPT_FEED_WAIT, select_feeder};
pub use join::{JoinError, join};
pub use message::{PeerRequest, PeerResponse, ServiceLoad};
pub use record::{HostRecord, PREFIX as HOST_PREFIX};
pub use retirement::RetirementStore;
pub use zone_load::{ZoneLoad, select_reporter};
