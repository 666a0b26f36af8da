//! The targets of one service and the router that selects among them.

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

/// Maximum time between two decisions of the router about a queued request, and the retry time if
/// the selected target was removed meanwhile.
const MAX_WAIT: Span = Span::from_millis(500);

/// The targets of one service.
pub(crate) struct Pool {
    router: Mutex<Router>,
    retries: Mutex<RetryBudget>,
    changed: Notify,
    service: RwLock<ServiceConfig>,
}

#[derive(Debug, Clone)]
struct ServiceConfig {
    addresses: HashMap<TargetId, String>,
    limits: OnlineLimits,
}

/// A target selected for one request; dropping it ends the router's lease.
pub(crate) struct TargetLease {
    pool: Arc<Pool>,
    id: LeaseId,
    ended: bool,
    /// The target.
    pub(crate) target: TargetId,
    /// Address of the target.
    pub(crate) address: String,
    /// Number of batch items that must yield at the target.
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
            service: RwLock::new(service_config(service)),
        };
        pool.set_service(service);
        pool
    }

    fn set_service(&self, service: &Service) {
        self.router.lock().set_targets(router_targets(service));
        *self.service.write() = service_config(service);
        self.changed.notify_waiters();
    }

    /// Time allowed for a call without a deadline of its own.
    pub(crate) fn default_deadline(&self) -> Span {
        self.service.read().limits.deadline
    }

    /// Names and addresses of the targets.
    pub(crate) fn addresses(&self) -> Vec<(TargetId, String)> {
        let service = self.service.read();
        service.addresses.iter().map(|(name, address)| (name.clone(), address.clone())).collect()
    }

    /// A new ticket for a request in the router's queue.
    pub(crate) fn ticket(&self) -> TicketId {
        self.router.lock().ticket()
    }

    /// Counts a request towards the retry budget.
    pub(crate) fn record_request(&self) {
        self.retries.lock().record_request(clock::now());
    }

    /// Withdraws one retry from the budget; false if it is used up.
    pub(crate) fn try_withdraw_retry(&self) -> bool {
        self.retries.lock().try_withdraw(clock::now())
    }

    /// Waits until the router selects a target.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry if no target has free capacity in time.
    pub(crate) async fn acquire(self: &Arc<Self>, pick: &Pick) -> Result<TargetLease, Span> {
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

    fn grant(
        self: &Arc<Self>,
        target: TargetId,
        lease: LeaseId,
        yields: u32,
    ) -> Option<TargetLease> {
        let Some(address) = self.service.read().addresses.get(&target).cloned() else {
            self.observe(lease, Observation::Cancelled);
            return None;
        };
        let pool = Arc::clone(self);
        Some(TargetLease { pool, id: lease, ended: false, target, address, yields })
    }

    fn observe(&self, lease: LeaseId, observation: Observation) {
        self.router.lock().observe(clock::now(), lease, observation);
        if observation.is_final() {
            self.changed.notify_waiters();
        }
    }

    /// Removes a request from the router's queue.
    pub(crate) fn cancel_ticket(&self, ticket: TicketId) {
        self.router.lock().cancel_ticket(ticket);
        self.changed.notify_waiters();
    }

    /// Passes a target's load report to the router.
    pub(crate) fn update_load(&self, target: &TargetId, load: LoadReport) {
        self.router.lock().update_load(clock::now(), target, load);
        self.changed.notify_waiters();
    }

    /// Passes a peer's in-flight counts to the router.
    pub(crate) fn update_peer(&self, host: &HostId, counts: &[TargetCount], sent_at: Time) {
        let mut counts = peer_counts(counts);
        counts.retain(|count| self.service.read().addresses.contains_key(&count.target));
        self.router.lock().update_peer(clock::now(), host, counts, sent_at);
        self.changed.notify_waiters();
    }

    /// Marks a target as leaving or not.
    pub(crate) fn set_leaving(&self, target: &TargetId, leaving: bool) {
        self.router.lock().set_leaving(target, leaving);
    }

    /// In-flight requests of this host by target.
    pub(crate) fn counts(&self) -> Vec<TargetCount> {
        target_counts(self.router.lock().counts())
    }

    /// State of the targets in this host's router.
    pub(crate) fn snapshot(&self) -> Vec<TargetStatus> {
        self.router.lock().snapshot()
    }
}

fn service_config(service: &Service) -> ServiceConfig {
    let targets = service.targets.iter();
    let addresses = targets.map(|target| (target.name.clone(), target.address.clone()));
    ServiceConfig { addresses: addresses.collect(), limits: service.online.clone() }
}

impl TargetLease {
    /// Passes an observation about the request to the router.
    pub(crate) fn observe(&mut self, observation: Observation) {
        if self.ended {
            return;
        }
        self.ended = observation.is_final();
        self.pool.observe(self.id, observation);
    }
}

impl Drop for TargetLease {
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

    /// Applies a document; the pools of services that it still declares keep their state.
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
