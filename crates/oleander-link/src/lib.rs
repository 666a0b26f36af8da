//! Authenticated request-response calls between the processes of a deployment, over `nng`.
//!
//! A [`Link`] calls peers by address and serves the calls of peers. Each frame contains a version,
//! the sender, a time and a nonce, and is authenticated by a keyed hash. Only processes that have
//! the key can call, and a response is accepted only for its own request. A request is sent at most
//! once, since the resending of requests by `nng` is disabled; [`LinkError::may_have_run`] tells
//! whether the peer may have processed it.
//!
//! Requests are not protected against replays: a request frame that is captured and sent again
//! within the maximum frame age is processed again. Requests that must not run twice need an
//! idempotency key of their own.

mod connection;
mod counts;
mod error;
mod frame;
mod key;
mod link;
mod operation;
mod server;

pub use counts::LinkCounts;
pub use error::LinkError;
pub use key::LinkKey;
pub use link::Link;
pub use server::{Peer, Server};

use oleander_core::Span;

/// Maximum size of a frame that is sent or accepted.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Default maximum difference between the time of a frame and the receiver's clock.
pub const MAX_FRAME_AGE: Span = Span::from_secs(60);
