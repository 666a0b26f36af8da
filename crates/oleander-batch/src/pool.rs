//! The targets of one service and the router that selects among them.

use std::collections::HashMap;

use oleander_core::{HostId, TargetId, Time};
use oleander_document::{BatchLimits, Service, ServiceKind};
use oleander_host::clock;
use oleander_node::{ServicePool, peer_counts, router_targets, target_addresses, target_counts};
use oleander_peer::TargetCount;
use oleander_routing::{
    BatchExcess, Decision, LeaseId, LoadReport, Observation, Pick, Router, RouterConfig,
    TargetState, TargetStatus,
};
use parking_lot::{Mutex, RwLock};

/// The targets of one service.
pub(crate) struct Pool {
    router: Mutex<Router>,
    service: RwLock<ServiceConfig>,
}

#[derive(Debug, Clone)]
struct ServiceConfig {
    addresses: HashMap<TargetId, String>,
    batch: BatchLimits,
}

/// A target selected for one run.
///
/// The holder ends the router's lease by one final observation.
#[derive(Debug, Clone)]
pub(crate) struct TargetLease {
    /// The target.
    pub(crate) target: TargetId,
    /// Address of the target.
    pub(crate) address: String,
    /// Id of the router's lease.
    pub(crate) id: LeaseId,
}

impl ServicePool for Pool {
    fn serves(service: &Service) -> bool {
        matches!(service.kind, ServiceKind::Engine { .. })
    }

    fn new(service: &Service, config: RouterConfig, seed: u64) -> Self {
        let router = Mutex::new(Router::new(config, seed));
        let pool = Self { router, service: RwLock::new(ServiceConfig::from(service)) };
        pool.set_service(service);
        pool
    }

    fn set_service(&self, service: &Service) {
        self.router.lock().set_targets(router_targets(service));
        *self.service.write() = ServiceConfig::from(service);
    }

    fn addresses(&self) -> Vec<(TargetId, String)> {
        let service = self.service.read();
        service.addresses.iter().map(|(name, address)| (name.clone(), address.clone())).collect()
    }

    fn update_load(&self, target: &TargetId, load: LoadReport) {
        self.router.lock().update_load(clock::now(), target, load);
    }

    fn set_leaving(&self, target: &TargetId, leaving: bool) {
        self.router.lock().set_leaving(target, leaving);
    }
}

impl Pool {
    /// Limits of batch items.
    pub(crate) fn limits(&self) -> BatchLimits {
        self.service.read().batch.clone()
    }

    /// Selects a target; `None` if none has free capacity now.
    pub(crate) fn pick(&self, now: Time, pick: &Pick) -> Option<TargetLease> {
        let Decision::Send { target, lease, .. } = self.router.lock().pick(now, pick) else {
            return None;
        };
        let Some(address) = self.service.read().addresses.get(&target).cloned() else {
            self.observe(lease, Observation::Cancelled);
            return None;
        };
        Some(TargetLease { target, address, id: lease })
    }

    /// Passes an observation about a run to the router.
    pub(crate) fn observe(&self, lease: LeaseId, observation: Observation) {
        self.router.lock().observe(clock::now(), lease, observation);
    }

    /// Passes a peer's in-flight counts to the router.
    pub(crate) fn update_peer(&self, peer: &HostId, counts: &[TargetCount], sent_at: Time) {
        self.router.lock().update_peer(clock::now(), peer, peer_counts(counts), sent_at);
    }

    /// In-flight items of this host by target.
    pub(crate) fn counts(&self) -> Vec<TargetCount> {
        target_counts(self.router.lock().counts())
    }

    /// Items of this host beyond the capacity of their targets.
    pub(crate) fn excess(&self) -> Vec<BatchExcess> {
        self.router.lock().batch_excess(clock::now())
    }

    /// Targets that accept new items.
    pub(crate) fn ready_targets(&self) -> Vec<TargetId> {
        let all = self.snapshot().into_iter();
        all.filter(|row| row.state == TargetState::Ready).map(|row| row.name).collect()
    }

    /// State of the targets in this host's router.
    pub(crate) fn snapshot(&self) -> Vec<TargetStatus> {
        self.router.lock().snapshot()
    }
}

impl From<&Service> for ServiceConfig {
    fn from(service: &Service) -> Self {
        Self { addresses: target_addresses(service), batch: service.batch.clone() }
    }
}
