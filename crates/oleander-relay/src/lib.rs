//! Forwards opaque requests to targets and streams the responses back.
//!
//! A [`Request`] is matched to a [`Route`], waits for capacity at a target of the route's service,
//! is sent over the [`TargetTransport`], and its response goes to a [`ResponseSink`]. Bodies are
//! not parsed, except for the boundaries and ids of stream events. [`RetryState`] decides what
//! follows a failed attempt: another target, a resumed stream, or a final response that says
//! correctly whether the request may have run.
//!
//! [`TargetList`] holds the targets that the platform lists. [`Pool`] holds the targets of one
//! service behind a router, shared by online requests and batch items.

mod attempt;
mod blocks;
mod configuration;
mod confirmations;
mod crash;
mod events;
mod follow;
mod forwarder;
mod forwarding;
mod host;
mod lease;
mod link_check;
mod links;
mod list_time;
mod memory;
mod pool;
mod pools;
mod progress;
mod quarantine;
mod rates;
mod relay;
mod request;
mod retry;
mod route;
mod sending;
mod sink;
mod streams;
mod summary;
mod table;
mod takeover;
mod target_list;
mod timed_sink;
mod transport;
mod version;

pub use attempt::{Attempt, AttemptOutcome, AttemptTimeouts, run_attempt};
pub use configuration::follow_routes;
pub use crash::request_parts;
pub use events::{Event, EventReader, ParsedEvents, event_data};
pub use follow::{ParseTarget, follow_targets};
pub use host::{
    Helper, HostDispatch, HostResponse, Origin, SENT as SENT_HEADER, VERSION as VERSION_HEADER,
};
pub use lease::{CrashWatch, TargetLease, TargetLoad};
pub use links::{LinkChange, Links};
pub use memory::{HeldBytes, LEFT_FOR_MEMORY, ResponseMemory};
pub use pool::{AcquireError, Pool, VersionChoice, YieldRequest, batch_pick};
pub use pools::Pools;
pub use quarantine::SharedQuarantine;
pub use rates::{RateNews, SendingHost, TargetRates};
pub use relay::Relay;
pub use request::{Request, ResponseHead};
pub use retry::{NextStep, RetryState};
pub use route::{RetryPolicy, Route, RouteError, RouteKind, TrafficShare};
pub use sink::{
    ChannelSink, Refusal, RefusalReason, ResponseChunks, ResponseSink, SinkClosed, response_channel,
};
pub use streams::{
    BegunStreams, ListState, StreamAnswer, StreamId, StreamQuery, StreamRegister, StreamVersions,
    VersionEvidence, VersionStreams,
};
pub use summary::RequestSummary;
pub use table::RouteTable;
pub use target_list::{TargetEntry, TargetList};
pub use transport::{
    BodyError, Dispatch, Reach, ResponseBody, SendError, TargetResponse, TargetTransport,
};
pub use version::{EmptyVersion, SoftwareVersion};
