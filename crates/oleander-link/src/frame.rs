//! Frames on the wire: version byte, seal, then the postcard-encoded body.
//!
//! The seal covers the version and the body. The kind of a frame is part of the body, so that a
//! request can't be returned as its own answer.

use oleander_core::{HostId, Span, Time};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{LinkError, LinkKey, MAX_FRAME_BYTES};

/// Version of the frame layout.
pub(crate) const VERSION: u8 = 1;

/// Bytes before the body: the version and the seal.
const HEAD_BYTES: usize = 1 + blake3::OUT_LEN;

/// Random number that ties an answer to its request.
pub(crate) type Nonce = [u8; 16];

/// What a frame carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Kind {
    /// A request.
    Request,
    /// The answer of the handler.
    Answer,
    /// The request was not processed: wrong seal or stale time.
    Unauthenticated,
    /// The request was not processed: its version is not spoken here.
    Version,
    /// The request was not processed: it does not decode.
    Codec,
    /// The handler failed, or its answer exceeds the bound.
    Failed,
}

/// The sealed part of a frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Frame {
    /// What the frame carries.
    pub(crate) kind: Kind,
    /// Host that sealed the frame.
    pub(crate) sender: HostId,
    /// Clock of the sender.
    pub(crate) at: Time,
    /// Nonce of the request.
    pub(crate) nonce: Nonce,
    /// Encoded message.
    pub(crate) payload: Vec<u8>,
}

impl Frame {
    /// Encodes and seals the frame.
    pub(crate) fn seal(&self, key: &LinkKey) -> Result<Vec<u8>, LinkError> {
        let mut bytes = vec![0; HEAD_BYTES];
        bytes[0] = VERSION;
        let mut bytes = postcard::to_extend(self, bytes).map_err(codec)?;
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(LinkError::TooLarge(bytes.len()));
        }
        let seal = key.seal(&bytes[HEAD_BYTES..]);
        bytes[1..HEAD_BYTES].copy_from_slice(seal.as_bytes());
        Ok(bytes)
    }

    /// Checks version and seal, then decodes the frame.
    pub(crate) fn open(bytes: &[u8], key: &LinkKey) -> Result<Self, LinkError> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(LinkError::TooLarge(bytes.len()));
        }
        let version = *bytes.first().ok_or(LinkError::Unauthenticated)?;
        if version != VERSION {
            return Err(LinkError::Version(version));
        }
        let seal = bytes.get(1..HEAD_BYTES).ok_or(LinkError::Unauthenticated)?;
        let seal: [u8; blake3::OUT_LEN] =
            seal.try_into().map_err(|_| LinkError::Unauthenticated)?;
        let body = &bytes[HEAD_BYTES..];
        if key.seal(body) != blake3::Hash::from_bytes(seal) {
            return Err(LinkError::Unauthenticated);
        }
        decode(body)
    }

    /// Checks that the frame's time is within `max_age` of `now`, before or after.
    pub(crate) fn check_age(&self, now: Time, max_age: Span) -> Result<(), LinkError> {
        let age = now.since(self.at).max(self.at.since(now));
        if age > max_age { Err(LinkError::Unauthenticated) } else { Ok(()) }
    }
}

/// Encodes a message for the payload of a frame.
pub(crate) fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, LinkError> {
    postcard::to_stdvec(message).map_err(codec)
}

/// Decodes a message that must fill `bytes`.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, LinkError> {
    match postcard::take_from_bytes(bytes).map_err(codec)? {
        (message, []) => Ok(message),
        (_, rest) => Err(LinkError::Codec(format!("{} bytes left over", rest.len()))),
    }
}

fn codec(error: postcard::Error) -> LinkError {
    LinkError::Codec(error.to_string())
}
