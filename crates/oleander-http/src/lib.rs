//! Checks and limits for the responses of HTTP servers that this system calls.
//!
//! A server in trouble may send bytes without end that are no content: informational responses,
//! header lines, chunk extensions. A [`LimitedConnector`] opens connections that fail after too many
//! of them, and [`count_content`] lets them read on with each piece of content. A response counts
//! only with a [`FinalStatus`].

mod body;
mod connector;
mod read_limit;
mod status;

pub use body::{CountedBody, count_content};
pub use connector::LimitedConnector;
pub use read_limit::{LimitedStream, ReadLimit};
pub use status::{FinalStatus, NotFinal};
