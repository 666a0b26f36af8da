//! Traits of the platform, and the error of their methods.

use std::{fmt, time::Duration};

use bytes::Bytes;
use oleander_core::Revision;

use crate::object::{Change, Changes, Created, HostListing, Listing, Object, Page, Updated};

/// Objects in one page of a scan.
const PAGE_OBJECTS: usize = 500;

/// The platform's object store, with conditional writes.
///
/// Implementations never retry a write: if a response is lost, the caller determines the outcome
/// by reading the object.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Reads an object; `None` if there is none.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Object>, PlatformError>> + Send;

    /// Creates an object unless one with this key exists.
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

    /// Lists at most `limit` objects whose keys begin with `prefix` and sort after `after`.
    fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Listing, PlatformError>> + Send;

    /// Waits until an object below `prefix` changes after `from`; returns the revision of a change.
    ///
    /// Returns `from` after a bounded wait. Watches may omit changes, so the caller must read the
    /// object in either case.
    fn changed(
        &self,
        prefix: &str,
        from: Revision,
    ) -> impl Future<Output = Result<Revision, PlatformError>> + Send;

    /// Reads a page of the objects whose keys begin with `prefix` and sort after `after`.
    ///
    /// An object that is removed during the scan is omitted.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
    ) -> impl Future<Output = Result<Page, PlatformError>> + Send {
        async move {
            let listing = self.list(prefix, after, PAGE_OBJECTS).await?;
            let mut objects = Vec::with_capacity(listing.objects.len());
            for listed in listing.objects {
                if let Some(object) = self.get(&listed.key).await? {
                    objects.push((listed.key, object));
                }
            }
            Ok(Page { objects, revision: listing.revision, more: listing.more })
        }
    }

    /// Waits at most `wait` for changes below `prefix` after `from`, and returns them.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::HistoryGone`] if the changes since `from` are no longer kept; the
    /// caller must scan again.
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
                changes = changes_after(self, prefix, from).await?;
            }
            Ok(Changes { changes, revision: newest.max(from) })
        }
    }
}

/// Scans for the objects below `prefix` that changed after `from`; removals are not found.
async fn changes_after<S: ObjectStore>(
    store: &S,
    prefix: &str,
    from: Revision,
) -> Result<Vec<Change>, PlatformError> {
    let mut changes = Vec::new();
    let mut after = String::new();
    loop {
        let page = store.scan(prefix, &after).await?;
        let last = page.objects.last().map(|(key, _)| key.clone());
        let changed = page.objects.into_iter().filter(|(_, object)| object.revision > from);
        changes.extend(changed.map(|(key, object)| Change { key, object: Some(object) }));
        match last {
            Some(last) if page.more => after = last,
            _ => return Ok(changes),
        }
    }
}

/// A platform that also lists the hosts.
pub trait Platform: ObjectStore {
    /// Reads the list of hosts.
    fn hosts(&self) -> impl Future<Output = Result<HostListing, PlatformError>> + Send;
}

/// Why a request to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformError {
    /// The request did not reach the platform; nothing changed.
    Unreachable(String),
    /// No valid response was received; a write may have taken effect.
    NoResponse(String),
    /// The platform rejected the request as invalid; nothing changed.
    Rejected(String),
    /// The platform refused the request temporarily; nothing changed.
    Busy(String),
    /// The platform no longer keeps the changes that a watch requested.
    HistoryGone,
}

impl PlatformError {
    /// Whether a write that failed with this error may have taken effect.
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
            Self::Rejected(text) => write!(f, "platform rejected the request: {text}"),
            Self::Busy(text) => write!(f, "platform refused the request temporarily: {text}"),
            Self::HistoryGone => f.write_str("platform no longer keeps the requested changes"),
        }
    }
}

impl std::error::Error for PlatformError {}
