//! The pools of all services.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use oleander_core::{HostId, ServiceId, Span, Time, ZoneId};
use oleander_host::clock;
use oleander_quarantine::{QuarantineNews, TargetRun};
use parking_lot::{Mutex, RwLock};
use tokio::sync::{
    Notify,
    mpsc::{self, UnboundedReceiver, UnboundedSender},
};

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
    /// Signals that other hosts have something to learn of crashes.
    news: Arc<Notify>,
    /// Crashes that other hosts reported last.
    reports: Mutex<Vec<CrashReport>>,
    reported: Notify,
}

/// A crash that another host reports.
pub(crate) struct CrashReport {
    pub(crate) pool: Arc<Pool>,
    pub(crate) run: TargetRun,
    pub(crate) target: TargetEntry,
}

impl Pools {
    /// Creates an empty set of pools, and the receiver of their yield requests.
    #[must_use]
    pub fn new(host: HostId, zone: ZoneId, seed: u64) -> (Self, UnboundedReceiver<YieldRequest>) {
        let (yields, receiver) = mpsc::unbounded_channel();
        let streams = StreamVersions::default();
        let (pools, news) = (RwLock::default(), Arc::new(Notify::new()));
        let (reports, reported) = (Mutex::default(), Notify::new());
        (Self { streams, host, zone, seed, yields, pools, news, reports, reported }, receiver)
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
        let (yields, news) = (self.yields.clone(), Arc::clone(&self.news));
        Pool::new(&self.host, &self.zone, self.seed, yields, news)
    }

    /// Applies what another host knows of crashes at the targets of a service.
    pub fn merge_quarantine(&self, service: &ServiceId, news: QuarantineNews) {
        let mut pools = self.pools.write();
        let pool = pools.entry(service.clone()).or_insert_with(|| Arc::new(self.new_pool()));
        let pool = Arc::clone(pool);
        drop(pools);
        let reported = pool.quarantine.merge(news);
        let reports = reported.into_iter().filter_map(|run| {
            let target = pool.target(&run.target)?;
            Some(CrashReport { pool: Arc::clone(&pool), run, target })
        });
        self.reports.lock().extend(reports);
        self.reported.notify_one();
    }

    /// Waits for crashes that other hosts report.
    pub(crate) async fn crash_reports(&self) -> Vec<CrashReport> {
        loop {
            let reports = std::mem::take(&mut *self.reports.lock());
            if !reports.is_empty() {
                return reports;
            }
            self.reported.notified().await;
        }
    }

    /// Completes when other hosts may have something to learn of crashes.
    pub async fn quarantine_changed(&self) {
        self.news.notified().await;
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
