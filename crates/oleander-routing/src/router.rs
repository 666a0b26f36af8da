//! The router: one host's view of all targets and its decisions.
//!
//! [`Router::pick`] asks for a target and opens a lease; the observations of that lease end with
//! exactly one final one. Counts of the peers and reports of the targets correct the view.

mod admit;
mod backend;
mod observe;
mod peers;
mod room;

use std::{cmp::Reverse, collections::HashMap};

use oleander_core::{HostId, Span, TargetId, Time};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use self::{
    backend::Backend,
    observe::Lease,
    peers::{Peers, Update},
};
use crate::{
    choice::Chooser,
    config::RouterConfig,
    eject::{EjectionState, Ejector},
    load::{LoadReport, PeerCount},
    pick::{Class, LeaseId, TicketId},
    prefix::PrefixIndex,
    queue::WaitQueue,
    target::{Target, TargetState, TargetStatus},
};

/// Time between two looks at limits without samples.
const RECOVER_EVERY: Span = Span::from_millis(500);

/// Decides which target gets which request.
///
/// # Examples
///
/// ```
/// use oleander_core::{Time, ParseIdError};
/// use oleander_routing::{Decision, Observation, Pick, Router, RouterConfig, Target};
///
/// # fn main() -> Result<(), ParseIdError> {
/// let config = RouterConfig::new("entry-1".parse()?, "junin".parse()?);
/// let mut router = Router::new(config, 7);
/// let name = "engine-1".parse()?;
/// router.set_targets(vec![Target { name, zone: "junin".parse()?, limit: 8, reserve: 2 }]);
///
/// let ticket = router.ticket();
/// let decision = router.pick(Time(0), &Pick::online(ticket));
/// let Decision::Send { lease, .. } = decision else { panic!("there is room") };
/// router.observe(Time(100), lease, Observation::FirstOutput);
/// router.observe(Time(900), lease, Observation::Done);
/// # Ok(())
/// # }
/// ```
#[derive(Debug, Clone)]
pub struct Router {
    config: RouterConfig,
    rng: Pcg64Mcg,
    chooser: Chooser,
    backends: Vec<Backend>,
    by_name: HashMap<TargetId, usize>,
    next_key: u32,
    leases: HashMap<LeaseId, Lease>,
    next_lease: u64,
    next_ticket: u64,
    queue: WaitQueue,
    ejector: Ejector,
    prefixes: PrefixIndex,
    peers: Peers,
    shared_at: Time,
    recovered_at: Time,
    batch_hold: Span,
    batch_began: Option<Time>,
    batch_last: Option<Time>,
    latest: Time,
}

