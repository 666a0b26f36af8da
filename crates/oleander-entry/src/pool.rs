//! The targets of one service and the router that selects among them.

mod quarantine;

use std::{collections::HashMap, sync::Arc};

use oleander_core::{HostId, ServiceId, Span, TargetId, Time};
use oleander_document::{OnlineLimits, Service};
use oleander_host::clock;
use oleander_node::{ServicePool, peer_counts, router_targets, target_addresses, target_counts};
use oleander_peer::TargetCount;
use oleander_quarantine::{Quarantine, RequestParts, Standing, TargetRun};
use oleander_routing::{
    Decision, LeaseId, LoadReport, Observation, Pick, RetryBudget, Router, RouterConfig,
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
    name: ServiceId,
    service: RwLock<ServiceConfig>,
    quarantine: Mutex<Quarantine>,
}

/// Why no target takes a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AcquireError {
    /// None has free capacity in time; the time after which to retry.
    NoCapacity(Span),
    /// Parts of the call crash targets; the time for which such calls are refused.
    Blocked(Span),
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
    run: TargetRun,
    parts: Arc<RequestParts>,
    has_output: bool,
}

impl ServicePool for Pool {
    fn serves(_: &Service) -> bool {
        true
    }

    fn new(service: &Service, config: RouterConfig, seed: u64) -> Self {
        let config = config.queue_limit(service.online.queue_limit);
        let pool = Self {
            router: Mutex::new(Router::new(config, seed)),
            retries: Mutex::new(RetryBudget::new()),
            changed: Notify::new(),
            name: service.name.clone(),
            quarantine: Mutex::default(),
            service: RwLock::new(ServiceConfig::from(service)),
        };
        pool.set_service(service);
        pool
    }

    fn set_service(&self, service: &Service) {
        self.router.lock().set_targets(router_targets(service));
        *self.service.write() = ServiceConfig::from(service);
        self.changed.notify_waiters();
    }

    fn addresses(&self) -> Vec<(TargetId, String)> {
        let service = self.service.read();
        service.addresses.iter().map(|(name, address)| (name.clone(), address.clone())).collect()
    }

    fn update_load(&self, target: &TargetId, load: LoadReport) {
        self.router.lock().update_load(clock::now(), target, load);
        self.changed.notify_waiters();
    }

    fn set_leaving(&self, target: &TargetId, leaving: bool) {
        self.router.lock().set_leaving(target, leaving);
    }
}

impl Pool {
    /// Time allowed for a call without a deadline of its own.
    pub(crate) fn default_deadline(&self) -> Span {
        self.service.read().limits.deadline
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

    /// Waits until the router selects a target for a call with these parts.
    ///
    /// # Errors
    ///
    /// Fails if no target has free capacity in time, or if the parts are blocked.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        pick: &Pick,
        parts: &Arc<RequestParts>,
    ) -> Result<TargetLease, AcquireError> {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let standing = self.quarantine.lock().standing(clock::steady(), parts);
            if let Standing::Blocked { remaining, .. } = standing {
                return Err(AcquireError::Blocked(remaining));
            }
            let (decision, wake) = self.decide(&self.restrict(pick, &standing));
            match decision {
                Decision::Send { target, lease, yields } => {
                    let lease = self.grant(target, lease, yields, parts);
                    return lease.ok_or(AcquireError::NoCapacity(MAX_WAIT));
                }
                Decision::Refuse { retry_after } => {
                    return Err(AcquireError::NoCapacity(retry_after));
                }
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
        parts: &Arc<RequestParts>,
    ) -> Option<TargetLease> {
        let Some(address) = self.service.read().addresses.get(&target).cloned() else {
            self.observe(lease, Observation::Cancelled);
            return None;
        };
        let (pool, parts) = (Arc::clone(self), Arc::clone(parts));
        let run = self.quarantine.lock().present_run(clock::steady(), &target);
        Some(TargetLease {
            pool,
            id: lease,
            ended: false,
            target,
            address,
            yields,
            run,
            parts,
            has_output: false,
        })
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

    /// Passes a peer's in-flight counts to the router.
    pub(crate) fn update_peer(&self, host: &HostId, counts: &[TargetCount], sent_at: Time) {
        let mut counts = peer_counts(counts);
        counts.retain(|count| self.service.read().addresses.contains_key(&count.target));
        self.router.lock().update_peer(clock::now(), host, counts, sent_at);
        self.changed.notify_waiters();
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

impl From<&Service> for ServiceConfig {
    fn from(service: &Service) -> Self {
        Self { addresses: target_addresses(service), limits: service.online.clone() }
    }
}

impl TargetLease {
    /// Passes an observation about the request to the router.
    pub(crate) fn observe(&mut self, observation: Observation) {
        if self.ended {
            return;
        }
        if !self.has_output && matches!(observation, Observation::FirstOutput | Observation::Done) {
            self.has_output = true;
            self.pool.record_output(&self.parts);
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
