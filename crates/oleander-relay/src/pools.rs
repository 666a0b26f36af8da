//! The pools of all services.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use oleander_core::{HostId, ServiceId, Span, Time, ZoneId};
use oleander_host::clock;
use parking_lot::RwLock;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

use crate::{
    pool::{Pool, YieldRequest},
    streams::StreamVersions,
    target_list::{TargetEntry, TargetList},
    version::SoftwareVersion,
};

/// The pools of all services.
pub struct Pools {
    /// The streams of all services, by their software version.
    pub streams: StreamVersions,
    host: HostId,
    zone: ZoneId,
    seed: u64,
    yields: UnboundedSender<YieldRequest>,
    pools: RwLock<HashMap<ServiceId, Arc<Pool>>>,
}

impl Pools {
    /// Creates an empty set of pools, and the receiver of their yield requests.
    #[must_use]
    pub fn new(host: HostId, zone: ZoneId, seed: u64) -> (Self, UnboundedReceiver<YieldRequest>) {
        let (yields, receiver) = mpsc::unbounded_channel();
        let streams = StreamVersions::default();
        (Self { streams, host, zone, seed, yields, pools: RwLock::default() }, receiver)
    }

    /// Updates the targets of all pools; existing pools keep their state.
    pub fn update_targets(&self, list: &TargetList) {
        let mut by_service: HashMap<ServiceId, Vec<TargetEntry>> = HashMap::new();
        for target in list.targets() {
            by_service.entry(target.service.clone()).or_default().push(target.clone());
        }
        let mut pools = self.pools.write();
        for service in by_service.keys() {
            pools.entry(service.clone()).or_insert_with(|| Arc::new(self.new_pool()));
        }
        for (service, pool) in pools.iter() {
            let entries = by_service.remove(service).unwrap_or_default();
            let versions: BTreeSet<SoftwareVersion> =
                entries.iter().map(|entry| entry.version.clone()).collect();
            self.streams.set_listed(service, versions, youngest_age(clock::now(), &entries));
            pool.set_targets(entries);
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

/// Time since the last start of a target; zero if one does not state its start.
fn youngest_age(wall_now: Time, entries: &[TargetEntry]) -> Span {
    let starts = entries.iter().map(|entry| entry.started_at.map(|millis| millis * 1_000));
    let last = starts.collect::<Option<Vec<_>>>().and_then(|starts| starts.into_iter().max());
    last.map_or(Span::ZERO, |last| wall_now.since(Time(last)))
}
