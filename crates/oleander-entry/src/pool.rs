//! The targets of one service, behind the router that chooses among them.

use std::{collections::HashMap, sync::Arc};

use oleander_core::{HostId, ServiceId, Span, TargetId, Time, ZoneId};
use oleander_document::{Document, OnlineLimits, Service};
use oleander_host::clock;
use oleander_node::{peer_counts, router_targets, target_counts};
use oleander_peer::TargetCount;
use oleander_routing::{
    Decision, LeaseId, LoadReport, Observation, Pick, Policy, RetryBudget, Router, RouterConfig,
    TargetStatus, TicketId,
};
use parking_lot::{Mutex, RwLock};
use tokio::sync::Notify;

const MAX_WAIT: Span = Span::from_millis(500);

/// The targets of one service.
pub(crate) struct Pool {
    router: Mutex<Router>,
    retries: Mutex<RetryBudget>,
    changed: Notify,
    declared: RwLock<Declared>,
}

#[derive(Debug, Clone)]
struct Declared {
    addresses: HashMap<TargetId, String>,
    limits: OnlineLimits,
}

/// A target that was granted to one request; ends its lease when dropped.
pub(crate) struct Granted {
    pool: Arc<Pool>,
    lease: LeaseId,
    ended: bool,
    /// The target.
    pub(crate) target: TargetId,
    /// Its address.
    pub(crate) address: String,
    /// Batch items that must make room there.
    pub(crate) yields: u32,
}

impl Pool {
    fn new(service: &Service, host: &HostId, zone: &ZoneId, policy: Policy, seed: u64) -> Self {
        let limits = &service.online;
        let config = RouterConfig::new(host.clone(), zone.clone())
            .policy(policy)
            .first_token(limits.first_token)
            .between_tokens(limits.between_tokens)
            .queue_limit(limits.queue_limit);
        let pool = Self {
            router: Mutex::new(Router::new(config, seed)),
            retries: Mutex::new(RetryBudget::new()),
            changed: Notify::new(),
            declared: RwLock::new(declared(service)),
        };
        pool.set_service(service);
        pool
    }

    fn set_service(&self, service: &Service) {
        self.router.lock().set_targets(router_targets(service));
        *self.declared.write() = declared(service);
        self.changed.notify_waiters();
    }

    /// Time that a call may take when its caller names none.
    pub(crate) fn deadline(&self) -> Span {
        self.declared.read().limits.deadline
    }

    /// Names and addresses of the targets.
    pub(crate) fn addresses(&self) -> Vec<(TargetId, String)> {
        let declared = self.declared.read();
        declared.addresses.iter().map(|(name, address)| (name.clone(), address.clone())).collect()
    }

    /// Takes the place of a request in the queue.
    pub(crate) fn ticket(&self) -> TicketId {
        self.router.lock().ticket()
    }

    /// Counts a request towards the retry budget.
    pub(crate) fn count_request(&self) {
        self.retries.lock().record_request(clock::now());
    }

    /// Takes one retry out of the budget.
    pub(crate) fn take_retry(&self) -> bool {
        self.retries.lock().try_withdraw(clock::now())
    }

