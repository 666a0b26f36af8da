//! A copy of all objects below a prefix, kept by scans and watches.
//!
//! [`Follower::next`] scans once, then watches from the revision it has reached. After lost history
//! it scans again. A failed call leaves the copy as it is; the next call is made after a bounded,
//! growing delay.

use std::time::Duration;

use oleander_core::Revision;

use crate::{
    object::{Change, Object},
    platform::{ObjectStore, PlatformError},
};

/// Delay before the call after a first failure.
const FIRST_DELAY: Duration = Duration::from_millis(100);
/// Longest delay before a call after failures.
const MAX_DELAY: Duration = Duration::from_millis(800);

/// Wait of the first watch after a failure.
const SHORT_WAIT: Duration = Duration::from_millis(10);

/// What a follower learned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowEvent {
    /// All objects as they stand; whatever is missing is gone.
    Snapshot(Vec<(String, Object)>),
    /// Changes since the last answer, in order; none if the wait ran out.
    Changes(Vec<Change>),
    /// The platform gave no answer; the copy may be old.
    Failed(PlatformError),
}

/// Follows the objects below one prefix.
#[derive(Debug)]
pub struct Follower<S> {
    store: S,
    prefix: String,
    wait: Duration,
    pause: Duration,
    from: Option<Revision>,
    delay: Option<Duration>,
}

/// Longest wait of a watch whose changes have to be acted on at once.
///
/// A store that is cut off may take a watch and never answer it, while its connection stays open.
/// Ends of jobs, leaving targets and new routes must be seen within seconds of its return.
pub const PROMPT_WAIT: Duration = Duration::from_secs(2);

impl<S: ObjectStore> Follower<S> {
    /// A follower of `prefix` whose watches wait at most `wait`.
    #[must_use]
    pub fn new(store: S, prefix: &str, wait: Duration) -> Self {
        let prefix = prefix.to_owned();
        Self { store, prefix, wait, pause: Duration::ZERO, from: None, delay: None }
    }

    /// Sets the time between two watches, which lets one call bring several changes.
    #[must_use]
    pub const fn pause(mut self, pause: Duration) -> Self {
        self.pause = pause;
        self
    }

    /// Revision up to which the copy is complete; `None` before the first scan.
    #[must_use]
    pub const fn revision(&self) -> Option<Revision> {
        self.from
    }

    /// Waits for what comes next.
    pub async fn next(&mut self) -> FollowEvent {
        if let Some(delay) = self.delay {
            tokio::time::sleep(delay).await;
        }
        let followed = match self.from {
            None => self.scan().await,
            Some(from) => self.watch(from).await,
        };
        match followed {
            Ok(followed) => {
                self.delay = None;
                followed
            }
            Err(error) => {
                let doubled = self.delay.map_or(FIRST_DELAY, |delay| delay * 2);
                self.delay = Some(doubled.min(MAX_DELAY));
                FollowEvent::Failed(error)
            }
        }
    }

    async fn watch(&mut self, from: Revision) -> Result<FollowEvent, PlatformError> {
        // After a failure a short watch shows at once that the platform is back; a long one would
        // say nothing until the next change.
        let (pause, wait) = match self.delay {
            Some(_) => (Duration::ZERO, SHORT_WAIT),
            None => (self.pause, self.wait),
        };
        tokio::time::sleep(pause).await;
        match self.store.watch(&self.prefix, from, wait).await {
            Ok(changes) => {
                self.from = Some(changes.revision.max(from));
                Ok(FollowEvent::Changes(changes.changes))
            }
            Err(PlatformError::HistoryGone) => self.scan().await,
            Err(error) => Err(error),
        }
    }

    async fn scan(&mut self) -> Result<FollowEvent, PlatformError> {
        self.from = None;
        let mut objects = Vec::new();
        let mut after = String::new();
        let mut first = None;
        loop {
            let page = self.store.scan(&self.prefix, &after).await?;
            // Changes made while later pages are read are watched from the first page on.
            first.get_or_insert(page.revision);
            objects.extend(page.objects);
            match objects.last() {
                Some((key, _)) if page.more => after.clone_from(key),
                _ => break,
            }
        }
        self.from = first;
        Ok(FollowEvent::Snapshot(objects))
    }
}
