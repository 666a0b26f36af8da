//! Capacity of the targets: free slots, this host's share of them, and batch items that must yield.
//!
//! A host knows the requests and items that its peers have in flight only from their messages,
//! which arrive late; hosts that used every slot that looks free would together exceed the
//! capacity. Each host therefore computes a cap for each target and class from its own count and
//! those in the last messages of its peers, and starts nothing beyond the cap until the next
//! computation.
//!
//! A cap is the host's share of the slots; the shares of all hosts together stay within the
//! capacity. To use slots that would otherwise stay free, caps may exceed the shares: half of the
//! idle slots are distributed on top, and online requests may take half of the free slots in a
//! burst. A slot is free if no known host uses it, and idle if it was also free at the computation
//! before.
//!
//! Most online requests at a target come from the host that prefers it (see
//! [`preferred_targets`](crate::preferred_targets)). That host has no cap for them; one that
//! prefers other targets may take only half of the free slots.

use oleander_core::{HostId, Span, Time, hash};

use super::{Router, backend::Backend, peers::ACTIVE_WINDOW};
use crate::{
    config::Policy,
    load::BatchExcess,
    pick::Class,
    share::{cap_level, even_share, floor_level},
};

/// Age at which the shares are computed again even if messages of peers are missing.
const MAX_SHARE_AGE: Span = Span::from_millis(500);
/// Time for which a host that has batch items, at first or after [`ACTIVE_WINDOW`] without any,
/// assumes that all its peers have some too. By then those that have started an item have said so;
/// one that has no share while all compete would else never start any.
const BATCH_WARMUP: Span = Span::from_millis(300);
/// Starts that the start interval allows, as a multiple of those needed to keep all slots in use.
const START_HEADROOM: u64 = 4;
/// Shortest start interval that is enforced: one shorter than a step of an engine would not spread
/// the prefill.
const MIN_START_INTERVAL: Span = Span::from_millis(10);
/// A new service time enters the running mean with the inverse of this as its weight.
const SERVICE_TIME_DIVISOR: u64 = 16;
/// One host may take the free slots divided by this in a burst of online requests.
const BURST_DIVISOR: u32 = 2;
/// The idle slots divided by this are distributed among the hosts on top of their shares.
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
    /// Exceeds [`Router::batch_capacity`] by a margin, in percent of the reserve, so that a single
    /// short online request does not cause a batch item to be cancelled.
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

    /// Slots left to batch beside the online requests and the `reserved` slots.
    ///
    /// Unattributed load, which the target reports beyond the counts of all known hosts, is taken
    /// for online requests.
    fn slots_left(&self, now: Time, backend: &Backend, reserved: u32) -> u32 {
        let online = backend.online_total() + backend.unattributed(now, &self.config);
        backend.limit.current().saturating_sub(reserved).saturating_sub(online)
    }

    /// Batch items that this host may start at the target now.
    pub(super) fn free_batch_slots(&self, now: Time, backend: &Backend) -> u32 {
        if !Self::permits_rate(now, backend, Class::Batch)
            || self.batch_start_due(backend).is_some_and(|due| due > now)
        {
            return 0;
        }
        let free = self.batch_capacity(now, backend).saturating_sub(backend.batch_total());
        if self.peers.len() == 0 {
            return free;
        }
        free.min(backend.batch_cap.saturating_sub(backend.batch))
    }

    /// When the start interval lets this host's next batch item start at the target; at once if
    /// the time is past or `None`.
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
            (self.batch_service_time.0 * (SERVICE_TIME_DIVISOR - 1) + took.0)
                / SERVICE_TIME_DIVISOR,
        );
    }

    /// Online requests that this host may start at the target now; batch yields to them.
    pub(super) fn free_online_slots(&self, now: Time, backend: &Backend) -> u32 {
        if !Self::permits_rate(now, backend, Class::Online) {
            return 0;
        }
        let used = match self.config.policy {
            Policy::FirstCome => backend.total(),
            Policy::Managed | Policy::Split { .. } | Policy::OnlineOnly => backend.online_total(),
        };
        let free = self.online_limit(backend).saturating_sub(used);
        if backend.rate.is_some() {
            return free.min(1);
        }
        if !self.peers.any_active(now, Class::Online) {
            return free;
        }
        free.min(backend.online_cap.saturating_sub(backend.online))
    }

    /// Slots that the online requests of all hosts may take.
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

    /// Computes the shares if each peer that is not stale has sent a message since the last
    /// computation.
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

    /// Latest time of the next computation of the shares; `None` without peers.
    pub(super) fn next_recompute(&self) -> Option<Time> {
        (self.peers.len() > 0).then(|| self.shares_at + MAX_SHARE_AGE)
    }

    /// Computes the shares after the set of hosts or targets has changed.
    ///
    /// This computation may still count slots as idle; the next one counts none, because the free
    /// slots before the change say nothing about those after it.
    pub(super) fn reset_shares(&mut self, now: Time) {
        self.recompute_shares(now);
        self.backends.iter_mut().for_each(|backend| backend.last_free = [0; 2]);
    }

    fn recompute_shares(&mut self, now: Time) {
        self.shares_at = now;
        self.set_caps(now);
    }

    /// Sets this host's caps at each target until the next computation.
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
                // Nearly all requests there are this host's own, so it knows the free slots.
                (true, true) => u32::MAX,
                // The host that prefers the target has no cap, so no share is guaranteed.
                (true, false) => burst,
                (false, _) => online.cap.max(burst),
            };
            backend.batch_cap = batch.cap;
            backend.last_free = [online.free, batch.free];
        }
    }

    /// This host's share of a target's slots for a class.
    ///
    /// All competing hosts may raise their counts to the same [`floor_level`]; the slots that
    /// remain go one each to hosts at or below it. If all use them at once, they stay within the
    /// capacity. Half of the idle slots are distributed on top, because the hosts below the level
    /// have not used them, unless a peer is stale and its count therefore unknown.
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

    /// Peers that compete for a target's slots for a class, and their counts there.
    ///
    /// These are the peers active in the class; all peers for batch until [`BATCH_WARMUP`] has
    /// passed.
    fn competing_peers(&self, now: Time, class: Class, backend: &Backend) -> Vec<(&HostId, u32)> {
        if class == Class::Batch && self.batch_since.is_none_or(|at| now.since(at) < BATCH_WARMUP) {
            return self.peers.counts(class, backend.key).collect();
        }
        self.peers.active_counts(now, class, backend.key).collect()
    }

    /// Records that this host has batch items: that one waits for a slot, has started or has ended.
    pub(super) fn record_batch_activity(&mut self, now: Time) {
        let resumed = self.last_batch.is_none_or(|last| now.since(last) >= ACTIVE_WINDOW);
        self.last_batch = Some(now);
        if resumed {
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

    /// Own batch items to be cancelled now, at targets above their yield threshold.
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

    /// This host's part of the batch items above the yield threshold, by the [`cap_level`] of all
    /// hosts' counts.
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
    /// Most requests or items of the class that this host may have in flight.
    cap: u32,
    /// Slots that no known host uses now.
    free: u32,
}