impl Router {
    /// A router without targets.
    #[must_use]
    pub fn new(config: RouterConfig, seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            chooser: Chooser::new(config.affinity_slack).draws(config.draws),
            backends: Vec::new(),
            by_name: HashMap::new(),
            next_key: 0,
            leases: HashMap::new(),
            next_lease: 0,
            next_ticket: 0,
            queue: WaitQueue::new(config.queue_limit),
            ejector: Ejector::new(config.ejection),
            prefixes: PrefixIndex::default(),
            peers: Peers::default(),
            shared_at: Time(0),
            recovered_at: Time(0),
            batch_hold: WaitQueue::FIRST_HOLD,
            batch_began: None,
            batch_last: None,
            latest: Time(0),
            config,
        }
    }

    /// Replaces the list of targets; those that stay keep their state.
    ///
    /// A target that is gone gets no new work and is kept until its leases have ended.
    pub fn set_targets(&mut self, targets: Vec<Target>) {
        for backend in &mut self.backends {
            backend.listed = false;
        }
        for target in targets {
            self.put_target(target);
        }
        for backend in self.backends.iter().filter(|backend| !backend.listed) {
            self.ejector.remove(&backend.target.name);
        }
        self.backends.retain(|backend| backend.listed || backend.own() > 0);
        self.backends.sort_by(|a, b| a.target.name.cmp(&b.target.name));
        let names = self.backends.iter().map(|backend| backend.target.name.clone());
        self.by_name = names.enumerate().map(|(index, name)| (name, index)).collect();
        self.share_anew(self.latest);
    }

    fn put_target(&mut self, target: Target) {
        self.ejector.add(&target.name);
        let known = self.backends.iter_mut().find(|known| known.target.name == target.name);
        if let Some(known) = known {
            known.listed = true;
            known.limit.set_configured(target.limit);
            known.target = target;
            return;
        }
        self.backends.push(Backend::new(self.next_key, target, self.config.limits));
        self.next_key += 1;
    }

    /// Replaces the targets to which this host sends first.
    pub fn set_homes(&mut self, homes: &[TargetId]) {
        for backend in &mut self.backends {
            backend.home = homes.contains(&backend.target.name);
        }
    }

    /// Marks a target as leaving, so that it gets no new work, or as back.
    pub fn set_leaving(&mut self, target: &TargetId, leaving: bool) {
        if let Some(backend) = self.backend_mut(target) {
            backend.leaving = leaving;
        }
    }

    /// Draws the next place in the order of arrival, for an online request.
    pub const fn ticket(&mut self) -> TicketId {
        self.next_ticket += 1;
        TicketId(self.next_ticket)
    }

    /// Gives up the place of a request that is no longer wanted.
    pub fn forget(&mut self, ticket: TicketId) {
        self.queue.remove(ticket);
    }

    /// Number of online requests that wait.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.queue.len()
    }

    /// Takes a target's report of its load into account; older ones than the last are ignored.
    pub fn report(&mut self, now: Time, target: &TargetId, load: LoadReport) {
        self.tidy(now);
        if let Some(backend) = self.backend_mut(target) {
            backend.report(now, load);
        }
    }

    /// Takes the counts of a peer into account; older ones than the last are ignored.
    pub fn peer(&mut self, now: Time, peer: &HostId, counts: Vec<PeerCount>, sent_at: Time) {
        self.tidy(now);
        let known = counts.into_iter().filter_map(|count| {
            let index = *self.by_name.get(&count.target)?;
            Some((self.backends[index].key, peers::Count::new(count.online, count.batch)))
        });
        let counts = known.collect();
        let update = self.peers.update(now, peer, counts, sent_at);
        if update == Update::Ignored {
            return;
        }
        self.sum_peers(now);
        match update {
            Update::New => self.share_anew(now),
            Update::Known | Update::Ignored => self.share_when_heard(now),
        }
    }

    /// Drops a peer that is known to be gone, so that its part of the slots is free at once.
    pub fn forget_peer(&mut self, now: Time, peer: &HostId) {
        self.tidy(now);
        self.peers.remove(peer);
        self.sum_peers(now);
        self.share_anew(now);
    }

    /// Own requests in flight, for the peers.
    #[must_use]
    pub fn counts(&self) -> Vec<PeerCount> {
        let busy = self.backends.iter().filter(|backend| backend.own() > 0);
        let counts = busy.map(|backend| PeerCount {
            target: backend.target.name.clone(),
            online: backend.online,
            batch: backend.batch,
        });
        counts.collect()
    }

    /// Hosts with batch items at a target, and how many, those with most first.
    #[must_use]
    pub fn batch_holders(&self, target: &TargetId) -> Vec<(HostId, u32)> {
        let Some(backend) = self.by_name.get(target).map(|index| &self.backends[*index]) else {
            return Vec::new();
        };
        let all = self.peers.all(Class::Batch, backend.key).filter(|(_, count)| *count > 0);
        let mut holders: Vec<_> = all.map(|(host, count)| (host.clone(), count)).collect();
        holders.sort_by_key(|(_, count)| Reverse(*count));
        holders
    }

    /// Takes a target's cache event into account.
    pub fn cache_event(&mut self, target: &TargetId, prefix: u64, stored: bool) {
        let Some(key) = self.by_name.get(target).map(|index| self.backends[*index].key) else {
            return;
        };
        if stored {
            self.prefixes.insert(prefix, key);
        } else {
            self.prefixes.remove(prefix, key);
        }
    }

    /// All targets as this host sees them, in order of their names.
    #[must_use]
    pub fn snapshot(&self) -> Vec<TargetStatus> {
        let listed = self.backends.iter().filter(|backend| backend.listed);
        listed.map(|backend| self.status_of(backend)).collect()
    }

    /// One target as this host sees it.
    #[must_use]
    pub fn status(&self, target: &TargetId) -> Option<TargetStatus> {
        let index = self.by_name.get(target)?;
        Some(self.status_of(&self.backends[*index]))
    }

    fn status_of(&self, backend: &Backend) -> TargetStatus {
        TargetStatus {
            name: backend.target.name.clone(),
            state: self.state(backend),
            online: backend.online_total(),
            batch: backend.batch_total(),
            limit: backend.limit.current(),
        }
    }

    fn state(&self, backend: &Backend) -> TargetState {
        if backend.leaving {
            return TargetState::Leaving;
        }
        match self.ejector.state(self.latest, &backend.target.name) {
            EjectionState::Active => TargetState::Ready,
            EjectionState::Ejected(_) => TargetState::Ejected,
            EjectionState::Probing => TargetState::Probing,
        }
    }

    /// The next time at which a decision may change without any event.
    #[must_use]
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let wakes = [
            self.ejector.next_expiry(now),
            self.queue.next_deadline(now),
            self.peers.next_expiry(self.config.peer_ttl),
            self.next_share(),
            self.next_start(now),
        ];
        wakes.into_iter().flatten().min()
    }

    /// Drops what is too old at `now`.
    fn tidy(&mut self, now: Time) {
        self.latest = self.latest.max(now);
        self.queue.expire(now);
        if self.peers.expire(now, self.config.peer_ttl) {
            self.sum_peers(now);
        }
        self.share_when_due(now);
        self.recover_limits(now);
    }

    fn recover_limits(&mut self, now: Time) {
        if now.since(self.recovered_at) < RECOVER_EVERY {
            return;
        }
        self.recovered_at = now;
        self.backends.iter_mut().for_each(|backend| backend.limit.recover(now));
    }

    /// Works out the peers' sums at each target again.
    fn sum_peers(&mut self, now: Time) {
        for backend in &mut self.backends {
            backend.set_peers(now, self.peers.sum(backend.key));
        }
    }

    fn backend_mut(&mut self, target: &TargetId) -> Option<&mut Backend> {
        let index = *self.by_name.get(target)?;
        self.backends.get_mut(index)
    }
}
