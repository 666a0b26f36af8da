//! Room at the targets: how much there is, which host may take it and what has to go.

use oleander_core::{HostId, Span, Time, hash};

use super::{Router, backend::Backend, peers::MEMORY};
use crate::{
    config::Policy,
    load::BatchExcess,
    pick::Class,
    share::{fair_part, fill_level, raise_level},
};

/// Time after which slots are divided without having heard all peers.
const LONGEST_SHARE: Span = Span::from_millis(500);
/// Time from its first item for which a host expects all others to run batch too.
const COLD: Span = Span::from_millis(300);
/// Starts for which the gap between them leaves room, as a multiple of those needed.
const STARTS_NEEDED: u64 = 4;
/// Shortest gap between two starts.
const LEAST_GAP: Span = Span::from_millis(10);
/// Weight of a new hold time in the running mean, as a divisor.
const HOLD_WEIGHT: u64 = 16;
/// Part of the free slots that one host may take for a burst, as a divisor.
const BURST_PART: u32 = 2;
/// Part of the unwanted slots that is divided among all hosts, as a divisor.
const LENT_PART: u32 = 2;

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

    /// Batch items that fit next to the online requests and the whole reserve.
    ///
    /// Batch is started up to here.
    pub(super) fn batch_room(&self, now: Time, backend: &Backend) -> u32 {
        self.slots_left(now, backend, self.reserve(backend))
    }

    /// Batch items that may stay next to the online requests.
    ///
    /// Lies above [`Router::batch_room`] by a band, so that a single online request that comes
    /// and goes costs no cancelled item.
    pub(super) fn batch_bound(&self, now: Time, backend: &Backend) -> u32 {
        let reserve = self.reserve(backend);
        let band = reserve * self.config.yield_margin / 100;
        self.slots_left(now, backend, reserve.saturating_sub(band))
    }

    fn reserve(&self, backend: &Backend) -> u32 {
        match self.config.policy {
            Policy::Managed => backend.target.reserve,
            Policy::FirstCome | Policy::Split { .. } | Policy::OnlineOnly => 0,
        }
    }

    fn slots_left(&self, now: Time, backend: &Backend, kept: u32) -> u32 {
        let online = backend.online_total() + backend.unknown(now, &self.config);
        backend.limit.current().saturating_sub(kept).saturating_sub(online)
    }

    /// Batch items that this host may start at the target now.
    pub(super) fn batch_free(&self, now: Time, backend: &Backend) -> u32 {
        if self.start_due(backend).is_some_and(|due| due > now) {
            return 0;
        }
        let free = self.batch_room(now, backend).saturating_sub(backend.batch_total());
        if self.peers.len() == 0 {
            return free;
        }
        free.min(backend.batch_cap.saturating_sub(backend.batch))
    }

    /// When the next batch item may start at the target; `None` for at once.
    ///
    /// The gap leaves room for several times as many starts as items of the usual length need.
    /// One shorter than a step of an engine would spread nothing.
    fn start_due(&self, backend: &Backend) -> Option<Time> {
        if self.config.policy != Policy::Managed {
            return None;
        }
        let slots = if self.peers.len() == 0 { backend.limit.current() } else { backend.batch_cap };
        let starts = u64::from(slots.max(1)) * STARTS_NEEDED;
        let gap = self.config.start_interval.min(Span(self.batch_hold.0 / starts));
        let started = backend.batch_started.filter(|_| gap >= LEAST_GAP);
        started.map(|started| started + gap)
    }

    /// When the next batch item may start at any target that had one lately.
    pub(super) fn next_start(&self, now: Time) -> Option<Time> {
        let due = self.backends.iter().filter_map(|backend| self.start_due(backend));
        due.filter(|due| *due > now).min()
    }

    /// Takes into account how long a batch item ran.
    pub(super) const fn held_batch(&mut self, took: Span) {
        self.batch_hold = Span((self.batch_hold.0 * (HOLD_WEIGHT - 1) + took.0) / HOLD_WEIGHT);
    }

    /// Online requests that this host may start at the target now; batch makes room for them.
    pub(super) fn online_free(&self, now: Time, backend: &Backend) -> u32 {
        let used = match self.config.policy {
            Policy::FirstCome => backend.total(),
            Policy::Managed | Policy::Split { .. } | Policy::OnlineOnly => backend.online_total(),
        };
        let free = self.online_limit(backend).saturating_sub(used);
        if !self.peers.run(now, Class::Online) {
            return free;
        }
        free.min(backend.online_cap.saturating_sub(backend.online))
    }

    /// Slots for online requests.
    ///
    /// A lowered limit binds batch first, because batch may have been what slowed the target:
    /// online requests may take the slots of batch items on top.
    fn online_limit(&self, backend: &Backend) -> u32 {
        let batch = match self.config.policy {
            Policy::Managed => backend.batch_total(),
            Policy::FirstCome | Policy::Split { .. } | Policy::OnlineOnly => 0,
        };
        backend.limit.current().saturating_add(batch).min(backend.target.limit)
    }

    /// Divides the slots anew once all peers have been heard since the last time.
    pub(super) fn share_when_heard(&mut self, now: Time) {
        if self.peers.all_since(self.shared_at) {
            self.share_out(now);
        }
    }

    /// Divides the slots anew after a while without having heard all peers.
    pub(super) fn share_when_due(&mut self, now: Time) {
        if self.next_share().is_some_and(|due| due <= now) {
            self.share_out(now);
        }
    }

    /// When the slots are divided anew at the latest; `None` without peers.
    pub(super) fn next_share(&self) -> Option<Time> {
        (self.peers.len() > 0).then(|| self.shared_at + LONGEST_SHARE)
    }

    /// Divides the slots among another set of hosts or targets.
    pub(super) fn share_anew(&mut self, now: Time) {
        self.share_out(now);
        self.backends.iter_mut().for_each(|backend| backend.free = [0; 2]);
    }

    fn share_out(&mut self, now: Time) {
        self.shared_at = now;
        self.set_caps(now);
    }

    /// Sets how far this host may go at each target until the next division.
    fn set_caps(&mut self, now: Time) {
        let shares = (0..self.backends.len()).map(|index| {
            let backend = &self.backends[index];
            let online = self.share(now, Class::Online, backend, self.online_limit(backend));
            let batch = self.share(now, Class::Batch, backend, self.batch_room(now, backend));
            (online, batch)
        });
        let shares: Vec<(Share, Share)> = shares.collect();
        let has_homes = self.backends.iter().any(|backend| backend.home);
        for (backend, (online, batch)) in self.backends.iter_mut().zip(shares) {
            let burst = backend.online + online.free / BURST_PART;
            backend.online_cap = match (has_homes, backend.home) {
                // Most of what is at a home is this host's own work.
                (true, true) => u32::MAX,
                (true, false) => burst,
                (false, _) => online.cap.max(burst),
            };
            backend.batch_cap = batch.cap;
            backend.free = [online.free, batch.free];
        }
    }

    /// This host's share of a target's slots for a class.
    ///
    /// All hosts that run the class are raised to one level, so that hosts that fill up at the
    /// same moment fit beside each other. Slots that were free already at the last division are
    /// not wanted by the hosts below the level; half of them is divided among all, unless a host
    /// is silent, whose use isn't known.
    fn share(&self, now: Time, class: Class, backend: &Backend, room: u32) -> Share {
        let own = backend.own_of(class);
        let others = self.sharers(now, class, backend);
        let mut counts: Vec<u32> = others.iter().map(|(_, count)| *count).collect();
        counts.push(own);
        let level = raise_level(room, &counts);
        let used: u32 = counts.iter().map(|count| *count.max(&level)).sum();
        let below = others.iter().filter(|(_, count)| *count <= level).map(|(host, _)| *host);
        let over = room.saturating_sub(used);
        let extra = u32::from(over > 0 && own <= level && self.rank(backend, below) < over);
        let free = room.saturating_sub(counts.iter().sum());
        let all_heard = !self.peers.any_silent();
        let unwanted = if all_heard { free.min(backend.free[class as usize]) } else { 0 };
        let lent = unwanted.div_ceil(LENT_PART);
        let mut cap = own.max(level + extra);
        if lent > 0 {
            let rank = self.rank(backend, others.iter().map(|(host, _)| *host));
            cap += fair_part(lent, rank, counts.len() as u32);
        }
        Share { cap, free }
    }

    /// Peers that share a target's slots for a class.
    ///
    /// A host that has only just begun to run batch expects the same of all others.
    fn sharers(&self, now: Time, class: Class, backend: &Backend) -> Vec<(&HostId, u32)> {
        if class == Class::Batch && self.batch_began.is_none_or(|at| now.since(at) < COLD) {
            return self.peers.all(class, backend.key).collect();
        }
        self.peers.runners(now, class, backend.key).collect()
    }

    /// Remembers that this host runs batch.
    pub(super) fn note_batch(&mut self, now: Time) {
        let idle = self.batch_last.is_none_or(|last| now.since(last) >= MEMORY);
        self.batch_last = Some(now);
        if idle {
            self.batch_began = Some(now);
        }
    }

    /// Position of this host among `hosts` in an order that differs by target.
    fn rank<'a>(&self, backend: &Backend, hosts: impl Iterator<Item = &'a HostId>) -> u32 {
        let target = backend.target.name.as_str();
        let score = |host: &HostId| hash::hash_parts(&[target, host.as_str()]);
        let own = &self.config.host;
        let mine = (score(own), own);
        hosts.filter(|host| (score(host), *host) < mine).count() as u32
    }

    /// Own batch items that targets have no room for, to be cancelled now.
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
        let room = self.batch_bound(now, backend);
        if backend.batch == 0 || backend.batch_total() <= room {
            return 0;
        }
        let holders: Vec<(&HostId, u32)> = self.peers.all(Class::Batch, backend.key).collect();
        let mut counts: Vec<u32> = holders.iter().map(|(_, count)| *count).collect();
        counts.push(backend.batch);
        let level = fill_level(room, &counts);
        let used: u32 = counts.iter().map(|count| *count.min(&level)).sum();
        let above = holders.iter().filter(|(_, count)| *count > level).map(|(host, _)| *host);
        let rank = self.rank(backend, above);
        let kept = level + u32::from(rank < room.saturating_sub(used));
        backend.batch.saturating_sub(kept)
    }
}

/// Slots that one host may use.
#[derive(Debug, Clone, Copy)]
struct Share {
    /// Own work up to which the host may go.
    cap: u32,
    /// Slots that no host uses now.
    free: u32,
}
