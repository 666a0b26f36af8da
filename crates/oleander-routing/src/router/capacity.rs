//! Capacity of the targets: free slots, this host's share of them, and batch items that must yield.
//!
//! Counts of peers arrive late, so hosts that used every slot that looks free would exceed the
//! capacity together. Each host therefore computes its share of a target's slots from the same
//! counts as its peers, and starts work only within that share until it is next computed.

use oleander_core::{HostId, Span, Time, hash};

use super::{Router, backend::Backend, peers::ACTIVE_WINDOW};
use crate::{
    config::Policy,
    load::BatchExcess,
    pick::Class,
    share::{cap_level, even_share, floor_level},
};

/// Age at which the shares are computed again without a new message from each peer.
const MAX_SHARE_AGE: Span = Span::from_millis(500);
/// Time after its first batch item for which a host assumes that all its peers run batch too.
const BATCH_WARMUP: Span = Span::from_millis(300);
/// Starts that the start interval allows, as a multiple of those needed to keep all slots in use.
const START_HEADROOM: u64 = 4;
/// Shortest start interval that is enforced: one shorter than a step of an engine would not spread
/// the prefill.
const MIN_START_INTERVAL: Span = Span::from_millis(10);
/// Divisor that gives the weight of a new service time in the running mean.
const SERVICE_TIME_WEIGHT: u64 = 16;
/// Divisor of the free slots that gives those one host may take in a burst.
const BURST_DIVISOR: u32 = 2;
/// Divisor of the idle slots that gives those shared among all hosts.
const IDLE_DIVISOR: u32 = 2;

impl Router {
    /// Whether batch may use the target at `index`.
    pub(super) fn serves_batch(&self, index: usize) -> bool {
        match self.config.policy {
            Policy::Managed | Policy::FirstCome => true,
            Policy::Split { batch_targets } => index < batch_targets as usize,
            Policy::OnlineOnly => false,
        }
    }

    /// Whether online requests may use the target at `index`.
    pub(super) fn serves_online(&self, index: usize) -> bool {
        match self.config.policy {
            Policy::Split { batch_targets } => index >= batch_targets as usize,
            Policy::Managed | Policy::FirstCome | Policy::OnlineOnly => true,
        }
    }

    /// Batch items that fit beside the online requests and the whole reserve.
    ///
    /// Batch items are started up to this number.
    pub(super) fn batch_capacity(&self, now: Time, backend: &Backend) -> u32 {
        self.slots_left(now, backend, self.reserve(backend))
    }

    /// Batch items above which some must yield to online requests.
    ///
    /// Exceeds [`Router::batch_capacity`] by a margin, so that a single short online request does
    /// not cause a batch item to be cancelled.
    pub(super) fn yield_threshold(&self, now: Time, backend: &Backend) -> u32 {
        let reserve = self.reserve(backend);
        let margin = reserve * self.config.yield_margin / 100;
        self.slots_left(now, backend, reserve.saturating_sub(margin))
    }

    /// Slots that batch leaves free for online requests.
    fn reserve(&self, backend: &Backend) -> u32 {
        match self.config.policy {
            Policy::Managed => backend.target.reserve,
            Policy::FirstCome | Policy::Split { .. } | Policy::OnlineOnly => 0,
        }
    }

    fn slots_left(&self, now: Time, backend: &Backend, reserved: u32) -> u32 {
        let online = backend.online_total() + backend.unattributed(now, &self.config);
        backend.limit.current().saturating_sub(reserved).saturating_sub(online)
    }

    /// Batch items that this host may start at the target now.
    pub(super) fn free_batch_slots(&self, now: Time, backend: &Backend) -> u32 {
        if self.batch_start_due(backend).is_some_and(|due| due > now) {
            return 0;
        }
        let free = self.batch_capacity(now, backend).saturating_sub(backend.batch_total());
        if self.peers.len() == 0 {
            return free;
        }
        free.min(backend.batch_cap.saturating_sub(backend.batch))
    }

    /// When this host's next batch item may start at the target; `None` for at once.
    ///
    /// The start interval allows [`START_HEADROOM`] times as many starts as items of the mean
    /// service time need to keep all slots in use.
    fn batch_start_due(&self, backend: &Backend) -> Option<Time> {
        if self.config.policy != Policy::Managed {
            return None;
        }
        let slots = if self.peers.len() == 0 { backend.limit.current() } else { backend.batch_cap };
        let starts = u64::from(slots.max(1)) * START_HEADROOM;
        let interval = self.config.start_interval.min(Span(self.batch_service_time.0 / starts));
        let started = backend.batch_started.filter(|_| interval >= MIN_START_INTERVAL);
        started.map(|started| started + interval)
    }

