//! The adapter to targets: model engines and plain services.
//!
//! Connections are pooled by address and retired together when one goes silent. A call that may
//! not be repeated always opens a connection of its own, so that a connection that died in the
//! pool never leaves its outcome open.

mod chat;
mod client;
mod control;
mod error;

pub use chat::{ChatEvent, ChatStream, Usage, streaming_body};
pub use client::{ConnectionMode, TargetClient, TargetResponse, Timeouts};
pub use control::{EngineLoad, EngineState, Order, OrderOutcome};
pub use error::TargetError;
