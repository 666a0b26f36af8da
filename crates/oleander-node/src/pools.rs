//! The pools of a process, one per service, and the reports about targets that all of them need.

use std::{collections::HashMap, sync::Arc};

use oleander_core::{HostId, ServiceId, TargetId, ZoneId};
use oleander_document::{Document, Service};
use oleander_platform::{HostListing, HostState, Role};
use oleander_routing::{LoadReport, Policy, RouterConfig};
use oleander_target::{EngineLoad, TargetClient};
use parking_lot::RwLock;

/// The targets of one service and the router that selects among them.
pub trait ServicePool: Send + Sync + Sized + 'static {
    /// Whether the process routes to targets of the service.
    fn serves(service: &Service) -> bool;

    /// A pool with the targets of the service.
    fn new(service: &Service, config: RouterConfig, seed: u64) -> Self;

    /// Replaces targets and limits.
    fn set_service(&self, service: &Service);

    /// Names and addresses of the targets.
    fn addresses(&self) -> Vec<(TargetId, String)>;

    /// Passes a target's load report to the router.
    fn update_load(&self, target: &TargetId, load: LoadReport);

    /// Marks a target as leaving or not.
    fn set_leaving(&self, target: &TargetId, leaving: bool);
}

/// The pools of all services that the process routes to.
#[derive(Debug)]
pub struct Pools<P> {
    host: HostId,
    zone: ZoneId,
    policy: Policy,
    seed: u64,
    pools: RwLock<HashMap<ServiceId, Arc<P>>>,
}

impl<P: ServicePool> Pools<P> {
    /// No pools yet.
    #[must_use]
    pub fn new(host: HostId, zone: ZoneId, policy: Policy, seed: u64) -> Self {
        Self { host, zone, policy, seed, pools: RwLock::default() }
    }

    /// Applies a document; the pools of services that it still declares keep their state.
    pub fn set_document(&self, document: &Document) {
        let mut pools = self.pools.write();
        pools.retain(|name, _| document.service(name.as_str()).is_some());
        for service in document.services.iter().filter(|service| P::serves(service)) {
            if let Some(pool) = pools.get(&service.name) {
                pool.set_service(service);
                continue;
            }
            let pool = P::new(service, self.router_config(service), self.seed);
            pools.insert(service.name.clone(), Arc::new(pool));
        }
    }

    fn router_config(&self, service: &Service) -> RouterConfig {
        RouterConfig::new(self.host.clone(), self.zone.clone())
            .policy(self.policy)
            .first_token(service.online.first_token)
            .between_tokens(service.online.between_tokens)
    }

    /// The pool of a service.
    #[must_use]
    pub fn get(&self, service: &ServiceId) -> Option<Arc<P>> {
        self.pools.read().get(service).cloned()
    }

    /// All pools.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<P>> {
        self.pools.read().values().cloned().collect()
    }

    /// Starts to read the load of each target; each report goes to the target's pool.
    pub fn read_loads(&self, client: &TargetClient) {
        for pool in self.all() {
            for (target, address) in pool.addresses() {
                let (client, pool) = (client.clone(), Arc::clone(&pool));
                tokio::spawn(async move {
                    if let Ok(load) = client.read_load(&address).await {
                        pool.update_load(&target, load_report(load));
                    }
                });
            }
        }
    }

    /// Marks the targets in the list of hosts as leaving or not.
    pub fn update_leaving(&self, listing: &HostListing) {
        for pool in self.all() {
            for host in listing.hosts.iter().filter(|host| host.role == Role::Target) {
                if let Ok(target) = host.name.parse() {
                    pool.set_leaving(&target, host.state == HostState::Leaving);
                }
            }
        }
    }
}

const fn load_report(load: EngineLoad) -> LoadReport {
    let EngineLoad { running, waiting, measured_at_us } = load;
    LoadReport { running, waiting, measured_at: measured_at_us }
}
