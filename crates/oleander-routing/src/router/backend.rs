//! The router's state of one target.

use oleander_core::Time;

use super::{peers::Count, rate::RateLimit};
use crate::{
    config::RouterConfig,
    history::History,
    limit::{LimitConfig, LimitController},
    load::LoadReport,
    pick::{Class, LeaseId},
    prefix::TargetKey,
    target::Target,
};

/// Divisor of the limit that gives how far a load report may exceed the known counts.
const REPORT_TOLERANCE_DIVISOR: u32 = 8;

/// A load report compared with the counts known for the time of its measurement.
#[derive(Debug, Clone, Copy)]
struct Correction {
    /// Load beyond the work of all known hosts.
    unattributed: u32,
    measured_at: Time,
    received_at: Time,
}

/// Batch items that were told to yield and are still in the counts.
#[derive(Debug, Clone, Copy, Default)]
struct PendingYields {
    count: u32,
    requested_at: Time,
}

/// One target with the work of this host and its peers there.
#[derive(Debug, Clone)]
pub(super) struct Backend {
    pub(super) key: TargetKey,
    pub(super) target: Target,
    /// Whether the target is in the current list of targets.
    pub(super) listed: bool,
    pub(super) leaving: bool,
    /// Whether this host uses the target before those that are not preferred.
    pub(super) preferred: bool,
    /// Own online requests in flight.
    pub(super) online: u32,
    /// Own batch items in flight.
    pub(super) batch: u32,
    /// Own requests and items without output so far.
    pub(super) prefilling: u32,
    /// Last start of an own batch item; `None` if that item was cancelled.
    pub(super) batch_started: Option<Time>,
    pub(super) limit: LimitController,
    /// This host's share of the rate that the target takes, if it names one.
    pub(super) rate: Option<RateLimit>,
    /// The single request that tests whether an ejected target works again.
    pub(super) probe: Option<LeaseId>,
    /// Most own online requests until the shares are next computed.
    pub(super) online_cap: u32,
    /// Most own batch items until the shares are next computed.
    pub(super) batch_cap: u32,
    /// Free slots for each class when the shares were last computed.
    pub(super) last_free: [u32; 2],
    peers: Count,
    correction: Option<Correction>,
    history: History,
    pending: PendingYields,
}

impl Backend {
    pub(super) fn new(key: TargetKey, target: Target, limits: LimitConfig) -> Self {
        Self {
            key,
            limit: LimitController::new(limits, target.limit),
            target,
            listed: true,
            leaving: false,
            preferred: false,
            online: 0,
            batch: 0,
            batch_started: None,
            prefilling: 0,
            rate: None,
            probe: None,
            online_cap: 0,
            batch_cap: 0,
            last_free: [0; 2],
            peers: Count::default(),
            correction: None,
            history: History::default(),
            pending: PendingYields::default(),
        }
    }

    /// All work of this host in flight.
    pub(super) const fn own(&self) -> u32 {
        self.online + self.batch
    }

    /// Work of this host in flight of one class.
    pub(super) const fn own_of(&self, class: Class) -> u32 {
        match class {
            Class::Online => self.online,
            Class::Batch => self.batch,
        }
    }

    /// Online requests in flight, over all known hosts.
    pub(super) const fn online_total(&self) -> u32 {
        self.online + self.peers.online
    }

    /// Batch items in flight, over all known hosts.
    pub(super) const fn batch_total(&self) -> u32 {
        self.batch + self.peers.batch
    }

    /// All work in flight, over all known hosts.
    pub(super) const fn total(&self) -> u32 {
        self.online_total() + self.batch_total()
    }

    /// Reported load beyond the work of all known hosts, less a tolerance.
    pub(super) fn unattributed(&self, now: Time, config: &RouterConfig) -> u32 {
        let fresh = self.correction.filter(|c| now.since(c.received_at) <= config.report_ttl);
        let tolerance = self.target.limit / REPORT_TOLERANCE_DIVISOR;
        fresh.map_or(0, |c| c.unattributed.saturating_sub(tolerance))
    }

    /// Counts the start of an own request or item.
    pub(super) fn start(&mut self, now: Time, class: Class) {
        self.prefilling += 1;
        if let Some(rate) = &mut self.rate {
            rate.record_sent(now);
        }
        match class {
            Class::Online => self.online += 1,
            Class::Batch => {
                self.batch += 1;
                self.batch_started = Some(now);
            }
        }
        self.history.record(now, self.total());
    }

    /// Counts the end of an own request or item; `prefilling` if it had no output.
    pub(super) fn finish(&mut self, now: Time, class: Class, prefilling: bool) {
        self.prefilling -= u32::from(prefilling);
        match class {
            Class::Online => self.online = self.online.saturating_sub(1),
            Class::Batch => {
                self.batch = self.batch.saturating_sub(1);
                self.pending.count = self.pending.count.saturating_sub(1);
            }
        }
        self.history.record(now, self.total());
    }

    /// Replaces the sum of the peers' counts.
    pub(super) fn set_peers(&mut self, now: Time, peers: Count) {
        let ended = self.peers.batch.saturating_sub(peers.batch);
        self.pending.count = self.pending.count.saturating_sub(ended);
        if peers != self.peers {
            self.peers = peers;
            self.history.record(now, self.total());
        }
    }

    /// Applies a load report unless it was measured before the last one.
    pub(super) fn update_load(&mut self, now: Time, load: LoadReport) {
        if self.correction.is_some_and(|c| c.measured_at > load.measured_at) {
            return;
        }
        let known = self.history.at(load.measured_at);
        self.correction = Some(Correction {
            unattributed: load.total().saturating_sub(known),
            measured_at: load.measured_at,
            received_at: now,
        });
    }

    /// Batch items in flight that were not told to yield.
    pub(super) fn unyielded_batch(&self, now: Time, config: &RouterConfig) -> u32 {
        let fresh = now.since(self.pending.requested_at) <= config.yield_grace;
        let pending = if fresh { self.pending.count } else { 0 };
        self.batch_total().saturating_sub(pending)
    }

    /// Records that `count` more batch items were told to yield.
    pub(super) fn record_yields(&mut self, now: Time, count: u32, config: &RouterConfig) {
        let pending = self.batch_total() - self.unyielded_batch(now, config);
        if count > 0 {
            self.pending = PendingYields { count: pending + count, requested_at: now };
        }
    }
}
