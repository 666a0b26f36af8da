//! Errors of links and their calls.

use std::fmt;

/// Why a call failed, or a link could not be set up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinkError {
    /// There is no connection to the peer; the request was not sent.
    Unreachable(String),
    /// The connection was refused: nothing listens at the peer's address; the request was not sent.
    Refused(String),
    /// No response arrived, or the handler failed; the peer may have processed the request.
    NoResponse(String),
    /// The MAC, time or nonce of a frame is wrong.
    Unauthenticated,
    /// The peer uses another version of the protocol.
    Version(u8),
    /// A frame or message could not be encoded or decoded.
    Codec(String),
    /// The frame exceeds the maximum size; its size in bytes.
    TooLarge(usize),
    /// The shared secret can't be read or is too short.
    Key(String),
    /// The server can't listen on its address.
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
            Self::Refused(reason) => write!(f, "peer refuses the connection: {reason}"),
            Self::NoResponse(reason) => write!(f, "no response from the peer: {reason}"),
            Self::Unauthenticated => f.write_str("frame authentication failed"),
            Self::Version(version) => write!(f, "peer uses protocol version {version}"),
            Self::Codec(reason) => write!(f, "encoding or decoding failed: {reason}"),
            Self::TooLarge(bytes) => write!(f, "frame of {bytes} bytes exceeds the maximum size"),
            Self::Key(reason) => write!(f, "link key: {reason}"),
            Self::Listen(reason) => write!(f, "can't listen: {reason}"),
        }
    }
}

impl std::error::Error for LinkError {}
