//! In-flight counts of the peers, which are the other hosts that use the same targets.

use std::collections::{BTreeMap, HashMap};

use oleander_core::{HostId, Span, Time};

use crate::{pick::Class, prefix::TargetKey};

/// Time for which a peer counts as active in a class after its last work of that class.
pub(super) const ACTIVE_WINDOW: Span = Span::from_secs(60);

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

    fn plus(self, other: Self) -> Self {
        Self::new(self.online + other.online, self.batch + other.batch)
    }

    fn minus(self, other: Self) -> Self {
        Self::new(self.online - other.online, self.batch - other.batch)
    }

    pub(super) const fn of(self, class: Class) -> u32 {
        match class {
            Class::Online => self.online,
            Class::Batch => self.batch,
        }
    }
}

/// Last message of one peer, and when it was last active in each class.
#[derive(Debug, Clone)]
struct Peer {
    counts: HashMap<TargetKey, Count>,
    last_online: Option<Time>,
    last_batch: Option<Time>,
    sent_at: Time,
    received_at: Time,
    /// Whether the counts were dropped because of their age; the peer may still be running.
    stale: bool,
}

impl Peer {
    fn count(&self, key: TargetKey) -> Count {
        self.counts.get(&key).copied().unwrap_or_default()
    }

    /// Whether the peer had work of the class within [`ACTIVE_WINDOW`].
    fn is_active(&self, now: Time, class: Class) -> bool {
        let last = match class {
            Class::Online => self.last_online,
            Class::Batch => self.last_batch,
        };
        last.is_some_and(|last| now.since(last) < ACTIVE_WINDOW)
    }
}

/// How a message was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Update {
    /// Not applied: it was sent before the last one.
    Ignored,
    /// Applied, from a known peer.
    Known,
    /// Applied, from a new peer.
    New,
}

/// Last messages of all peers.
#[derive(Debug, Clone, Default)]
pub(super) struct Peers {
    peers: BTreeMap<HostId, Peer>,
    /// Sums over all peers, kept up to date because a message changes few of them.
    sums: HashMap<TargetKey, Count>,
}

impl Peers {
    /// Applies a message unless it was sent before the last one.
    pub(super) fn update(
        &mut self,
        now: Time,
        peer: &HostId,
        counts: HashMap<TargetKey, Count>,
        sent_at: Time,
    ) -> Update {
        if self.peers.get(peer).is_some_and(|known| known.sent_at > sent_at) {
            return Update::Ignored;
        }
        let known = self.peers.get(peer);
        let online = counts.values().any(|count| count.online > 0).then_some(now);
        let batch = counts.values().any(|count| count.batch > 0).then_some(now);
        for (key, count) in &counts {
            let sum = self.sums.entry(*key).or_default();
            *sum = sum.plus(*count);
        }
        let message = Peer {
            counts,
            last_online: online.or_else(|| known.and_then(|known| known.last_online)),
            last_batch: batch.or_else(|| known.and_then(|known| known.last_batch)),
            sent_at,
            received_at: now,
            stale: false,
        };
        match self.peers.insert(peer.clone(), message) {
            Some(former) => {
                subtract(&mut self.sums, &former.counts);
                Update::Known
            }
            None => Update::New,
        }
    }

    /// Drops counts older than `keep`; returns whether there were any.
    ///
    /// A stale peer may be cut off and still be sending work, so it keeps its share of the slots
    /// until [`ACTIVE_WINDOW`] has passed.
    pub(super) fn expire(&mut self, now: Time, keep: Span) -> bool {
        let mut changed = false;
        for peer in self.peers.values_mut().filter(|peer| !peer.stale) {
            peer.stale = now.since(peer.received_at) >= keep;
            if peer.stale {
                subtract(&mut self.sums, &peer.counts);
                peer.counts.clear();
                changed = true;
            }
        }
        // The counts of these peers were dropped when they became stale.
        self.peers.retain(|_, peer| !peer.stale || now.since(peer.received_at) < ACTIVE_WINDOW);
        changed
    }

    /// Removes a peer.
    pub(super) fn remove(&mut self, peer: &HostId) {
        if let Some(former) = self.peers.remove(peer) {
            subtract(&mut self.sums, &former.counts);
        }
    }

    /// The time at which the next peer becomes stale.
    pub(super) fn next_expiry(&self, keep: Span) -> Option<Time> {
        let fresh = self.peers.values().filter(|peer| !peer.stale);
        fresh.map(|peer| peer.received_at + keep).min()
    }

    /// Sum of the counts at one target.
    pub(super) fn sum(&self, key: TargetKey) -> Count {
        self.sums.get(&key).copied().unwrap_or_default()
    }

    /// Number of known peers.
    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Peers active in the class, and their work of it at the target `key`.
    pub(super) fn active_counts(
        &self,
        now: Time,
        class: Class,
        key: TargetKey,
    ) -> impl Iterator<Item = (&HostId, u32)> {
        let active = self.peers.iter().filter(move |(_, peer)| peer.is_active(now, class));
        active.map(move |(host, peer)| (host, peer.count(key).of(class)))
    }

    /// All peers, and their work of the class at the target `key`.
    pub(super) fn counts(
        &self,
        class: Class,
        key: TargetKey,
    ) -> impl Iterator<Item = (&HostId, u32)> {
        self.peers.iter().map(move |(host, peer)| (host, peer.count(key).of(class)))
    }

    /// Whether any peer is active in the class.
    pub(super) fn any_active(&self, now: Time, class: Class) -> bool {
        self.peers.values().any(|peer| peer.is_active(now, class))
    }

    /// Whether any peer is stale.
    pub(super) fn any_stale(&self) -> bool {
        self.peers.values().any(|peer| peer.stale)
    }

    /// Whether a message arrived after `since` from each peer that is not stale.
    pub(super) fn all_reported_since(&self, since: Time) -> bool {
        self.peers.values().all(|peer| peer.stale || peer.received_at > since)
    }
}

/// Subtracts a peer's counts from the sums.
fn subtract(sums: &mut HashMap<TargetKey, Count>, counts: &HashMap<TargetKey, Count>) {
    for (key, count) in counts {
        let rest = sums.get(key).copied().unwrap_or_default().minus(*count);
        if rest == Count::default() {
            sums.remove(key);
        } else {
            sums.insert(*key, rest);
        }
    }
}