    /// Waits for a target.
    ///
    /// # Errors
    ///
    /// Returns the earliest sensible time to ask again if there is no room in time.
    pub(crate) async fn acquire(self: &Arc<Self>, pick: &Pick) -> Result<Granted, Span> {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let (decision, wake) = self.decide(pick);
            match decision {
                Decision::Send { target, lease, yields } => {
                    return self.grant(target, lease, yields).ok_or(MAX_WAIT);
                }
                Decision::Refuse { retry_after } => return Err(retry_after),
                Decision::Wait => {
                    let wait = wake.unwrap_or(MAX_WAIT).min(MAX_WAIT);
                    let _ = tokio::time::timeout(wait.to_duration(), changed).await;
                }
            }
        }
    }

    fn decide(&self, pick: &Pick) -> (Decision, Option<Span>) {
        let now = clock::now();
        let mut router = self.router.lock();
        let decision = router.pick(now, pick);
        let wake = router.next_wake(now).map(|at| at.since(now) + Span(1));
        (decision, wake)
    }

    fn grant(self: &Arc<Self>, target: TargetId, lease: LeaseId, yields: u32) -> Option<Granted> {
        let Some(address) = self.declared.read().addresses.get(&target).cloned() else {
            self.observe(lease, Observation::Cancelled);
            return None;
        };
        let pool = Arc::clone(self);
        Some(Granted { pool, lease, ended: false, target, address, yields })
    }

    fn observe(&self, lease: LeaseId, observation: Observation) {
        self.router.lock().observe(clock::now(), lease, observation);
        if observation.is_final() {
            self.changed.notify_waiters();
        }
    }

    /// Gives up a place in the queue.
    pub(crate) fn forget(&self, ticket: TicketId) {
        self.router.lock().cancel_ticket(ticket);
        self.changed.notify_waiters();
    }

    /// Takes a target's own load report.
    pub(crate) fn report(&self, target: &TargetId, load: LoadReport) {
        self.router.lock().update_load(clock::now(), target, load);
        self.changed.notify_waiters();
    }

    /// Takes a peer's counts.
    pub(crate) fn peer(&self, host: &HostId, counts: &[TargetCount], sent: Time) {
        let mut counts = peer_counts(counts);
        counts.retain(|count| self.declared.read().addresses.contains_key(&count.target));
        self.router.lock().update_peer(clock::now(), host, counts, sent);
        self.changed.notify_waiters();
    }

    /// Marks a target as leaving or not.
    pub(crate) fn set_leaving(&self, target: &TargetId, leaving: bool) {
        self.router.lock().set_leaving(target, leaving);
    }

    /// This host's own in-flight work.
    pub(crate) fn counts(&self) -> Vec<TargetCount> {
        target_counts(self.router.lock().counts())
    }

    /// The targets as this host sees them.
    pub(crate) fn snapshot(&self) -> Vec<TargetStatus> {
        self.router.lock().snapshot()
    }
}

fn declared(service: &Service) -> Declared {
    let targets = service.targets.iter();
    let addresses = targets.map(|target| (target.name.clone(), target.address.clone()));
    Declared { addresses: addresses.collect(), limits: service.online.clone() }
}

impl Granted {
    /// Notes something seen on the request.
    pub(crate) fn observe(&mut self, observation: Observation) {
        if self.ended {
            return;
        }
        self.ended = observation.is_final();
        self.pool.observe(self.lease, observation);
    }
}

impl Drop for Granted {
    fn drop(&mut self) {
        self.observe(Observation::Cancelled);
    }
}

/// The pools of all services.
pub(crate) struct Pools {
    host: HostId,
    zone: ZoneId,
    policy: Policy,
    seed: u64,
    pools: RwLock<HashMap<ServiceId, Arc<Pool>>>,
}

impl Pools {
    /// No pools yet.
    pub(crate) fn new(host: HostId, zone: ZoneId, policy: Policy, seed: u64) -> Self {
        Self { host, zone, policy, seed, pools: RwLock::default() }
    }

    /// Follows a document; pools of services that stay keep what they know.
    pub(crate) fn set_document(&self, document: &Document) {
        let mut pools = self.pools.write();
        pools.retain(|name, _| document.service(name.as_str()).is_some());
        for service in &document.services {
            if let Some(pool) = pools.get(&service.name) {
                pool.set_service(service);
                continue;
            }
            let pool = Pool::new(service, &self.host, &self.zone, self.policy, self.seed);
            pools.insert(service.name.clone(), Arc::new(pool));
        }
    }

    /// The pool of a service.
    pub(crate) fn get(&self, service: &ServiceId) -> Option<Arc<Pool>> {
        self.pools.read().get(service).cloned()
    }

    /// All pools.
    pub(crate) fn all(&self) -> Vec<Arc<Pool>> {
        self.pools.read().values().cloned().collect()
    }
}
