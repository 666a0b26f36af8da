//! Authenticated messages between the processes of the serving system, over `nng`.
//!
//! A [`Link`] calls peers by address and serves calls of peers. Every frame carries a version,
//! the sender, a time and a nonce, and is sealed with a keyed hash, so that a stranger on the
//! network is not a peer and an answer belongs to exactly one request. The library's own resend of
//! requests is off: a call is sent at most once, and [`LinkError`] tells whether the peer may have
//! processed it.
//!
//! A request frame that is recorded and sent again within the accepted age is processed again;
//! handlers that must not repeat work carry their own idempotency key.

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

/// Largest frame that is sent or accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Largest difference between a frame's time and the receiver's clock, unless set otherwise.
pub const MAX_FRAME_AGE: Span = Span::from_secs(60);
