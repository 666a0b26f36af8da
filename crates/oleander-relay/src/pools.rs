//! The pools of all services.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use oleander_core::{HostId, ServiceId, Span, Time, ZoneId, hash};
use oleander_host::clock;
use oleander_quarantine::{QuarantineNews, TargetRun};
use parking_lot::{Mutex, RwLock};
use tokio::sync::{
    Notify,
    mpsc::{self, UnboundedReceiver, UnboundedSender},
};

use crate::{
    host::{Helper, HelperUse},
    list_time::ListTime,
    pool::{Pool, YieldRequest},
    streams::StreamVersions,
    target_list::{TargetEntry, TargetList},
    version::SoftwareVersion,
};

/// Maximum number of reported crashes that wait to be verified; reports beyond it count unverified.
const MAX_REPORTS: usize = 64;

/// The pools of all services.
pub struct Pools {
    /// The streams of all services, by their software version.
    pub streams: StreamVersions,
    list_time: Arc<ListTime>,
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
    /// Signals that links may have to be checked.
    link_failed: Arc<Notify>,
    /// Signals that this host has lost its links to a service, or has them again.
    link_changed: Notify,
    helpers: RwLock<Vec<Helper>>,
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
        let list_time = Arc::new(ListTime::default());
        let streams = StreamVersions::new(Arc::clone(&list_time));
        let (pools, news) = (RwLock::default(), Arc::new(Notify::new()));
        let pools = Self {
            streams,
            list_time,
            host,
            zone,
            seed,
            yields,
            pools,
            news,
            reports: Mutex::default(),
            reported: Notify::new(),
            link_failed: Arc::default(),
            link_changed: Notify::new(),
            helpers: RwLock::default(),
        };
        (pools, receiver)
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

    /// Records that a read of the platform which began at `began` has confirmed the list of targets.
    pub(crate) fn record_list_time(&self, began: Time) {
        self.list_time.record(began);
    }

    fn new_pool(&self) -> Pool {
        let (yields, news) = (self.yields.clone(), Arc::clone(&self.news));
        let link_failed = Arc::clone(&self.link_failed);
        let list_time = Arc::clone(&self.list_time);
        Pool::new(&self.host, &self.zone, self.seed, yields, news, link_failed, list_time)
    }

    /// Completes when links may have to be checked.
    pub(crate) async fn link_failed(&self) {
        self.link_failed.notified().await;
    }

    /// Signals that this host has lost its links to a service, or has them again.
    pub(crate) fn signal_link_change(&self) {
        self.link_changed.notify_one();
    }

    /// Completes when this host has lost its links to a service, or has them again.
    pub async fn link_changed(&self) {
        self.link_changed.notified().await;
    }

    /// The services whose targets this host does not reach.
    pub fn disconnected(&self) -> Vec<ServiceId> {
        let pools = self.pools.read();
        let disconnected = pools.iter().filter(|(_, pool)| pool.is_disconnected());
        disconnected.map(|(service, _)| service.clone()).collect()
    }

    /// The services with targets.
    pub fn services(&self) -> Vec<ServiceId> {
        let pools = self.pools.read();
        let used = pools.iter().filter(|(_, pool)| !pool.is_empty());
        used.map(|(service, _)| service.clone()).collect()
    }

    /// Whether this host reaches no target of any service.
    pub fn is_disconnected(&self) -> bool {
        let pools = self.pools.read();
        let mut used = pools.values().filter(|pool| !pool.is_empty()).peekable();
        used.peek().is_some() && used.all(|pool| pool.is_disconnected())
    }

    /// Replaces the hosts that may reach targets; those that are known keep their requests.
    pub fn set_helpers(&self, helpers: Vec<Helper>) {
        let mut current = self.helpers.write();
        let known = |helper: Helper| {
            let known =
                current.iter().find(|one| one.host == helper.host && one.address == helper.address);
            match known {
                Some(known) => helper.replacing(known),
                None => helper,
            }
        };
        let helpers = helpers.into_iter().map(known).collect();
        *current = helpers;
    }

    /// Whether another host is known that takes requests.
    pub(crate) fn has_helpers(&self) -> bool {
        !self.helpers.read().is_empty()
    }

    /// The host outside `tried` that reaches targets of a service and has the fewest requests of
    /// this one; ties go to this data centre, then by hash of `request`.
    pub(crate) fn choose_helper(
        &self,
        service: &ServiceId,
        tried: &[HostId],
        request: &str,
    ) -> Option<HelperUse> {
        let helpers = self.helpers.read();
        let reaching = helpers.iter().filter(|helper| helper.reaches(service));
        let untried = reaching.filter(|helper| !tried.contains(&helper.host));
        let order = |helper: &&Helper| {
            let place = hash::hash_parts(&[request, helper.host.as_str()]);
            (helper.load(), helper.zone != self.zone, place)
        };
        untried.min_by_key(order).cloned().map(HelperUse::new)
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
        let mut waiting = self.reports.lock();
        let room = MAX_REPORTS.saturating_sub(waiting.len());
        waiting.extend(reports.take(room));
        drop(waiting);
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
    entries.iter().map(|entry| entry.age(wall_now)).min().unwrap_or_default()
}
