//! The targets of one service, behind the router that chooses among them.

use std::{collections::HashMap, fmt, sync::Arc};

use oleander_core::{HostId, ServiceId, Span, TargetId, Time, ZoneId};
use oleander_host::clock;
use oleander_routing::{
    BatchExcess, Class, Decision, LeaseId, LoadReport, Observation, PeerCount, Pick, Router,
    RouterConfig, TicketId, homes,
};
use parking_lot::{Mutex, RwLock};
use tokio::sync::{
    Notify,
    mpsc::{self, UnboundedReceiver, UnboundedSender},
};

use crate::{
    capacity::Capacity,
    fleet::{Fleet, TargetEntry},
};

/// Longest wait before the router is asked again.
const MAX_WAIT: Span = Span::from_millis(500);
/// Cost of another data centre, in per mille of a target's slots: about two requests more there
/// weigh as much as the bytes between data centres.
const ZONE_COST: u32 = 250;
/// Targets that are compared for a choice: since hosts have homes, comparing all of them does not
/// make hosts choose alike.
const DRAWS: u32 = 64;
/// Age at which a target's own report no longer counts; it is renewed by each answer.
const REPORT_KEEP: Span = Span::from_millis(400);
/// Age at which the counts of a silent peer no longer count.
const PEER_KEEP: Span = Span::from_millis(1_500);
/// Time to the first event that lowers a target's limit: only a target that hardly works.
const FIRST_TOKEN: Span = Span::from_secs(5);

/// Batch items that have to make room for an online request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct YieldRequest {
    /// Where.
    pub target: TargetId,
    /// How many.
    pub count: u32,
    /// Other hosts with items there, those with most first.
    pub holders: Vec<(HostId, u32)>,
}

/// The targets of one service.
pub struct Pool {
    yields: UnboundedSender<YieldRequest>,
    router: Mutex<Router>,
    targets: RwLock<HashMap<TargetId, TargetEntry>>,
    /// Hosts among which the targets are divided; `None` since the targets changed.
    divided: Mutex<Option<Vec<HostId>>>,
    changed: Notify,
}

/// A target that was granted to one request; ends its lease when dropped.
pub struct Granted {
    pool: Arc<Pool>,
    lease: LeaseId,
    ended: bool,
    /// The target.
    pub target: TargetEntry,
    /// Work in flight there when it was chosen, this request included.
    pub seen: Seen,
}

/// What a choice was based on: work in flight at the chosen target, over all known hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Seen {
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
    /// Limit in force.
    pub limit: u32,
}

impl fmt::Display for Seen {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "online {} batch {} of {}", self.online, self.batch, self.limit)
    }
}

impl Pool {
    fn new(host: &HostId, zone: &ZoneId, seed: u64, yields: UnboundedSender<YieldRequest>) -> Self {
        let config = RouterConfig::new(host.clone(), zone.clone())
            .zone_cost(ZONE_COST)
            .draws(DRAWS)
            .report_ttl(REPORT_KEEP)
            .peer_ttl(PEER_KEEP)
            .first_token(FIRST_TOKEN);
        Self {
            yields,
            router: Mutex::new(Router::new(config, seed)),
            targets: RwLock::default(),
            divided: Mutex::default(),
            changed: Notify::new(),
        }
    }

    fn set_targets(&self, entries: Vec<TargetEntry>, capacity: Capacity) {
        let mut router = self.router.lock();
        router.set_targets(entries.iter().map(|entry| capacity.bounds(entry)).collect());
        for entry in &entries {
            router.set_leaving(&entry.id, entry.leaving);
        }
        drop(router);
        let entries = entries.into_iter().map(|entry| (entry.id.clone(), entry));
        *self.targets.write() = entries.collect();
        *self.divided.lock() = None;
        self.changed.notify_waiters();
    }

    /// Divides the targets of this host's data centre among its hosts, if either changed.
    pub fn divide(&self, host: &HostId, zone: &ZoneId, hosts: &[HostId]) {
        let mut divided = self.divided.lock();
        if divided.as_deref() == Some(hosts) {
            return;
        }
        let targets = self.targets.read();
        let rows = targets.values().map(|target| (&target.id, &target.zone));
        let homes = homes(host, hosts, zone, rows);
        self.router.lock().set_homes(&homes);
        *divided = Some(hosts.to_vec());
    }

    /// Takes the place of an online request in the queue.
    pub fn ticket(&self) -> TicketId {
        self.router.lock().ticket()
    }

    /// Gives up a place in the queue.
    pub fn forget(&self, ticket: TicketId) {
        self.router.lock().forget(ticket);
        self.changed.notify_waiters();
    }

