//! The frame format: a version byte, a message authentication code (MAC), and the body encoded with
//! `postcard`.
//!
//! The MAC covers the body. The body includes the kind of the frame, so that a request sent back to
//! its sender is not accepted as a response.

use oleander_core::{HostId, Span, Time};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{LinkError, LinkKey, MAX_FRAME_BYTES};

/// Version of the frame format.
pub(crate) const PROTOCOL_VERSION: u8 = 1;

/// Size of the version and the MAC, which precede the body.
const HEADER_BYTES: usize = 1 + blake3::OUT_LEN;

/// Random number that identifies a request and its response.
pub(crate) type Nonce = [u8; 16];

/// Type of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FrameKind {
    /// A request.
    Request,
    /// The response of the handler.
    #[serde(rename = "Answer")]
    Response,
    /// The request was rejected: wrong MAC, time or frame kind.
    Unauthenticated,
    /// The request was rejected: unsupported protocol version.
    Version,
    /// The request was rejected: it could not be decoded.
    Codec,
    /// The handler panicked, or its response could not be encoded or is too large.
    Failed,
}

/// The body of a frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Frame {
    /// Type of the frame.
    pub(crate) kind: FrameKind,
    /// Host that sent the frame.
    pub(crate) sender: HostId,
    /// Time of sending, on the sender's clock.
    #[serde(rename = "at")]
    pub(crate) sent_at: Time,
    /// Nonce of the request; zero in a response to a request that could not be read.
    pub(crate) nonce: Nonce,
    /// The encoded message.
    pub(crate) payload: Vec<u8>,
}

impl Frame {
    /// Encodes the frame and prepends its header.
    pub(crate) fn encode(&self, key: &LinkKey) -> Result<Vec<u8>, LinkError> {
        let mut bytes = vec![0; HEADER_BYTES];
        bytes[0] = PROTOCOL_VERSION;
        let mut bytes = postcard::to_extend(self, bytes).map_err(codec_error)?;
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(LinkError::TooLarge(bytes.len()));
        }
        let mac = key.mac(&bytes[HEADER_BYTES..]);
        bytes[1..HEADER_BYTES].copy_from_slice(mac.as_bytes());
        Ok(bytes)
    }

    /// Checks the version and the MAC of a frame and decodes its body.
    pub(crate) fn decode(bytes: &[u8], key: &LinkKey) -> Result<Self, LinkError> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(LinkError::TooLarge(bytes.len()));
        }
        let version = *bytes.first().ok_or(LinkError::Unauthenticated)?;
        if version != PROTOCOL_VERSION {
            return Err(LinkError::Version(version));
        }
        let mac = bytes.get(1..HEADER_BYTES).ok_or(LinkError::Unauthenticated)?;
        let mac: [u8; blake3::OUT_LEN] = mac.try_into().map_err(|_| LinkError::Unauthenticated)?;
        let body = &bytes[HEADER_BYTES..];
        if key.mac(body) != blake3::Hash::from_bytes(mac) {
            return Err(LinkError::Unauthenticated);
        }
        decode_message(body)
    }

    /// Checks that the frame was sent at most `max_age` before or after `now`.
    pub(crate) fn check_age(&self, now: Time, max_age: Span) -> Result<(), LinkError> {
        let age = now.since(self.sent_at).max(self.sent_at.since(now));
        if age > max_age { Err(LinkError::Unauthenticated) } else { Ok(()) }
    }
}

/// Encodes a message as the payload of a frame.
pub(crate) fn encode_message<T: Serialize>(message: &T) -> Result<Vec<u8>, LinkError> {
    postcard::to_stdvec(message).map_err(codec_error)
}

/// Decodes a message, which must take up all of `bytes`.
pub(crate) fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, LinkError> {
    match postcard::take_from_bytes(bytes).map_err(codec_error)? {
        (message, []) => Ok(message),
        (_, rest) => Err(LinkError::Codec(format!("{} trailing bytes", rest.len()))),
    }
}

fn codec_error(error: postcard::Error) -> LinkError {
    LinkError::Codec(error.to_string())
}
