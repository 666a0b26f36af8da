//! The order in which members are probed, and the probes that wait for an acknowledgement.

use std::collections::BTreeMap;

use oleander_core::{HostId, Span, Time};
use rand::{Rng, seq::SliceRandom};
use rand_pcg::Pcg32;

/// Largest number of pending probes on behalf of other members.
const MAX_RELAYED: usize = 256;

/// Random draws allowed per requested host.
const DRAWS_PER_MEMBER: usize = 8;

/// A shuffled list of hosts that is walked once before it is filled again.
#[derive(Debug, Default)]
pub(crate) struct ProbeOrder {
    order: Vec<HostId>,
    next: usize,
}

impl ProbeOrder {
    /// Whether all hosts of the list have been returned.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.next >= self.order.len()
    }

    /// Starts again with `hosts` in random order.
    pub(crate) fn refill(&mut self, hosts: Vec<HostId>, rng: &mut Pcg32) {
        self.order = hosts;
        self.order.shuffle(rng);
        self.next = 0;
    }

    /// The next host of the list.
    pub(crate) fn next_host(&mut self) -> Option<HostId> {
        let host = self.order.get(self.next).cloned();
        self.next += 1;
        host
    }

    /// Up to `count` distinct random hosts that `accept` allows.
    pub(crate) fn sample(
        &self,
        count: usize,
        rng: &mut Pcg32,
        accept: impl Fn(&HostId) -> bool,
    ) -> Vec<HostId> {
        let mut sampled: Vec<HostId> = Vec::with_capacity(count);
        for _ in 0..count * DRAWS_PER_MEMBER {
            if sampled.len() == count || self.order.is_empty() {
                break;
            }
            let host = &self.order[rng.random_range(0..self.order.len())];
            if !sampled.contains(host) && accept(host) {
                sampled.push(host.clone());
            }
        }
        sampled
    }
}

/// A probe sent by this host and not yet acknowledged.
#[derive(Debug)]
pub(crate) struct PendingProbe {
    pub(crate) host: HostId,
    pub(crate) sequence: u32,
    pub(crate) sent: Time,
    /// Whether other members were asked to probe as well.
    pub(crate) relayed: bool,
}

/// A probe sent on behalf of another member.
#[derive(Debug)]
struct RelayedProbe {
    requester: HostId,
    /// Sequence number that the requester uses.
    sequence: u32,
    expires: Time,
}

/// Probes that wait for an acknowledgement.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    pub(crate) outstanding: Option<PendingProbe>,
    relayed: BTreeMap<u32, RelayedProbe>,
    last_sequence: u32,
}

impl Probes {
    pub(crate) fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Registers a probe of `host` and returns its sequence number.
    pub(crate) fn start(&mut self, now: Time, host: HostId) -> u32 {
        let sequence = self.next_sequence();
        self.outstanding = Some(PendingProbe { host, sequence, sent: now, relayed: false });
        sequence
    }

    /// Registers a probe on behalf of `requester` and returns its sequence number; `None` if too
    /// many are pending.
    pub(crate) fn start_relayed(
        &mut self,
        now: Time,
        requester: HostId,
        sequence: u32,
        timeout: Span,
    ) -> Option<u32> {
        self.relayed.retain(|_, relayed| relayed.expires > now);
        if self.relayed.len() >= MAX_RELAYED {
            return None;
        }
        let own = self.next_sequence();
        self.relayed.insert(own, RelayedProbe { requester, sequence, expires: now + timeout });
        Some(own)
    }

    /// Clears this host's own probe if it has this sequence number.
    pub(crate) fn complete(&mut self, sequence: u32) {
        self.outstanding.take_if(|probe| probe.sequence == sequence);
    }

    /// Removes an acknowledged relayed probe; returns the requester and its sequence number.
    pub(crate) fn take_relayed(&mut self, sequence: u32) -> Option<(HostId, u32)> {
        self.relayed.remove(&sequence).map(|relayed| (relayed.requester, relayed.sequence))
    }
}
