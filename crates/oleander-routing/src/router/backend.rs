//! What the router knows of one target.

use oleander_core::Time;

use super::peers::Count;
use crate::{
    config::RouterConfig,
    history::History,
    limit::{LimitConfig, LimitController},
    load::LoadReport,
    pick::{Class, LeaseId},
    prefix::TargetKey,
    target::Target,
};

/// Part of the limit by which a report may differ from the counts, as a divisor.
const REPORT_NOISE: u32 = 8;

/// A report set against what was known when it was measured.
#[derive(Debug, Clone, Copy)]
struct Correction {
    /// Load that no known host accounts for.
    unknown: u32,
    measured_at: Time,
    received_at: Time,
}

/// Batch items that were asked to make room and still show in the counts.
#[derive(Debug, Clone, Copy, Default)]
struct Pending {
    count: u32,
    asked_at: Time,
}

/// One target with own and peers' work.
#[derive(Debug, Clone)]
pub(super) struct Backend {
    pub(super) key: TargetKey,
    pub(super) target: Target,
    pub(super) listed: bool,
    pub(super) leaving: bool,
    /// Whether this host sends here first.
    pub(super) home: bool,
    pub(super) online: u32,
    pub(super) batch: u32,
    /// Own work without first output.
    pub(super) reading: u32,
    /// Last start of an own batch item.
    pub(super) batch_started: Option<Time>,
    pub(super) limit: LimitController,
    pub(super) probe: Option<LeaseId>,
    /// Own online requests up to which this host may go before the next division of slots.
    pub(super) online_cap: u32,
    /// Own batch items up to which this host may go before the next division of slots.
    pub(super) batch_cap: u32,
    /// Free slots of each class at the last division.
    pub(super) free: [u32; 2],
    peers: Count,
    correction: Option<Correction>,
    history: History,
    pending: Pending,
}

impl Backend {
    pub(super) fn new(key: TargetKey, target: Target, limits: LimitConfig) -> Self {
        Self {
            key,
            limit: LimitController::new(limits, target.limit),
            target,
            listed: true,
            leaving: false,
            home: false,
            online: 0,
            batch: 0,
            batch_started: None,
            reading: 0,
            probe: None,
            online_cap: 0,
            batch_cap: 0,
            free: [0; 2],
            peers: Count::default(),
            correction: None,
            history: History::default(),
            pending: Pending::default(),
        }
    }

    /// Own requests and items in flight.
    pub(super) const fn own(&self) -> u32 {
        self.online + self.batch
    }

    /// Own work of one class in flight.
    pub(super) const fn own_of(&self, class: Class) -> u32 {
        match class {
            Class::Online => self.online,
            Class::Batch => self.batch,
        }
    }

    /// Online requests of all known hosts.
    pub(super) const fn online_total(&self) -> u32 {
        self.online + self.peers.online
    }

    /// Batch items of all known hosts.
    pub(super) const fn batch_total(&self) -> u32 {
        self.batch + self.peers.batch
    }

    /// Everything in flight of all known hosts.
    pub(super) const fn total(&self) -> u32 {
        self.online_total() + self.batch_total()
    }

    /// Load that the target reported and no known host accounts for.
    pub(super) fn unknown(&self, now: Time, config: &RouterConfig) -> u32 {
        let fresh = self.correction.filter(|c| now.since(c.received_at) <= config.report_ttl);
        let noise = self.target.limit / REPORT_NOISE;
        fresh.map_or(0, |c| c.unknown.saturating_sub(noise))
    }

    /// Counts a new own request.
    pub(super) fn open(&mut self, now: Time, class: Class) {
        self.reading += 1;
        match class {
            Class::Online => self.online += 1,
            Class::Batch => {
                self.batch += 1;
                self.batch_started = Some(now);
            }
        }
        self.history.record(now, self.total());
    }

    /// Counts the end of an own request.
    pub(super) fn close(&mut self, now: Time, class: Class, reading: bool) {
        self.reading -= u32::from(reading);
        match class {
            Class::Online => self.online = self.online.saturating_sub(1),
            Class::Batch => {
                self.batch = self.batch.saturating_sub(1);
                self.pending.count = self.pending.count.saturating_sub(1);
            }
        }
        self.history.record(now, self.total());
    }

    /// Replaces the peers' counts.
    pub(super) fn set_peers(&mut self, now: Time, peers: Count) {
        let ended = self.peers.batch.saturating_sub(peers.batch);
        self.pending.count = self.pending.count.saturating_sub(ended);
        if peers != self.peers {
            self.peers = peers;
            self.history.record(now, self.total());
        }
    }

    /// Takes a report into account unless it is older than the last one.
    pub(super) fn report(&mut self, now: Time, load: LoadReport) {
        if self.correction.is_some_and(|c| c.measured_at > load.measured_at) {
            return;
        }
        let known = self.history.at(load.measured_at);
        self.correction = Some(Correction {
            unknown: load.total().saturating_sub(known),
            measured_at: load.measured_at,
            received_at: now,
        });
    }

    /// Batch items that are in flight and not yet asked to make room.
    pub(super) fn unasked_batch(&self, now: Time, config: &RouterConfig) -> u32 {
        let fresh = now.since(self.pending.asked_at) <= config.yield_grace;
        let pending = if fresh { self.pending.count } else { 0 };
        self.batch_total().saturating_sub(pending)
    }

    /// Remembers that `count` more batch items were asked to make room.
    pub(super) fn ask_yields(&mut self, now: Time, count: u32, config: &RouterConfig) {
        let pending = self.batch_total() - self.unasked_batch(now, config);
        if count > 0 {
            self.pending = Pending { count: pending + count, asked_at: now };
        }
    }
}
