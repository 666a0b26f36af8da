//! Updates that are still to be sent to other members.
//!
//! The queue holds keys only: the kind of update and the host. The update itself is built from the
//! member table when it is sent, so that a newer state replaces an older one. Updates that were
//! sent the fewest times go first.

use std::collections::{BTreeMap, BTreeSet};

use oleander_core::HostId;

/// Kind of an [`Update`](crate::Update).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum UpdateKind {
    State,
    Listed,
    Joined,
    Facts,
}

/// Group of update kinds that share part of the space in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum UpdateClass {
    /// Profiles and states.
    Membership,
    /// Facts that members publish about themselves.
    Facts,
}

impl UpdateKind {
    const fn class(self) -> UpdateClass {
        match self {
            Self::State | Self::Listed | Self::Joined => UpdateClass::Membership,
            Self::Facts => UpdateClass::Facts,
        }
    }
}

/// Kind and subject of a queued update.
pub(crate) type UpdateKey = (UpdateKind, HostId);

/// Queued updates, ordered by the number of times they were sent.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    sent_counts: BTreeMap<UpdateKey, u32>,
    queues: BTreeMap<UpdateClass, BTreeSet<(u32, UpdateKey)>>,
}

impl UpdateQueue {
    /// Queues an update, or resets its count if it is queued already.
    pub(crate) fn add(&mut self, kind: UpdateKind, host: &HostId) {
        let key = (kind, host.clone());
        self.remove(&key);
        self.insert(key, 0);
    }

    fn insert(&mut self, key: UpdateKey, sent: u32) {
        self.queues.entry(key.0.class()).or_default().insert((sent, key.clone()));
        self.sent_counts.insert(key, sent);
    }

    /// Drops all updates about `host`.
    pub(crate) fn remove_host(&mut self, host: &HostId) {
        for kind in [UpdateKind::State, UpdateKind::Listed, UpdateKind::Joined, UpdateKind::Facts] {
            self.remove(&(kind, host.clone()));
        }
    }

    /// Up to `count` updates of a class, those sent the fewest times first.
    pub(crate) fn least_sent(&self, class: UpdateClass, count: usize) -> Vec<UpdateKey> {
        let queue = self.queues.get(&class).into_iter().flatten();
        queue.take(count).map(|(_, key)| key.clone()).collect()
    }

    /// Counts one transmission, and drops the update when it reaches `limit`.
    pub(crate) fn count_send(&mut self, key: UpdateKey, limit: u32) {
        let Some(sent) = self.sent_counts.get(&key).copied() else { return };
        self.remove(&key);
        if sent + 1 < limit {
            self.insert(key, sent + 1);
        }
    }

    /// Drops one update.
    pub(crate) fn remove(&mut self, key: &UpdateKey) {
        let Some(sent) = self.sent_counts.remove(key) else { return };
        if let Some(queue) = self.queues.get_mut(&key.0.class()) {
            queue.remove(&(sent, key.clone()));
        }
    }
}
