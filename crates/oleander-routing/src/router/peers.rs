//! In-flight counts of the other hosts.

use std::collections::{BTreeMap, HashMap};

use oleander_core::{HostId, Span, Time};

use crate::{pick::Class, prefix::TargetKey};

/// Time for which a host counts as running a class after its last work of it.
pub(super) const MEMORY: Span = Span::from_secs(60);

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

/// The last message of one peer.
#[derive(Debug, Clone)]
struct Peer {
    counts: HashMap<TargetKey, Count>,
    last_online: Option<Time>,
    last_batch: Option<Time>,
    sent_at: Time,
    received_at: Time,
    /// Its counts became too old; it may still be there.
    silent: bool,
}

impl Peer {
    fn count(&self, key: TargetKey) -> Count {
        self.counts.get(&key).copied().unwrap_or_default()
    }

    /// Whether the peer had work of the class lately.
    fn runs(&self, now: Time, class: Class) -> bool {
        let last = match class {
            Class::Online => self.last_online,
            Class::Batch => self.last_batch,
        };
        last.is_some_and(|last| now.since(last) < MEMORY)
    }
}

/// What came of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Update {
    /// It was older than the last one.
    Ignored,
    /// It came from a known peer.
    Known,
    /// It came from a peer without earlier messages.
    New,
}

/// The last messages of all peers.
#[derive(Debug, Clone, Default)]
pub(super) struct Peers {
    peers: BTreeMap<HostId, Peer>,
    /// Sums over all peers; a message changes few of them.
    sums: HashMap<TargetKey, Count>,
}

impl Peers {
    /// Takes a message unless it is older than the last one.
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
            silent: false,
        };
        match self.peers.insert(peer.clone(), message) {
            Some(former) => {
                take_off(&mut self.sums, &former.counts);
                Update::Known
            }
            None => Update::New,
        }
    }

    /// Drops counts older than `keep`; returns whether there were any.
    ///
    /// A silent peer may be cut off and still at work, so it keeps its part of the slots for a
    /// while.
    pub(super) fn expire(&mut self, now: Time, keep: Span) -> bool {
        let mut changed = false;
        for peer in self.peers.values_mut().filter(|peer| !peer.silent) {
            peer.silent = now.since(peer.received_at) >= keep;
            if peer.silent {
                take_off(&mut self.sums, &peer.counts);
                peer.counts.clear();
                changed = true;
            }
        }
        // Whoever is silent that long has no counts left.
        self.peers.retain(|_, peer| !peer.silent || now.since(peer.received_at) < MEMORY);
        changed
    }

    /// Drops a peer.
    pub(super) fn remove(&mut self, peer: &HostId) {
        if let Some(former) = self.peers.remove(peer) {
            take_off(&mut self.sums, &former.counts);
        }
    }

    /// The time at which the next message becomes too old.
    pub(super) fn next_expiry(&self, keep: Span) -> Option<Time> {
        let heard = self.peers.values().filter(|peer| !peer.silent);
        heard.map(|peer| peer.received_at + keep).min()
    }

    /// Sum of the counts at one target.
    pub(super) fn sum(&self, key: TargetKey) -> Count {
        self.sums.get(&key).copied().unwrap_or_default()
    }

    /// Number of known peers.
    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Peers with work of the class lately, and how much of it is at `key`.
    pub(super) fn runners(
        &self,
        now: Time,
        class: Class,
        key: TargetKey,
    ) -> impl Iterator<Item = (&HostId, u32)> {
        let runners = self.peers.iter().filter(move |(_, peer)| peer.runs(now, class));
        runners.map(move |(host, peer)| (host, peer.count(key).of(class)))
    }

    /// All peers, and how much work of the class they have at `key`.
    pub(super) fn all(&self, class: Class, key: TargetKey) -> impl Iterator<Item = (&HostId, u32)> {
        self.peers.iter().map(move |(host, peer)| (host, peer.count(key).of(class)))
    }

    /// Whether any peer had work of the class lately.
    pub(super) fn run(&self, now: Time, class: Class) -> bool {
        self.peers.values().any(|peer| peer.runs(now, class))
    }

    /// Whether the counts of any peer are too old.
    pub(super) fn any_silent(&self) -> bool {
        self.peers.values().any(|peer| peer.silent)
    }

    /// Whether every peer has been heard after `since`.
    pub(super) fn all_since(&self, since: Time) -> bool {
        self.peers.values().all(|peer| peer.silent || peer.received_at > since)
    }
}

/// Takes what a peer counted off the sums.
fn take_off(sums: &mut HashMap<TargetKey, Count>, counts: &HashMap<TargetKey, Count>) {
    for (key, count) in counts {
        let left = sums.get(key).copied().unwrap_or_default().minus(*count);
        if left == Count::default() {
            sums.remove(key);
        } else {
            sums.insert(*key, left);
        }
    }
}