    /// Waits for a target.
    ///
    /// # Errors
    ///
    /// Returns the earliest sensible time to ask again if there is no room in time.
    pub async fn acquire(self: &Arc<Self>, pick: &Pick) -> Result<Granted, Span> {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let (decision, wake) = self.decide(pick);
            match decision {
                Decision::Send { target, lease, yields } => {
                    self.ask_yields(&target, yields);
                    return self.grant(&target, lease).ok_or(MAX_WAIT);
                }
                Decision::Refuse { retry_after } => return Err(retry_after),
                Decision::Wait => {
                    let wait = wake.unwrap_or(MAX_WAIT).min(MAX_WAIT);
                    // Running out of time is as good a reason to ask again as a change.
                    let _ = tokio::time::timeout(wait.to_duration(), changed).await;
                }
            }
        }
    }

    fn ask_yields(&self, target: &TargetId, count: u32) {
        if count == 0 {
            return;
        }
        let holders = self.batch_holders(target);
        let request = YieldRequest { target: target.clone(), count, holders };
        // Without a receiver there are no batch items here.
        let _ = self.yields.send(request);
    }

    /// Own batch items that targets have no room for.
    pub fn batch_excess(&self) -> Vec<BatchExcess> {
        self.router.lock().batch_excess(clock::steady())
    }

    /// Other hosts with batch items at a target, those with most first.
    pub fn batch_holders(&self, target: &TargetId) -> Vec<(HostId, u32)> {
        self.router.lock().batch_holders(target)
    }

    /// A target for a batch item, if there is room now.
    pub fn try_batch(self: &Arc<Self>, pick: &Pick) -> Option<Granted> {
        match self.decide(pick).0 {
            Decision::Send { target, lease, .. } => self.grant(&target, lease),
            Decision::Wait | Decision::Refuse { .. } => None,
        }
    }

    /// Completes when something changed that may have made room.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn decide(&self, pick: &Pick) -> (Decision, Option<Span>) {
        let now = clock::steady();
        let mut router = self.router.lock();
        let decision = router.pick(now, pick);
        let wake = router.next_wake(now).map(|at| at.since(now) + Span(1));
        (decision, wake)
    }

    fn grant(self: &Arc<Self>, target: &TargetId, lease: LeaseId) -> Option<Granted> {
        let Some(target) = self.targets.read().get(target).cloned() else {
            self.observe(lease, Observation::Cancelled);
            return None;
        };
        let seen = self.router.lock().status(&target.id).map(|status| Seen {
            online: status.online,
            batch: status.batch,
            limit: status.limit,
        });
        let seen = seen.unwrap_or_default();
        Some(Granted { pool: Arc::clone(self), lease, ended: false, target, seen })
    }

    fn observe(&self, lease: LeaseId, observation: Observation) {
        self.router.lock().observe(clock::steady(), lease, observation);
        if observation.is_final() {
            self.changed.notify_waiters();
        }
    }

    /// Takes a target's own load report.
    pub fn report(&self, target: &TargetId, load: LoadReport) {
        self.router.lock().report(clock::steady(), target, load);
    }

    /// Takes a peer's counts.
    pub fn peer(&self, host: &HostId, counts: Vec<PeerCount>, sent: Time) {
        self.router.lock().peer(clock::steady(), host, counts, sent);
        self.changed.notify_waiters();
    }

    /// Drops the counts of a peer that is gone.
    pub fn forget_peer(&self, host: &HostId) {
        self.router.lock().forget_peer(clock::steady(), host);
        self.changed.notify_waiters();
    }

    /// This host's own work in flight.
    pub fn counts(&self) -> Vec<PeerCount> {
        self.router.lock().counts()
    }

    /// Number of online requests that wait.
    pub fn waiting(&self) -> u32 {
        self.router.lock().waiting()
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.targets.read().len()
    }

    /// Whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Granted {
    /// Notes something seen on the request.
    pub fn observe(&mut self, observation: Observation) {
        if self.ended {
            return;
        }
        self.ended = observation.is_final();
        self.pool.observe(self.lease, observation);
    }

    /// Notes the load that the target reported.
    pub fn report(&self, load: LoadReport) {
        self.pool.report(&self.target.id, load);
    }
}

impl Drop for Granted {
    fn drop(&mut self) {
        self.observe(Observation::Cancelled);
    }
}

/// The pools of all services.
pub struct Pools {
    host: HostId,
    zone: ZoneId,
    seed: u64,
    capacity: Capacity,
    yields: UnboundedSender<YieldRequest>,
    pools: RwLock<HashMap<ServiceId, Arc<Pool>>>,
}

impl Pools {
    /// No pools yet, and the receiver of the requests to batch to make room.
    #[must_use]
    pub fn new(host: HostId, zone: ZoneId, seed: u64) -> (Self, UnboundedReceiver<YieldRequest>) {
        let (yields, receiver) = mpsc::unbounded_channel();
        let capacity = Capacity::default();
        (Self { host, zone, seed, capacity, yields, pools: RwLock::default() }, receiver)
    }

    /// Follows the list of targets; pools that stay keep what they know.
    pub fn set_fleet(&self, fleet: &Fleet) {
        let mut by_service: HashMap<ServiceId, Vec<TargetEntry>> = HashMap::new();
        for target in fleet.targets() {
            by_service.entry(target.service.clone()).or_default().push(target.clone());
        }
        let mut pools = self.pools.write();
        for service in by_service.keys() {
            pools.entry(service.clone()).or_insert_with(|| Arc::new(self.new_pool()));
        }
        for (service, pool) in pools.iter() {
            pool.set_targets(by_service.remove(service).unwrap_or_default(), self.capacity);
        }
    }

    fn new_pool(&self) -> Pool {
        Pool::new(&self.host, &self.zone, self.seed, self.yields.clone())
    }

    /// The pool of a service.
    pub fn get(&self, service: &ServiceId) -> Option<Arc<Pool>> {
        self.pools.read().get(service).cloned()
    }

    /// All pools with their services.
    pub fn all(&self) -> Vec<(ServiceId, Arc<Pool>)> {
        self.pools.read().iter().map(|(name, pool)| (name.clone(), Arc::clone(pool))).collect()
    }
}

/// A pick for an online request with its place in the queue.
pub(crate) fn online_pick(ticket: TicketId, deadline: Time, exclude: Vec<TargetId>) -> Pick {
    Pick::online(ticket).deadline(deadline).exclude(exclude)
}

/// A pick for a batch item; `near` keeps it in this host's data centre.
#[must_use]
pub fn batch_pick(exclude: Vec<TargetId>, near: bool) -> Pick {
    Pick::of_class(Class::Batch).exclude(exclude).near(near)
}
