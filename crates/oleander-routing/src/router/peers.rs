//! In-flight counts of the other hosts.

use std::collections::{BTreeMap, HashMap};

use oleander_core::{HostId, Span, Time};

use crate::prefix::TargetKey;

/// Work in flight at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Count {
    pub(super) online: u32,
    pub(super) batch: u32,
}

impl Count {
    pub(super) const fn new(online: u32, batch: u32) -> Self {
        Self { online, batch }
    }
}

/// The last message of one peer.
#[derive(Debug, Clone)]
struct Peer {
    counts: HashMap<TargetKey, Count>,
    runs_batch: bool,
    sent_at: Time,
    received_at: Time,
}

/// The last messages of all peers.
#[derive(Debug, Clone, Default)]
pub(super) struct Peers {
    peers: BTreeMap<HostId, Peer>,
}

impl Peers {
    /// Takes a message unless it is older than the last one; returns whether it was taken.
    pub(super) fn update(
        &mut self,
        now: Time,
        peer: &HostId,
        counts: HashMap<TargetKey, Count>,
        sent_at: Time,
    ) -> bool {
        if self.peers.get(peer).is_some_and(|known| known.sent_at > sent_at) {
            return false;
        }
        let runs_batch = counts.values().any(|count| count.batch > 0);
        self.peers.insert(peer.clone(), Peer { counts, runs_batch, sent_at, received_at: now });
        true
    }

    /// Drops messages older than `keep`; returns whether there were any.
    pub(super) fn expire(&mut self, now: Time, keep: Span) -> bool {
        let before = self.peers.len();
        self.peers.retain(|_, peer| now.since(peer.received_at) < keep);
        self.peers.len() != before
    }

    /// The time at which the next message becomes too old.
    pub(super) fn next_expiry(&self, keep: Span) -> Option<Time> {
        self.peers.values().map(|peer| peer.received_at + keep).min()
    }

    /// Sum of the counts at one target.
    pub(super) fn sum(&self, key: TargetKey) -> Count {
        let counts = self.peers.values().filter_map(|peer| peer.counts.get(&key));
        counts.fold(Count::default(), |sum, count| {
            Count::new(sum.online + count.online, sum.batch + count.batch)
        })
    }

    /// Number of known peers.
    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Peers with batch items at `key`, and how many.
    pub(super) fn batch_at(&self, key: TargetKey) -> impl Iterator<Item = (&HostId, u32)> {
        self.peers.iter().filter_map(move |(host, peer)| {
            let count = peer.counts.get(&key)?;
            (count.batch > 0).then_some((host, count.batch))
        })
    }

    /// Peers with batch items anywhere.
    pub(super) fn batch_hosts(&self) -> impl Iterator<Item = &HostId> {
        self.peers.iter().filter(|(_, peer)| peer.runs_batch).map(|(host, _)| host)
    }
}
