//! Change feeds: hosts watch a feeder instead of the platform.
//!
//! If every host watched the platform, the number of requests would grow with the number of hosts,
//! although all of them receive the same changes. A feeder is a host that keeps the last changes
//! below each prefix. The first feeder by name watches the platform, the other feeders watch the
//! first one, and all other hosts watch a feeder of their own data centre if there is one.
//!
//! A watch that a feeder refuses, or doesn't respond to within [`MAX_FEED_WAIT`] and a margin, is
//! made at the platform directly, so that a feeder may stop, be paused or be disconnected. A feeder
//! refuses the watches of other hosts after its own watch has failed, until one has succeeded.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use oleander_core::{HostId, Revision, ZoneId};
use oleander_platform::{Change, Changes, FollowEvent, Follower, ObjectStore};
use parking_lot::Mutex;
use tokio::{sync::Notify, time};

use crate::failover::StoreResponse;

/// Maximum wait of a feeder's own watch for changes that hosts must act on immediately, such as
/// those of targets, the configuration and jobs. A watch without a response fails when this wait
/// and the margin of the request are over; a feeder thereby detects that it is disconnected.
pub const SHORT_FEED_WAIT: Duration = Duration::from_secs(1);
/// Time between two watches made by a feeder, so that one response carries several changes.
const FEED_PAUSE: Duration = Duration::from_millis(250);
/// Maximum wait of a watch at a feeder.
pub(crate) const MAX_FEED_WAIT: Duration = Duration::from_millis(1_200);
/// Maximum number of changes kept per prefix; a host that is further behind watches the platform
/// directly.
const MAX_CHANGES: usize = 512;

/// A host that serves change feeds to others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Feeder {
    /// Name of the host.
    pub host: HostId,
    /// Its data centre.
    pub zone: ZoneId,
    /// Address for requests from other hosts.
    pub address: SocketAddr,
}

/// Selects the feeder that a host watches; `None` if the host watches the platform directly.
///
/// A host that is not a feeder watches the first feeder by name in its own data centre, or else the
/// first one in any other. A feeder watches the first feeder by name, and only if that name comes
/// before its own: feeders then never watch each other in a cycle, even if hosts disagree on which
/// of them are live.
#[must_use]
pub fn select_feeder(
    host: &HostId,
    zone: &ZoneId,
    is_feeder: bool,
    live: impl Iterator<Item = Feeder>,
) -> Option<Feeder> {
    let others = live.filter(|feeder| feeder.host != *host);
    if is_feeder {
        let earlier = others.filter(|feeder| feeder.host < *host);
        return earlier.min_by(|a, b| a.host.cmp(&b.host));
    }
    others.min_by_key(|feeder| (feeder.zone != *zone, feeder.host.clone()))
}

/// Changes in a log after a given revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangesSince {
    /// The changes.
    Changes(Changes),
    /// There are none yet.
    UpToDate,
    /// The log does not reach back that far, or is invalid.
    OutOfRange,
}

/// The most recent changes below one prefix.
#[derive(Debug, Clone, Default)]
pub struct ChangeLog {
    /// Range of revisions in which all changes are kept: after the first, up to and including the
    /// second. `None` if the log is invalid.
    range: Option<(Revision, Revision)>,
    changes: VecDeque<(Revision, Change)>,
}

impl ChangeLog {
    /// Restarts the log at a revision, without changes.
    pub fn reset(&mut self, revision: Revision) {
        self.range = Some((revision, revision));
        self.changes.clear();
    }

    /// Clears the log; every revision is out of range until the next reset or append.
    pub fn invalidate(&mut self) {
        self.range = None;
        self.changes.clear();
    }

    /// Appends the changes up to a revision; a log that is invalid is reset to it instead.
    pub fn append(&mut self, changes: Vec<Change>, up_to: Revision) {
        let Some((first, _)) = self.range else { return self.reset(up_to) };
        for (index, change) in changes.iter().enumerate() {
            let later = &changes[index + 1..];
            // A removal carries no revision and gets `up_to`. If the key changes again in the same
            // batch, the removal is skipped: with its higher revision, it would also be sent to
            // hosts that have the later object already.
            if change.object.is_none() && later.iter().any(|other| other.key == change.key) {
                continue;
            }
            let revision = change.object.as_ref().map_or(up_to, |object| object.revision);
            self.changes.push_back((revision, change.clone()));
        }
        let mut first = first;
        while self.changes.len() > MAX_CHANGES {
            let dropped = self.changes.pop_front();
            first = dropped.map_or(first, |(revision, _)| first.max(revision));
        }
        self.range = Some((first, up_to));
    }

    /// Changes that a host at revision `from` has not received.
    #[must_use]
    pub fn changes_since(&self, from: Revision) -> ChangesSince {
        let Some((first, last)) = self.range else { return ChangesSince::OutOfRange };
        if from < first {
            return ChangesSince::OutOfRange;
        }
        let newer = self.changes.iter().filter(|(revision, _)| *revision > from);
        let newer: Vec<Change> = newer.map(|(_, change)| change.clone()).collect();
        if newer.is_empty() {
            return ChangesSince::UpToDate;
        }
        ChangesSince::Changes(Changes { changes: newer, revision: last })
    }
}

/// Change logs by prefix, with notification of waiting watches.
#[derive(Debug, Clone, Default)]
pub struct ChangeFeeds {
    logs: Arc<Mutex<BTreeMap<String, ChangeLog>>>,
    changed: Arc<Notify>,
}

impl ChangeFeeds {
    /// Keeps the log of `prefix` up to date with watches of at most `wait`; never returns.
    pub async fn follow<S: ObjectStore>(self, store: S, prefix: &str, wait: Duration) {
        let mut follow = Follower::new(store, prefix, wait).pause(FEED_PAUSE);
        loop {
            let followed = follow.next().await;
            let last = follow.revision();
            {
                let mut logs = self.logs.lock();
                let change_log = logs.entry(prefix.to_owned()).or_default();
                match (followed, last) {
                    (FollowEvent::Changes(changes), Some(last)) => change_log.append(changes, last),
                    (FollowEvent::Snapshot(_), Some(last)) => change_log.reset(last),
                    (FollowEvent::Failed(error), _) => {
                        log::warn!(prefix, error:% = error;
                            "feed is lost; other hosts watch the platform directly");
                        change_log.invalidate();
                    }
                    // Changes and snapshots always have a revision; without one, the range of the
                    // log would be unknown.
                    (_, None) => change_log.invalidate(),
                }
            }
            self.changed.notify_waiters();
        }
    }

    /// Responds to a watch from the log; waits at most `wait` for a change.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> StoreResponse {
        let end = time::Instant::now() + wait.min(MAX_FEED_WAIT);
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let since =
                self.logs.lock().get(prefix).map(|change_log| change_log.changes_since(from));
            match since {
                Some(ChangesSince::Changes(changes)) => return StoreResponse::Changes(changes),
                Some(ChangesSince::UpToDate) => {}
                Some(ChangesSince::OutOfRange) | None => {
                    return StoreResponse::Refused("no feed from this revision".to_owned());
                }
            }
            if time::timeout_at(end, changed).await.is_err() {
                // `from`, not the last revision of the log: a change appended since the check above
                // must still be sent in the next response.
                return StoreResponse::Changes(Changes { changes: Vec::new(), revision: from });
            }
        }
    }
}
