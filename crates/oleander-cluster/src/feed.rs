//! Changes at the platform, kept by one host of a data centre for the others there.
//!
//! Answers a fleet in which every host watches the platform: its calls grow with the hosts, though
//! all of them are told the same. A feeder keeps the last changes below each prefix and the others
//! ask it; of the feeders, one watches the platform and the others ask that one. A feeder answers only while its own questions are answered, and each question has a short
//! bound, so that a host whose feeder is gone, paused or cut off watches the platform itself within
//! two seconds.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use oleander_core::{HostId, Revision, ZoneId};
use oleander_platform::{Change, Changes, Follow, Followed, ObjectStore};
use parking_lot::Mutex;
use tokio::{sync::Notify, time};

use crate::failover::StoreResponse;

/// Longest wait of a feeder's own watch of what the others have to act on at once. With the margin of
/// a call, it is the time after which a feeder knows that it is cut off.
pub const PROMPT_FEED_WAIT: Duration = Duration::from_secs(1);
/// Time between two watches of a feeder, which lets one call bring several changes.
const FEED_PAUSE: Duration = Duration::from_millis(250);
/// Longest wait of one question to a feeder.
pub(crate) const MOST_WAIT: Duration = Duration::from_millis(1_200);
/// Changes kept of one prefix; a host that is further behind watches the platform itself.
const MOST_CHANGES: usize = 512;

/// A host that keeps changes for others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Feeder {
    /// Its name.
    pub host: HostId,
    /// Its data centre.
    pub zone: ZoneId,
    /// Where it is asked.
    pub address: SocketAddr,
}

/// Which of the `live` feeders a host asks; `None` if it watches the platform itself.
///
/// Hosts ask one of their data centre, and feeders the first of all. A feeder asks only feeders
/// whose names come before its own, so that none waits for what it tells itself, whatever the
/// hosts believe of each other.
#[must_use]
pub fn select_feeder(
    host: &HostId,
    zone: &ZoneId,
    is_feeder: bool,
    live: impl Iterator<Item = Feeder>,
) -> Option<Feeder> {
    let others = live.filter(|feeder| feeder.host != *host);
    if is_feeder {
        let before = others.filter(|feeder| feeder.host < *host);
        return before.min_by(|a, b| a.host.cmp(&b.host));
    }
    others.min_by_key(|feeder| (feeder.zone != *zone, feeder.host.clone()))
}

/// What a history holds for a host at some revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangesSince {
    /// These changes.
    Changes(Changes),
    /// Nothing yet.
    UpToDate,
    /// It doesn't reach back so far, or is lost.
    OutOfRange,
}

/// The last changes below one prefix.
#[derive(Debug, Clone, Default)]
pub struct ChangeLog {
    /// First and last revision between which all changes are kept.
    span: Option<(Revision, Revision)>,
    changes: VecDeque<(Revision, Change)>,
}

impl ChangeLog {
    /// Begins anew at a revision.
    pub fn reset(&mut self, at: Revision) {
        self.span = Some((at, at));
        self.changes.clear();
    }

    /// Forgets all; until the next start nothing is known.
    pub fn invalidate(&mut self) {
        self.span = None;
        self.changes.clear();
    }

    /// Adds changes that lead up to a revision.
    pub fn append(&mut self, changes: Vec<Change>, upto: Revision) {
        let Some((first, _)) = self.span else { return self.reset(upto) };
        for (index, change) in changes.iter().enumerate() {
            let later = &changes[index + 1..];
            // A removal bears no revision of its own and counts as made at the end of its batch; one
            // that was made good within the batch would come after the object that replaced it.
            if change.object.is_none() && later.iter().any(|other| other.key == change.key) {
                continue;
            }
            let at = change.object.as_ref().map_or(upto, |object| object.revision);
            self.changes.push_back((at, change.clone()));
        }
        let mut first = first;
        while self.changes.len() > MOST_CHANGES {
            let dropped = self.changes.pop_front();
            first = dropped.map_or(first, |(at, _)| first.max(at));
        }
        self.span = Some((first, upto));
    }

    /// What a host that knows all up to `from` has not seen.
    #[must_use]
    pub fn changes_since(&self, from: Revision) -> ChangesSince {
        let Some((first, last)) = self.span else { return ChangesSince::OutOfRange };
        if from < first {
            return ChangesSince::OutOfRange;
        }
        let fresh = self.changes.iter().filter(|(at, _)| *at > from);
        let fresh: Vec<Change> = fresh.map(|(_, change)| change.clone()).collect();
        if fresh.is_empty() {
            return ChangesSince::UpToDate;
        }
        ChangesSince::Changes(Changes { changes: fresh, revision: last })
    }
}

/// Histories by prefix, and those who wait for them.
#[derive(Debug, Clone, Default)]
pub struct ChangeFeeds {
    histories: Arc<Mutex<BTreeMap<String, ChangeLog>>>,
    changed: Arc<Notify>,
}

impl ChangeFeeds {
    /// Keeps the history of `prefix` by watches that wait at most `wait`; never ends.
    pub async fn follow<S: ObjectStore>(self, store: S, prefix: &str, wait: Duration) {
        let mut follow = Follow::new(store, prefix, wait).pause(FEED_PAUSE);
        loop {
            let followed = follow.next().await;
            let at = follow.revision();
            {
                let mut histories = self.histories.lock();
                let history = histories.entry(prefix.to_owned()).or_default();
                match (followed, at) {
                    (Followed::Changes(changes), Some(at)) => history.append(changes, at),
                    (Followed::Snapshot(_), Some(at)) => history.reset(at),
                    (Followed::Lost(error), _) => {
                        log::warn!(prefix, error:% = error; "feed is lost; others watch themselves");
                        history.invalidate();
                    }
                    (_, None) => history.invalidate(),
                }
            }
            self.changed.notify_waiters();
        }
    }

    /// Answers a watch from the history; waits at most `wait` for a change.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> StoreResponse {
        let end = time::Instant::now() + wait.min(MOST_WAIT);
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let news = self.histories.lock().get(prefix).map(|history| history.changes_since(from));
            match news {
                Some(ChangesSince::Changes(changes)) => return StoreResponse::Changes(changes),
                Some(ChangesSince::UpToDate) => {}
                Some(ChangesSince::OutOfRange) | None => {
                    return StoreResponse::Refused("not fed from there".to_owned());
                }
            }
            if time::timeout_at(end, changed).await.is_err() {
                // The host goes on from where it is: what came at this moment is told next time.
                return StoreResponse::Changes(Changes { changes: Vec::new(), revision: from });
            }
        }
    }
}
