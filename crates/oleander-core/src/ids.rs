//! Identifiers of hosts, zones, targets, requests, jobs and their parts.

use std::fmt;

use crate::{hash, number, text_id};

text_id! {
    /// One host of the serving system.
    HostId, 64;
    /// A data centre (zone).
    ZoneId, 64;
    /// A target (back end): a model engine or a plain service instance.
    TargetId, 64;
    /// A service that operators declare.
    ServiceId, 64;
    /// A model that engines load.
    ModelId, 96;
    /// A workspace of a caller (customer).
    WorkspaceId, 64;
    /// The idempotency key of an online request, unique within its workspace.
    RequestId, 96;
    /// A batch job.
    JobId, 96;
    /// An uploaded input file.
    FileId, 96;
    /// One run of one request, item or lot by one process.
    AttemptId, 160;
    /// A digest in lower-case hex.
    DigestId, 64;
}

number! {
    /// A revision of the platform's object store; larger is newer.
    Revision(u64), "";
    /// A fencing number carried by orders to targets; larger is newer.
    Fence(u64), "";
    /// A shard of the online request log.
    ShardId(u32), "";
    /// The position of a lot within its job.
    LotIndex(u32), "";
    /// The position of an item within its job.
    ItemIndex(u32), "";
    /// The position of a chunk within an input file.
    ChunkIndex(u32), "";
}

/// A request id together with the workspace that gives it meaning.
#[derive(
    Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct CallId {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Idempotency key within the workspace.
    pub request: RequestId,
}

impl CallId {
    /// Maps the call to one of `shards` log shards.
    #[must_use]
    pub fn shard(&self, shards: u32) -> ShardId {
        let hash = hash::hash_parts(&[self.workspace.as_str(), self.request.as_str()]);
        ShardId((hash % u64::from(shards.max(1))) as u32)
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.workspace, self.request)
    }
}

/// Why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseIdError {
    /// The text is empty.
    Empty,
    /// The text is longer than the bound, in bytes.
    TooLong(usize),
    /// A character is not allowed.
    InvalidCharacter(char),
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("identifier is empty"),
            Self::TooLong(max) => write!(f, "identifier is longer than {max} bytes"),
            Self::InvalidCharacter(c) => write!(f, "identifier must not contain {c:?}"),
        }
    }
}

impl std::error::Error for ParseIdError {}

/// Checks an identifier's length and characters.
///
/// # Errors
///
/// Returns the first fault found.
pub fn check_id(text: &str, max: usize) -> Result<(), ParseIdError> {
    let Some(first) = text.chars().next() else {
        return Err(ParseIdError::Empty);
    };
    if text.len() > max {
        return Err(ParseIdError::TooLong(max));
    }
    if !first.is_ascii_alphanumeric() {
        return Err(ParseIdError::InvalidCharacter(first));
    }
    match text.chars().find(|&c| !is_id_char(c)) {
        Some(c) => Err(ParseIdError::InvalidCharacter(c)),
        None => Ok(()),
    }
}

fn is_id_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':')
}
