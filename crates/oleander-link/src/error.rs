//! Errors of calls between processes.

use std::fmt;

/// Why a call has no answer, or a link can't be set up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkError {
    /// No connection to the peer; the request was certainly not sent.
    Unreachable(String),
    /// No answer arrived; the peer may have processed the request.
    NoResponse(String),
    /// The frame's seal, time or nonce is not the expected one.
    Unauthenticated,
    /// The peer speaks another version of the protocol.
    Version(u8),
    /// The payload does not decode to the expected type.
    Codec(String),
    /// The frame exceeds the size bound; size in bytes.
    TooLarge(usize),
    /// The key file can't be used.
    Key(String),
    /// The address can't be listened on.
    Listen(String),
}

impl LinkError {
    /// Whether the peer may have processed the request.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        matches!(self, Self::NoResponse(_) | Self::Unauthenticated | Self::Codec(_))
    }
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(reason) => write!(f, "peer is unreachable: {reason}"),
            Self::NoResponse(reason) => write!(f, "no answer from the peer: {reason}"),
            Self::Unauthenticated => f.write_str("frame is not authenticated"),
            Self::Version(version) => write!(f, "peer speaks protocol version {version}"),
            Self::Codec(reason) => write!(f, "payload does not decode: {reason}"),
            Self::TooLarge(bytes) => write!(f, "frame of {bytes} bytes exceeds the bound"),
            Self::Key(reason) => write!(f, "link key: {reason}"),
            Self::Listen(reason) => write!(f, "can't listen: {reason}"),
        }
    }
}

impl std::error::Error for LinkError {}