    /// The earliest time after `now` at which the start interval of a target ends.
    pub(super) fn next_batch_start(&self, now: Time) -> Option<Time> {
        let due = self.backends.iter().filter_map(|backend| self.batch_start_due(backend));
        due.filter(|due| *due > now).min()
    }

    /// Adds a batch item's service time to the running mean.
    pub(super) const fn record_batch_service_time(&mut self, took: Span) {
        self.batch_service_time = Span(
            (self.batch_service_time.0 * (SERVICE_TIME_WEIGHT - 1) + took.0) / SERVICE_TIME_WEIGHT,
        );
    }

    /// Online requests that this host may start at the target now; batch yields to them.
    pub(super) fn free_online_slots(&self, now: Time, backend: &Backend) -> u32 {
        let used = match self.config.policy {
            Policy::FirstCome => backend.total(),
            Policy::Managed | Policy::Split { .. } | Policy::OnlineOnly => backend.online_total(),
        };
        let free = self.online_limit(backend).saturating_sub(used);
        if !self.peers.any_active(now, Class::Online) {
            return free;
        }
        free.min(backend.online_cap.saturating_sub(backend.online))
    }

    /// Slots for online requests.
    ///
    /// A lowered limit reduces batch first, because batch may be what slowed the target: online
    /// requests may also take the slots of batch items, up to the configured limit.
    fn online_limit(&self, backend: &Backend) -> u32 {
        let batch = match self.config.policy {
            Policy::Managed => backend.batch_total(),
            Policy::FirstCome | Policy::Split { .. } | Policy::OnlineOnly => 0,
        };
        backend.limit.current().saturating_add(batch).min(backend.target.limit)
    }

    /// Computes the shares if a message has arrived from each peer since the last time.
    pub(super) fn recompute_if_reported(&mut self, now: Time) {
        if self.peers.all_reported_since(self.shares_at) {
            self.recompute_shares(now);
        }
    }

    /// Computes the shares if they have reached [`MAX_SHARE_AGE`].
    pub(super) fn recompute_if_due(&mut self, now: Time) {
        if self.next_recompute().is_some_and(|due| due <= now) {
            self.recompute_shares(now);
        }
    }

    /// When the shares are next computed at the latest; `None` without peers.
    pub(super) fn next_recompute(&self) -> Option<Time> {
        (self.peers.len() > 0).then(|| self.shares_at + MAX_SHARE_AGE)
    }

    /// Computes the shares after the set of hosts or targets has changed.
    ///
    /// No slot then counts as idle until the next time.
    pub(super) fn reset_shares(&mut self, now: Time) {
        self.recompute_shares(now);
        self.backends.iter_mut().for_each(|backend| backend.last_free = [0; 2]);
    }

    fn recompute_shares(&mut self, now: Time) {
        self.shares_at = now;
        self.set_caps(now);
    }

    /// Sets this host's caps at each target until the shares are next computed.
    fn set_caps(&mut self, now: Time) {
        let shares = (0..self.backends.len()).map(|index| {
            let backend = &self.backends[index];
            let online = self.share(now, Class::Online, backend, self.online_limit(backend));
            let batch = self.share(now, Class::Batch, backend, self.batch_capacity(now, backend));
            (online, batch)
        });
        let shares: Vec<(Share, Share)> = shares.collect();
        let has_preferred = self.backends.iter().any(|backend| backend.preferred);
        for (backend, (online, batch)) in self.backends.iter_mut().zip(shares) {
            let burst = backend.online + online.free / BURST_DIVISOR;
            backend.online_cap = match (has_preferred, backend.preferred) {
                // Nearly all work at a preferred target is this host's own.
                (true, true) => u32::MAX,
                (true, false) => burst,
                (false, _) => online.cap.max(burst),
            };
            backend.batch_cap = batch.cap;
            backend.last_free = [online.free, batch.free];
        }
    }

