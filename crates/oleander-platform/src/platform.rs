//! The traits that stand for the platform.

use std::{fmt, time::Duration};

use bytes::Bytes;
use oleander_core::Revision;

use crate::object::{Change, Changes, Created, HostListing, Listing, Object, Page, Updated};

/// Rows asked for with one call of a scan.
const SCAN_ROWS: usize = 500;

/// Conditional object store of the platform.
///
/// Implementations never retry a write by themselves: whoever writes settles a lost answer by
/// reading the object back.
pub trait ObjectStore: Clone + Send + Sync + 'static {
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

    /// Removes an object if its revision is `expected`.
    fn remove(
        &self,
        key: &str,
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

    /// Reads a page of the objects whose keys begin with `prefix` and sort after `after`.
    ///
    /// An object that is removed meanwhile is left out.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
    ) -> impl Future<Output = Result<Page, PlatformError>> + Send {
        async move {
            let listing = self.list(prefix, after, SCAN_ROWS).await?;
            let mut objects = Vec::with_capacity(listing.objects.len());
            for row in listing.objects {
                if let Some(object) = self.get(&row.key).await? {
                    objects.push((row.key, object));
                }
            }
            Ok(Page { objects, revision: listing.revision, more: listing.more })
        }
    }

    /// Waits at most `wait` for changes below `prefix` after `from`, and returns them.
    ///
    /// # Errors
    ///
    /// [`PlatformError::HistoryGone`] asks the caller to scan anew.
    fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, PlatformError>> + Send {
        async move {
            let changed = tokio::time::timeout(wait, self.changed(prefix, from)).await;
            let newest = changed.unwrap_or(Ok(from))?;
            let mut changes = Vec::new();
            if newest > from {
                changes = newer_than(self, prefix, from).await?;
            }
            Ok(Changes { changes, revision: newest.max(from) })
        }
    }
}

/// Objects below `prefix` that changed after `from`, read page by page.
async fn newer_than<S: ObjectStore>(
    store: &S,
    prefix: &str,
    from: Revision,
) -> Result<Vec<Change>, PlatformError> {
    let mut newer = Vec::new();
    let mut after = String::new();
    loop {
        let page = store.scan(prefix, &after).await?;
        let last = page.objects.last().map(|(key, _)| key.clone());
        let changed = page.objects.into_iter().filter(|(_, object)| object.revision > from);
        newer.extend(changed.map(|(key, object)| Change { key, object: Some(object) }));
        match last {
            Some(last) if page.more => after = last,
            _ => return Ok(newer),
        }
    }
}

/// The platform of deployments that list their hosts.
pub trait Platform: ObjectStore {
    /// Reads the list of hosts.
    fn hosts(&self) -> impl Future<Output = Result<HostListing, PlatformError>> + Send;
}

/// Why a call of the platform has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformError {
    /// The call did not reach the platform; nothing changed.
    Unreachable(String),
    /// No answer came; a write may have taken effect.
    NoResponse(String),
    /// The platform rejected the call as malformed; nothing changed.
    Rejected(String),
    /// The platform refused the call for now; nothing changed.
    Busy(String),
    /// The changes that a watch asked for are no longer kept.
    HistoryGone,
}

impl PlatformError {
    /// Whether a write that failed so may have taken effect.
    #[must_use]
    pub const fn may_have_written(&self) -> bool {
        matches!(self, Self::NoResponse(_))
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(text) => write!(f, "platform is unreachable: {text}"),
            Self::NoResponse(text) => write!(f, "platform did not answer: {text}"),
            Self::Rejected(text) => write!(f, "platform rejected the call: {text}"),
            Self::Busy(text) => write!(f, "platform refused the call for now: {text}"),
            Self::HistoryGone => f.write_str("platform no longer keeps these changes"),
        }
    }
}

impl std::error::Error for PlatformError {}
