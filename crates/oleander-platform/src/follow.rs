//! Follows the objects below a prefix with scans and watches.
//!
//! [`Follower::next`] scans once and then watches from the revision that it has reached. It scans
//! again if the platform no longer keeps the changes since that revision. Failed watches and scans
//! are retried with exponential backoff up to a limit.
//!
//! A scan that fails, or whose caller leaves, goes on after the last page that was read. Each page
//! that is read within [`MAX_PAGE_WAIT`] is progress, so that a scan ends, and it is at most that
//! old for each of its pages. Changes made meanwhile are watched from the revision of its first
//! page. If the platform no longer keeps them, the snapshot has still been returned, and the next
//! scan replaces it.

use std::time::Duration;

use oleander_core::Revision;
use tokio::time::Instant;

use crate::{
    object::{Change, Object},
    platform::{ObjectStore, PlatformError},
};

/// Delay before the first retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Time after a page within which the next one must be read; after that, a scan begins anew, as most
/// of what it has read may have changed.
const MAX_PAGE_WAIT: Duration = Duration::from_secs(10);

/// Wait of a watch that is a retry, or a read of the changes up to now.
pub const POLL_WAIT: Duration = Duration::from_millis(10);

/// What [`Follower::next`] returns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowEvent {
    /// All objects below the prefix; an object that is not included no longer exists.
    Snapshot(Vec<(String, Object)>),
    /// Changes since the last event, in order; empty if the watch timed out.
    Changes(Vec<Change>),
    /// The request failed; objects that were received before may be out of date.
    Failed(PlatformError),
}

/// Pages of a scan that has not ended yet.
#[derive(Debug)]
struct Pages {
    /// Revision of the first page.
    revision: Revision,
    objects: Vec<(String, Object)>,
    /// Key after which the next page begins.
    after: String,
    /// When the last page was read.
    read: Instant,
}

/// Follows the objects below one prefix.
#[derive(Debug)]
pub struct Follower<S> {
    store: S,
    prefix: String,
    wait: Duration,
    pause: Duration,
    revision: Option<Revision>,
    retry_delay: Option<Duration>,
    pages: Option<Pages>,
    is_current: bool,
}

/// Maximum wait of a watch whose changes must be acted on immediately.
///
/// A store that is disconnected may accept a watch and never respond, while the connection stays
/// open. Cancelled jobs, leaving targets and new routes must be seen within seconds after the
/// store is available again.
pub const SHORT_WAIT: Duration = Duration::from_secs(2);

impl<S: ObjectStore> Follower<S> {
    /// Creates a follower of `prefix` whose watches wait at most `wait`.
    #[must_use]
    pub fn new(store: S, prefix: &str, wait: Duration) -> Self {
        let prefix = prefix.to_owned();
        Self {
            store,
            prefix,
            wait,
            pause: Duration::ZERO,
            revision: None,
            retry_delay: None,
            pages: None,
            is_current: false,
        }
    }

    /// Sets the time between two watches, so that one response carries several changes.
    #[must_use]
    pub const fn pause(mut self, pause: Duration) -> Self {
        self.pause = pause;
        self
    }

    /// Revision up to which all changes were returned; `None` before the first scan.
    #[must_use]
    pub const fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Whether all that the last event says was read during the call that returned it.
    ///
    /// A snapshot may include pages that were read by earlier calls.
    #[must_use]
    pub const fn is_current(&self) -> bool {
        self.is_current
    }

    /// Reads what has changed up to now, without waiting for a change.
    ///
    /// Such a watch is answered by the platform itself.
    pub async fn poll(&mut self) -> FollowEvent {
        let event = match self.revision {
            None => self.scan().await,
            Some(from) => self.watch_for(from, POLL_WAIT).await,
        };
        event.unwrap_or_else(FollowEvent::Failed)
    }

    /// Waits for the next event; if this is dropped, the next call waits for the same one.
    pub async fn next(&mut self) -> FollowEvent {
        if let Some(delay) = self.retry_delay {
            tokio::time::sleep(delay).await;
        }
        let event = match self.revision {
            None => self.scan().await,
            Some(from) => self.watch(from).await,
        };
        match event {
            Ok(event) => {
                self.retry_delay = None;
                event
            }
            Err(error) => {
                let doubled = self.retry_delay.map_or(MIN_RETRY_DELAY, |delay| delay * 2);
                self.retry_delay = Some(doubled.min(MAX_RETRY_DELAY));
                FollowEvent::Failed(error)
            }
        }
    }

    async fn watch(&mut self, from: Revision) -> Result<FollowEvent, PlatformError> {
        // After a failure, a short watch shows immediately that the platform is available again; a
        // long one would not return until the next change.
        let (pause, wait) = match self.retry_delay {
            Some(_) => (Duration::ZERO, POLL_WAIT),
            None => (self.pause, self.wait),
        };
        tokio::time::sleep(pause).await;
        self.watch_for(from, wait).await
    }

    async fn watch_for(
        &mut self,
        from: Revision,
        wait: Duration,
    ) -> Result<FollowEvent, PlatformError> {
        self.is_current = false;
        match self.store.watch(&self.prefix, from, wait).await {
            Ok(changes) => {
                self.revision = Some(changes.revision.max(from));
                self.is_current = true;
                Ok(FollowEvent::Changes(changes.changes))
            }
            Err(PlatformError::HistoryGone) => {
                self.revision = None;
                self.scan().await
            }
            Err(error) => Err(error),
        }
    }

    /// Scans, or goes on with the scan that an earlier call has begun.
    async fn scan(&mut self) -> Result<FollowEvent, PlatformError> {
        self.is_current = false;
        self.pages.take_if(|pages| pages.read.elapsed() >= MAX_PAGE_WAIT);
        let is_begun_before = self.pages.is_some();
        while self.read_page().await? {
            self.retry_delay = None;
        }
        let pages = self.pages.take();
        self.revision = pages.as_ref().map(|pages| pages.revision);
        self.is_current = !is_begun_before;
        Ok(FollowEvent::Snapshot(pages.map(|pages| pages.objects).unwrap_or_default()))
    }

    /// Reads the next page; returns whether there are more.
    async fn read_page(&mut self) -> Result<bool, PlatformError> {
        let after = self.pages.as_ref().map_or("", |pages| pages.after.as_str());
        let page = self.store.scan(&self.prefix, after).await?;
        // Watching from the revision of the first page covers changes that are made while later
        // pages are read.
        let pages = self.pages.get_or_insert_with(|| Pages {
            revision: page.revision,
            objects: Vec::new(),
            after: String::new(),
            read: Instant::now(),
        });
        pages.read = Instant::now();
        let last = page.objects.last().map(|(key, _)| key.clone());
        pages.objects.extend(page.objects);
        let Some(last) = last.filter(|_| page.more) else { return Ok(false) };
        pages.after = last;
        Ok(true)
    }
}
