//! Simulation of routers that exchange their counts with a delay.

use std::collections::VecDeque;

use oleander_core::{HostId, Span, TargetId, Time};
use oleander_routing::{LeaseId, Observation, PeerCount, Pick, Router};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::common::{host, millis, router, sent, target_id};

/// Time between two exchanges of counts.
pub(crate) const EXCHANGE: Span = Span::from_millis(100);

/// Counts sent by one host and not yet received by the others.
pub(crate) struct Message {
    from: HostId,
    counts: Vec<PeerCount>,
    sent_at: Time,
}

/// Routers, and the work that is in fact in flight at the targets.
pub(crate) struct Fleet {
    pub(crate) routers: Vec<Router>,
    pub(crate) open: Vec<Vec<(TargetId, LeaseId)>>,
    pub(crate) messages: VecDeque<Message>,
    lag: Span,
    pub(crate) now: Time,
}

impl Fleet {
    pub(crate) fn new(hosts: usize, targets: usize, limit: u32, reserve: u32, lag: Span) -> Self {
        Self {
            routers: (0..hosts).map(|index| router(index, targets, limit, reserve)).collect(),
            open: vec![Vec::new(); hosts],
            messages: VecDeque::new(),
            lag,
            now: millis(0),
        }
    }

    pub(crate) fn advance(&mut self, span: Span) {
        let before = self.now;
        self.now = self.now + span;
        if before.0 / EXCHANGE.0 != self.now.0 / EXCHANGE.0 {
            self.exchange();
        }
        while let Some(message) = self.messages.front() {
            if message.sent_at + self.lag > self.now {
                break;
            }
            let message = self.messages.pop_front().unwrap();
            self.deliver(&message);
        }
    }

    fn exchange(&mut self) {
        for (index, router) in self.routers.iter().enumerate() {
            let counts = router.counts();
            self.messages.push_back(Message { from: host(index), counts, sent_at: self.now });
        }
    }

    fn deliver(&mut self, message: &Message) {
        for (index, router) in self.routers.iter_mut().enumerate() {
            if host(index) != message.from {
                router.update_peer(
                    self.now,
                    &message.from,
                    message.counts.clone(),
                    message.sent_at,
                );
            }
        }
    }

    pub(crate) fn start(&mut self, index: usize, pick: &Pick) -> bool {
        let Some((target, lease, _)) = sent(self.routers[index].pick(self.now, pick)) else {
            return false;
        };
        self.open[index].push((target, lease));
        true
    }

    pub(crate) fn finish(&mut self, index: usize, rng: &mut Pcg64Mcg) {
        if self.open[index].is_empty() {
            return;
        }
        let position = rng.random_range(0..self.open[index].len());
        let (_, lease) = self.open[index].swap_remove(position);
        self.routers[index].observe(self.now, lease, Observation::Done);
    }

    /// Cancels the host's batch excess; all its work must be batch.
    pub(crate) fn cancel_excess(&mut self, index: usize) {
        for excess in self.routers[index].batch_excess(self.now) {
            for _ in 0..excess.count {
                let at_target = |(target, _): &(TargetId, LeaseId)| *target == excess.target;
                let position = self.open[index].iter().position(at_target).unwrap();
                let (_, lease) = self.open[index].swap_remove(position);
                self.routers[index].observe(self.now, lease, Observation::Cancelled);
            }
        }
    }

    pub(crate) fn max_at_one_target(&self, targets: usize) -> u32 {
        let at = |target: &TargetId| {
            self.open.iter().flatten().filter(|(name, _)| name == target).count() as u32
        };
        (0..targets).map(|index| at(&target_id(index))).max().unwrap()
    }
}