    /// This host's share of a target's slots for a class.
    ///
    /// All active hosts may go up to the same level, so that their caps together fit the capacity
    /// even if all use them at once. Slots that were also free when the shares were last computed
    /// are idle: the hosts below the level do not use them. Half of the idle slots are shared among
    /// all hosts, unless a peer is stale and its use therefore unknown.
    fn share(&self, now: Time, class: Class, backend: &Backend, capacity: u32) -> Share {
        let own = backend.own_of(class);
        let others = self.competing_peers(now, class, backend);
        let mut counts: Vec<u32> = others.iter().map(|(_, count)| *count).collect();
        counts.push(own);
        let level = floor_level(capacity, &counts);
        let used: u32 = counts.iter().map(|count| *count.max(&level)).sum();
        let below = others.iter().filter(|(_, count)| *count <= level).map(|(host, _)| *host);
        let rest = capacity.saturating_sub(used);
        let extra = u32::from(rest > 0 && own <= level && self.rank(backend, below) < rest);
        let free = capacity.saturating_sub(counts.iter().sum());
        let all_fresh = !self.peers.any_stale();
        let idle = if all_fresh { free.min(backend.last_free[class as usize]) } else { 0 };
        let shared = idle.div_ceil(IDLE_DIVISOR);
        let mut cap = own.max(level + extra);
        if shared > 0 {
            let rank = self.rank(backend, others.iter().map(|(host, _)| *host));
            cap += even_share(shared, rank, counts.len() as u32);
        }
        Share { cap, free }
    }

    /// Peers that compete for a target's slots for a class, and their work there.
    ///
    /// A host that has only just started to run batch assumes that all its peers do.
    fn competing_peers(&self, now: Time, class: Class, backend: &Backend) -> Vec<(&HostId, u32)> {
        if class == Class::Batch && self.batch_since.is_none_or(|at| now.since(at) < BATCH_WARMUP) {
            return self.peers.counts(class, backend.key).collect();
        }
        self.peers.active_counts(now, class, backend.key).collect()
    }

    /// Records that this host has started or ended a batch item.
    pub(super) fn record_batch_activity(&mut self, now: Time) {
        let idle = self.last_batch.is_none_or(|last| now.since(last) >= ACTIVE_WINDOW);
        self.last_batch = Some(now);
        if idle {
            self.batch_since = Some(now);
        }
    }

    /// Position of this host among `hosts` in an order that differs by target.
    ///
    /// Hosts that rank the same set of hosts agree on the order, so each leftover slot goes to one
    /// host.
    fn rank<'a>(&self, backend: &Backend, hosts: impl Iterator<Item = &'a HostId>) -> u32 {
        let target = backend.target.name.as_str();
        let score = |host: &HostId| hash::hash_parts(&[target, host.as_str()]);
        let own = &self.config.host;
        let own_score = (score(own), own);
        hosts.filter(|host| (score(host), *host) < own_score).count() as u32
    }

    /// Own batch items beyond the capacity of their targets, to be cancelled now.
    #[must_use]
    pub fn batch_excess(&self, now: Time) -> Vec<BatchExcess> {
        if self.config.policy != Policy::Managed {
            return Vec::new();
        }
        let excess = self.backends.iter().filter_map(|backend| {
            let count = self.excess_at(now, backend);
            (count > 0).then(|| BatchExcess { target: backend.target.name.clone(), count })
        });
        excess.collect()
    }

    fn excess_at(&self, now: Time, backend: &Backend) -> u32 {
        let threshold = self.yield_threshold(now, backend);
        if backend.batch == 0 || backend.batch_total() <= threshold {
            return 0;
        }
        let holders: Vec<(&HostId, u32)> = self.peers.counts(Class::Batch, backend.key).collect();
        let mut counts: Vec<u32> = holders.iter().map(|(_, count)| *count).collect();
        counts.push(backend.batch);
        let level = cap_level(threshold, &counts);
        let used: u32 = counts.iter().map(|count| *count.min(&level)).sum();
        let above = holders.iter().filter(|(_, count)| *count > level).map(|(host, _)| *host);
        let rank = self.rank(backend, above);
        let kept = level + u32::from(rank < threshold.saturating_sub(used));
        backend.batch.saturating_sub(kept)
    }
}

/// One host's share of a target's slots for a class.
#[derive(Debug, Clone, Copy)]
struct Share {
    /// Most own work of the class.
    cap: u32,
    /// Slots that no host uses now.
    free: u32,
}
