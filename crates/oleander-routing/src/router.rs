//! The router: one host's view of all targets, and the decisions based on it.
//!
//! [`Router::pick`] selects a target and opens a lease. [`Router::observe`] then reports progress
//! on that lease, ending with exactly one final observation. The in-flight counts of peers and the
//! load reports of targets complete the host's view.

mod admit;
mod backend;
mod capacity;
mod observe;
mod peers;
mod rate;

use std::{cmp::Reverse, collections::HashMap};

use oleander_core::{HostId, Span, TargetId, Time};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub use self::rate::RateShare;
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
    size::MeanSize,
    target::{Target, TargetState, TargetStatus},
};

/// Interval at which limits are checked for a lack of samples, which lets them recover.
const RECOVERY_INTERVAL: Span = Span::from_millis(500);

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
/// let Decision::Send { lease, .. } = decision else { panic!("the target has free slots") };
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
    mean_size: MeanSize,
    ejector: Ejector,
    prefixes: PrefixIndex,
    peers: Peers,
    /// When the slot shares were last computed.
    shares_at: Time,
    recovered_at: Time,
    /// Running mean of the time that a batch item holds a slot.
    batch_service_time: Span,
    /// Start of the current period of batch activity on this host.
    batch_since: Option<Time>,
    /// Last start or end of a batch item on this host.
    last_batch: Option<Time>,
    /// Latest time passed to the router.
    latest: Time,
}

impl Router {
    /// Creates a router without targets.
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
            mean_size: MeanSize::default(),
            ejector: Ejector::new(config.ejection),
            prefixes: PrefixIndex::default(),
            peers: Peers::default(),
            shares_at: Time(0),
            recovered_at: Time(0),
            batch_service_time: WaitQueue::INITIAL_SERVICE_TIME,
            batch_since: None,
            last_batch: None,
            latest: Time(0),
            config,
        }
    }

    /// Replaces the list of targets; targets already known keep their state.
    ///
    /// A target that is no longer listed gets no new work and is kept until its leases have ended.
    pub fn set_targets(&mut self, targets: Vec<Target>) {
        for backend in &mut self.backends {
            backend.listed = false;
        }
        for target in targets {
            self.upsert_target(target);
        }
        for backend in self.backends.iter().filter(|backend| !backend.listed) {
            self.ejector.remove(&backend.target.name);
        }
        self.backends.retain(|backend| backend.listed || backend.own() > 0);
        self.backends.sort_by(|a, b| a.target.name.cmp(&b.target.name));
        let names = self.backends.iter().map(|backend| backend.target.name.clone());
        self.by_name = names.enumerate().map(|(index, name)| (name, index)).collect();
        self.reset_shares(self.latest);
    }

    fn upsert_target(&mut self, target: Target) {
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

    /// Replaces the preferred targets of this host; see
    /// [`preferred_targets`](crate::preferred_targets).
    pub fn set_preferred(&mut self, preferred: &[TargetId]) {
        for backend in &mut self.backends {
            backend.preferred = preferred.contains(&backend.target.name);
        }
    }

    /// Sets whether a target is leaving; a leaving target gets no new work.
    pub fn set_leaving(&mut self, target: &TargetId, leaving: bool) {
        if let Some(backend) = self.backend_mut(target) {
            backend.leaving = leaving;
        }
    }

    /// Issues the next ticket, which sets an online request's place in the order of arrival.
    pub const fn ticket(&mut self) -> TicketId {
        self.next_ticket += 1;
        TicketId(self.next_ticket)
    }

    /// Removes a request that is no longer wanted from the queue.
    pub fn cancel_ticket(&mut self, ticket: TicketId) {
        self.queue.remove(ticket);
    }

    /// Expected time that an online request holds its slot.
    #[must_use]
    pub const fn service_time(&self) -> Span {
        self.queue.service_time()
    }

    /// Number of queued online requests.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.queue.len()
    }

    /// Applies a target's load report; one measured before the last one is ignored.
    pub fn update_load(&mut self, now: Time, target: &TargetId, load: LoadReport) {
        self.advance(now);
        if let Some(backend) = self.backend_mut(target) {
            backend.update_load(now, load);
        }
    }

    /// Replaces a peer's in-flight counts; a message sent before the last one is ignored.
    pub fn update_peer(&mut self, now: Time, peer: &HostId, counts: Vec<PeerCount>, sent_at: Time) {
        self.advance(now);
        let keyed = counts.into_iter().filter_map(|count| {
            let index = *self.by_name.get(&count.target)?;
            Some((self.backends[index].key, peers::Count::new(count.online, count.batch)))
        });
        let counts = keyed.collect();
        let update = self.peers.update(now, peer, counts, sent_at);
        if update == Update::Ignored {
            return;
        }
        self.update_peer_sums(now);
        match update {
            Update::New => self.reset_shares(now),
            Update::Known | Update::Ignored => self.recompute_if_reported(now),
        }
    }

    /// Removes a peer that has left, so that its share of the slots is free at once.
    pub fn remove_peer(&mut self, now: Time, peer: &HostId) {
        self.advance(now);
        self.peers.remove(peer);
        self.update_peer_sums(now);
        self.reset_shares(now);
    }

    /// In-flight counts of this host, to be sent to its peers.
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

    /// Peers with batch items at a target and their item counts, largest first.
    #[must_use]
    pub fn batch_holders(&self, target: &TargetId) -> Vec<(HostId, u32)> {
        let Some(backend) = self.by_name.get(target).map(|index| &self.backends[*index]) else {
            return Vec::new();
        };
        let counts = self.peers.counts(Class::Batch, backend.key).filter(|(_, count)| *count > 0);
        let mut holders: Vec<_> = counts.map(|(host, count)| (host.clone(), count)).collect();
        holders.sort_by_key(|(_, count)| Reverse(*count));
        holders
    }

    /// Applies a target's cache event: a prompt prefix was stored or evicted.
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

    /// Status of all listed targets as seen by this host, ordered by name.
    #[must_use]
    pub fn snapshot(&self) -> Vec<TargetStatus> {
        let listed = self.backends.iter().filter(|backend| backend.listed);
        listed.map(|backend| self.status_of(backend)).collect()
    }

    /// Status of one target as seen by this host.
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

    /// The next time at which a decision may change without a new event.
    #[must_use]
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let wakes = [
            self.ejector.next_expiry(now),
            self.queue.next_deadline(now),
            self.peers.next_expiry(self.config.peer_ttl),
            self.next_recompute(),
            self.next_batch_start(now),
            self.next_permit(now),
        ];
        wakes.into_iter().flatten().min()
    }

    /// Moves the router's time on to `now`: drops expired state and updates what is due.
    fn advance(&mut self, now: Time) {
        self.latest = self.latest.max(now);
        self.queue.expire(now);
        if self.peers.expire(now, self.config.peer_ttl) {
            self.update_peer_sums(now);
        }
        self.recompute_if_due(now);
        self.recover_limits(now);
    }

    fn recover_limits(&mut self, now: Time) {
        if now.since(self.recovered_at) < RECOVERY_INTERVAL {
            return;
        }
        self.recovered_at = now;
        self.backends.iter_mut().for_each(|backend| backend.limit.recover(now));
    }

    /// Updates the sum of the peers' counts at each target.
    fn update_peer_sums(&mut self, now: Time) {
        for backend in &mut self.backends {
            backend.set_peers(now, self.peers.sum(backend.key));
        }
    }

    fn backend_mut(&mut self, target: &TargetId) -> Option<&mut Backend> {
        let index = *self.by_name.get(target)?;
        self.backends.get_mut(index)
    }
}
