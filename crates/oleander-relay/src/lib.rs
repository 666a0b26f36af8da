//! Passes opaque requests on to targets and streams their answers back.
//!
//! A [`Request`] is matched to a [`Route`], waits for room at a target of the route's service, is
//! sent through the [`Targets`] port, and its answer goes to a [`Sink`]. Bodies are not read, but
//! for the borders and ids of stream events. [`Tries`] decides what follows a failure: another
//! target, a resumed stream, or a final answer that says truly whether the request may have run.
//!
//! [`Fleet`] holds the targets that the platform lists. [`Pool`] is a service's targets behind the
//! router, shared by online requests and batch items.

mod attempt;
mod capacity;
mod events;
mod fleet;
mod follow;
mod pool;
mod port;
mod relay;
mod request;
mod route;
mod sink;
mod table;
mod tries;

pub use attempt::{Attempt, Ended, Patience, attempt};
pub use capacity::Capacity;
pub use events::{Event, EventReader, Pushed, data_of};
pub use fleet::{Fleet, TargetEntry};
pub use follow::{ReadTarget, follow_routes, follow_targets};
pub use pool::{Granted, Pool, Pools, Seen, YieldRequest, batch_pick};
pub use port::{BodyError, Dispatch, Reply, ReplyBody, SendError, Targets};
pub use relay::{Relay, Summary};
pub use request::{Head, Request};
pub use route::{ParseRouteError, Repeat, Route, RouteKind, Share};
pub use sink::{ChannelSink, Refusal, Sink, SinkClosed, Verdict, channel};
pub use table::RouteTable;
pub use tries::{Step, Tries};
