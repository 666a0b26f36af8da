//! Calls between hosts.

use oleander_core::{ServiceId, Time, ZoneId, value};
use oleander_members::Message;
use oleander_routing::PeerCount;
use serde::{Deserialize, Serialize};

use crate::failover::{StoreRequest, StoreResponse};

value! {
    /// One host's work in flight at the targets of one service.
    pub struct ServiceLoad {
        /// The service.
        pub service: ServiceId,
        /// Targets with work of the sender.
        pub counts: Vec<PeerCount>,
    }
}

/// A call from one host to another; `Q` belongs to the application.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest<Q> {
    /// Membership.
    Member(Message),
    /// Work in flight: the sender's to hosts of its data centre, that of its data centre to others.
    Load {
        /// The sender's data centre.
        zone: ZoneId,
        /// By service.
        services: Vec<ServiceLoad>,
        /// When it was counted, on the sender's clock.
        sent: Time,
    },
    /// A call of the platform that the sender can't make.
    Store(StoreRequest),
    /// A call of the application.
    App(Q),
}

/// The answer to a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerResponse<A> {
    /// Messages of membership to the caller.
    Member(Vec<Message>),
    /// Taken in.
    Noted,
    /// What came of a call of the platform.
    Store(StoreResponse),
    /// Answer of the application.
    App(A),
}
