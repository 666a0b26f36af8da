//! HTTP client for targets: model engines and plain services.
//!
//! Connections are pooled by address. When waiting for a response head or a complete body times
//! out, all pooled connections to that target are retired. A call that must not be repeated uses a
//! dedicated connection: on a pooled connection that was lost while idle, it would be unknown
//! whether the target received the call.

mod chat;
mod client;
mod control;
mod error;

pub use chat::{ChatEvent, ChatStream, Usage, streaming_body};
pub use client::{
    ConnectionMode, TargetClient, TargetResponse, Timeouts, accepts_connections,
    refuses_connections,
};
pub use control::{EngineLoad, EngineState, Order, OrderOutcome};
pub use error::TargetError;
