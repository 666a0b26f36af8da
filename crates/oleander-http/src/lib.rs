//! Checks and limits for the responses of HTTP servers that this system calls.
//!
//! A server in trouble may send bytes without end that are no content: informational responses,
//! header lines, chunk extensions. A [`LimitedConnector`] opens connections that fail after too many
//! of them, and [`count_content`] lets them read on with each piece of content. A response counts
//! only with a [`FinalStatus`], and one that ends with its connection only if no part of its request
//! is [`Unwritten`].

mod body;
mod connector;
mod framing;
mod read_limit;
mod status;
mod unwritten;

pub use body::{CountedBody, count_content};
pub use connector::LimitedConnector;
pub use framing::is_framed;
pub use read_limit::{LimitedStream, ReadLimit};
pub use status::{FinalStatus, NotFinal};
pub use unwritten::Unwritten;
