//! Requests between hosts.

use oleander_core::{ServiceId, Time, ZoneId, value};
use oleander_members::Message;
use oleander_quarantine::QuarantineNews;
use oleander_relay::{BegunStreams, RateNews, StreamAnswer, StreamId, VersionStreams};
use oleander_routing::PeerCount;
use serde::{Deserialize, Serialize};

use crate::failover::{StoreRequest, StoreResponse};

value! {
    /// Work in flight at the targets of one service.
    pub struct ServiceLoad {
        /// The service.
        pub service: ServiceId,
        /// Targets with work in flight.
        pub counts: Vec<PeerCount>,
    }
}

value! {
    /// What a host knows of requests that crash the targets of one service.
    pub struct ServiceQuarantine {
        /// The service.
        pub service: ServiceId,
        /// Crashes and blocks.
        pub news: QuarantineNews,
    }
}

value! {
    /// What a host knows of the rates that the targets of one service name.
    pub struct ServiceRates {
        /// The service.
        pub service: ServiceId,
        /// The rates.
        pub news: Vec<RateNews>,
    }
}

/// A request from one host to another; `Q` is the application's request type.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest<Q> {
    /// A membership message.
    Member(Message),
    /// Work in flight: of the sender if both hosts are in one data centre, else the sums over the
    /// sender's data centre.
    Load {
        /// The sender's data centre.
        zone: ZoneId,
        /// Work in flight by service.
        services: Vec<ServiceLoad>,
        /// Time of the count, on the sender's clock.
        sent: Time,
    },
    /// A request to the platform on behalf of the sender.
    Store(StoreRequest),
    /// A request of the application.
    App(Q),
    /// New streams of the sender.
    Streams(Vec<VersionStreams>),
    /// Asks for the version that began a stream of a service.
    StreamVersion(ServiceId, StreamId),
    /// Crashes of targets and blocked parts that the sender knows of.
    Quarantine(Vec<ServiceQuarantine>),
    /// Rates that targets name, as far as the sender knows.
    Rates(Vec<ServiceRates>),
    /// Services whose targets the sender does not reach.
    Disconnected(Vec<ServiceId>),
    /// Streams that callers of the sender have, to be saved by the receiver.
    Begun(Vec<BegunStreams>),
}

/// The response to a request; `A` is the application's response type.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerResponse<A> {
    /// Membership messages to the sender of the request.
    Member(Vec<Message>),
    /// The load report or announcement was accepted.
    Noted,
    /// The platform's response.
    Store(StoreResponse),
    /// A response of the application.
    App(A),
    /// What the receiver knows about a stream.
    StreamVersion(StreamAnswer),
}
