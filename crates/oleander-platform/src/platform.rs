//! The trait that stands for the platform's object store.

use std::fmt;

use bytes::Bytes;
use oleander_core::Revision;

use crate::object::{Created, HostView, Listing, Object, Updated};

/// Conditional object store of the platform.
///
/// Implementations never retry a write by themselves: whoever writes settles a lost answer by
/// reading the object back.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reads an object; `None` if there is none.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, PlatformError>> + Send;

    /// Creates an object unless one stands under the key.
    fn create(
        &self,
        key: &str,
        body: Bytes,
    ) -> impl Future<Output = Result<Created, PlatformError>> + Send;

    /// Replaces an object if its revision is `expected`.
    fn update(
        &self,
        key: &str,
        body: Bytes,
        expected: Revision,
    ) -> impl Future<Output = Result<Updated, PlatformError>> + Send;

    /// Lists keys that begin with `prefix` and sort after `after`, at most `limit`.
    fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Listing, PlatformError>> + Send;

    /// Waits until an object below `prefix` changes after `from`; returns the newest revision seen.
    ///
    /// Returns `from` after a bounded wait: watches may leave changes out, so that the caller
    /// reads the object in any case.
    fn changed(
        &self,
        prefix: &str,
        from: Revision,
    ) -> impl Future<Output = Result<Revision, PlatformError>> + Send;

    /// Reads the list of hosts.
    fn hosts(&self) -> impl Future<Output = Result<HostView, PlatformError>> + Send;
}

/// Why a call of the platform has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformError {
    /// The call did not reach the platform; nothing changed.
    Unreachable(String),
    /// No answer came; a write may have taken effect.
    NoAnswer(String),
    /// The platform rejected the call as malformed; nothing changed.
    Rejected(String),
}

impl PlatformError {
    /// Whether a write that failed so may have taken effect.
    #[must_use]
    pub const fn may_have_written(&self) -> bool {
        matches!(self, Self::NoAnswer(_))
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(text) => write!(f, "platform is unreachable: {text}"),
            Self::NoAnswer(text) => write!(f, "platform did not answer: {text}"),
            Self::Rejected(text) => write!(f, "platform rejected the call: {text}"),
        }
    }
}

impl std::error::Error for PlatformError {}
