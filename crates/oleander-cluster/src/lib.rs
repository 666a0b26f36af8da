//! This host's view of all hosts, and requests between hosts.
//!
//! Each process writes one [`HostRecord`] to the platform when it starts. From then on, liveness
//! comes from `oleander-members` over authenticated links, at a cost per host that does not grow
//! with the number of hosts, and without requests to the platform. A host that can't reach the
//! platform sends its requests through another host ([`FailoverStore`]). [`Directory`] selects the
//! addresses that callers get.

mod begun;
mod breaker;
mod cluster;
mod contact;
mod departure;
mod directory;
mod disconnected;
mod failover;
mod fallback;
mod feed;
mod join;
mod message;
mod poll;
mod probing;
mod quarantine;
mod rates;
mod record;
mod retirement;
mod served;
mod settled;
mod sharing;
mod stored;
mod streams;
mod versions;
mod zone_load;

pub use breaker::CircuitBreaker;
pub use cluster::{Cluster, Handler, Identity, LINK_WORKERS, Liveness};
pub use directory::{Directory, EntryHost};
pub use disconnected::forward_address;
pub use failover::{FailoverStore, StoreFallback, StoreRequest, StoreResponse};
pub use feed::{ChangeFeeds, ChangeLog, ChangesSince, Feeder, SHORT_FEED_WAIT, select_feeder};
pub use join::join;
pub use message::{PeerRequest, PeerResponse, ServiceLoad, ServiceQuarantine, ServiceRates};
pub use record::{HostRecord, PREFIX as HOST_PREFIX};
pub use retirement::RetirementStore;
pub use zone_load::{ZoneLoad, select_reporter};
