//! Whom to probe next, and the probes under way.

use std::collections::BTreeMap;

use oleander_core::{HostId, Span, Time};
use rand::{Rng, seq::SliceRandom};
use rand_pcg::Pcg32;

/// Largest number of probes under way for others.
const MAX_RELAYED: usize = 256;

/// Draws of a random member before none is found.
const MAX_DRAWS: usize = 8;

/// A shuffled order in which each member comes up once a lap.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    order: Vec<HostId>,
    next: usize,
}

impl Ring {
    /// Whether a lap is over.
    pub(crate) fn is_done(&self) -> bool {
        self.next >= self.order.len()
    }

    /// Starts a lap over `hosts`.
    pub(crate) fn refill(&mut self, hosts: Vec<HostId>, rng: &mut Pcg32) {
        self.order = hosts;
        self.order.shuffle(rng);
        self.next = 0;
    }

    /// The next member of the lap.
    pub(crate) fn advance(&mut self) -> Option<HostId> {
        let host = self.order.get(self.next).cloned();
        self.next += 1;
        host
    }

    /// Up to `count` distinct random members that `accept` takes.
    pub(crate) fn draw(
        &self,
        count: usize,
        rng: &mut Pcg32,
        accept: impl Fn(&HostId) -> bool,
    ) -> Vec<HostId> {
        let mut drawn: Vec<HostId> = Vec::with_capacity(count);
        for _ in 0..count * MAX_DRAWS {
            if drawn.len() == count || self.order.is_empty() {
                break;
            }
            let host = &self.order[rng.random_range(0..self.order.len())];
            if !drawn.contains(host) && accept(host) {
                drawn.push(host.clone());
            }
        }
        drawn
    }
}

/// A probe of this host that is not yet answered.
#[derive(Debug)]
pub(crate) struct Outstanding {
    pub(crate) target: HostId,
    pub(crate) sequence: u32,
    pub(crate) sent: Time,
    pub(crate) relayed: bool,
}

/// A probe made for another member.
#[derive(Debug)]
struct Relayed {
    origin: HostId,
    sequence: u32,
    expires: Time,
}

/// The probes under way.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    pub(crate) outstanding: Option<Outstanding>,
    relayed: BTreeMap<u32, Relayed>,
    last: u32,
}

impl Probes {
    fn sequence(&mut self) -> u32 {
        self.last = self.last.wrapping_add(1);
        self.last
    }

    /// Starts a probe of this host.
    pub(crate) fn start(&mut self, now: Time, target: HostId) -> u32 {
        let sequence = self.sequence();
        self.outstanding = Some(Outstanding { target, sequence, sent: now, relayed: false });
        sequence
    }

    /// Starts a probe for `origin`; `None` while too many are under way.
    pub(crate) fn relay(
        &mut self,
        now: Time,
        origin: HostId,
        sequence: u32,
        timeout: Span,
    ) -> Option<u32> {
        self.relayed.retain(|_, relayed| relayed.expires > now);
        if self.relayed.len() >= MAX_RELAYED {
            return None;
        }
        let own = self.sequence();
        self.relayed.insert(own, Relayed { origin, sequence, expires: now + timeout });
        Some(own)
    }

    /// Takes in an acknowledgement of this host's own probe.
    pub(crate) fn acknowledge(&mut self, sequence: u32) {
        self.outstanding.take_if(|probe| probe.sequence == sequence);
    }

    /// The member, and its sequence, that waits for an acknowledged relayed probe.
    pub(crate) fn take_relayed(&mut self, sequence: u32) -> Option<(HostId, u32)> {
        self.relayed.remove(&sequence).map(|relayed| (relayed.origin, relayed.sequence))
    }
}
