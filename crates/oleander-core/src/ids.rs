//! Identifiers of hosts, zones, targets, requests, jobs and their parts.

use std::fmt;

use crate::{hash, number, text_id};

text_id! {
    /// A host of the serving system.
    HostId, 64;
    /// A data centre (zone).
    ZoneId, 64;
    /// A target (back end): a model engine or an instance of a plain service.
    TargetId, 64;
    /// A service that is declared in the configuration document.
    ServiceId, 64;
    /// A model that engines serve.
    ModelId, 96;
    /// A workspace (tenant).
    WorkspaceId, 64;
    /// The idempotency key of an online request, unique within its workspace.
    RequestId, 96;
    /// A batch job.
    JobId, 96;
    /// An uploaded input file.
    FileId, 96;
    /// An attempt of one process to run a request, an item or a lot.
    AttemptId, 160;
    /// A BLAKE3 digest, in lower-case hex.
    DigestId, 64;
}

number! {
    /// A revision of the platform's object store; larger is newer.
    Revision(u64), "";
    /// A fencing token in orders to targets; larger is newer.
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

/// Identifies an online call over all workspaces.
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
    /// The shard of the request log that holds the call, out of `shards`.
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

/// Error of parsing an identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseIdError {
    /// The text is empty.
    Empty,
    /// The text is longer than this number of bytes.
    TooLong(usize),
    /// The text contains this character, which is not allowed there.
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

/// Checks the length, in bytes, and the characters of an identifier.
///
/// # Errors
///
/// Returns the first violation.
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
