//! The targets of one service, behind the router that selects among them.

mod acquire;
mod doubts;
mod error;
mod leaving;
mod limits;
mod links;
mod restrict;

use std::{collections::HashMap, sync::Arc};

use oleander_core::{HostId, Span, TargetId, Time, ZoneId};
use oleander_host::clock;
use oleander_quarantine::{RequestParts, TargetRun};
use oleander_routing::{
    BatchExcess, Class, Decision, LeaseId, LoadReport, Observation, PeerCount, Pick, Router,
    RouterConfig, Target, TicketId, preferred_targets,
};
use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, mpsc::UnboundedSender};

pub use self::error::AcquireError;
use self::{doubts::DoubtedRuns, leaving::LeavingRuns};
use crate::{
    lease::{TargetLease, TargetLoad},
    links::Links,
    list_time::ListTime,
    quarantine::SharedQuarantine,
    rates::TargetRates,
    target_list::TargetEntry,
    version::SoftwareVersion,
};

/// Maximum wait before the router is asked again.
const MAX_WAIT: Span = Span::from_millis(500);
/// Cost of a target in another data centre, in per mille of its slots: the traffic between data
/// centres costs as much as about two more requests in flight.
const ZONE_COST_PER_MILLE: u32 = 250;
/// Targets that are compared for each selection. Since each host has its own preferred targets,
/// comparing all of them does not make hosts select the same one.
const DRAWS: u32 = 64;
/// Time for which a target's load report is valid; each response brings a new one.
const REPORT_TTL: Span = Span::from_millis(400);
/// Time for which the counts of a peer are valid.
const PEER_TTL: Span = Span::from_millis(1_500);
/// Requests wait until their own deadlines.
const MAX_QUEUE_TIME: Span = Span(u64::MAX);
/// Time to the first event above which a target's limit is lowered; only a target that barely
/// responds is slower.
const FIRST_TOKEN_LIMIT: Span = Span::from_secs(5);

/// Which software versions of the targets may take a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum VersionChoice {
    /// All.
    Any,
    /// Those that all hosts know of, if there are any: for a new stream.
    Established,
    /// The version that began a stream.
    Only(SoftwareVersion),
}

/// A request to preempt batch items so that online requests fit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct YieldRequest {
    /// Target of the items.
    pub target: TargetId,
    /// Number of items to preempt.
    pub count: u32,
    /// Other hosts with items at the target, most items first.
    pub holders: Vec<(HostId, u32)>,
}

/// The targets of one service.
pub struct Pool {
    /// What is known of requests that crash targets.
    pub quarantine: SharedQuarantine,
    yields: UnboundedSender<YieldRequest>,
    router: Mutex<Router>,
    targets: RwLock<HashMap<TargetId, TargetEntry>>,
    /// When each listed version was first listed.
    versions: Mutex<HashMap<SoftwareVersion, Time>>,
    /// Hosts for which preferred targets are assigned; `None` after a change of the targets.
    assigned: Mutex<Option<Vec<HostId>>>,
    /// This host.
    host: HostId,
    rates: Mutex<TargetRates>,
    links: Mutex<Links>,
    /// Signals that links have been checked.
    links_checked: Notify,
    /// Runs of targets that have said that they are about to stop.
    leaving: Mutex<LeavingRuns>,
    /// Runs whose connections have failed.
    doubts: Mutex<DoubtedRuns>,
    /// Signals that links may have to be checked.
    link_failed: Arc<Notify>,
    /// The age of the list.
    list_time: Arc<ListTime>,
    changed: Arc<Notify>,
}

impl Pool {
    pub(crate) fn new(
        host: &HostId,
        zone: &ZoneId,
        seed: u64,
        yields: UnboundedSender<YieldRequest>,
        news: Arc<Notify>,
        link_failed: Arc<Notify>,
        list_time: Arc<ListTime>,
    ) -> Self {
        let changed = Arc::new(Notify::new());
        let config = RouterConfig::new(host.clone(), zone.clone())
            .zone_cost(ZONE_COST_PER_MILLE)
            .draws(DRAWS)
            .report_ttl(REPORT_TTL)
            .peer_ttl(PEER_TTL)
            .max_wait(MAX_QUEUE_TIME)
            .first_token(FIRST_TOKEN_LIMIT);
        Self {
            quarantine: SharedQuarantine::new(Arc::clone(&changed), news),
            yields,
            router: Mutex::new(Router::new(config, seed)),
            targets: RwLock::default(),
            versions: Mutex::default(),
            assigned: Mutex::default(),
            host: host.clone(),
            rates: Mutex::default(),
            links: Mutex::default(),
            links_checked: Notify::new(),
            leaving: Mutex::default(),
            doubts: Mutex::default(),
            link_failed,
            list_time,
            changed,
        }
    }

    pub(crate) fn set_targets(&self, mut entries: Vec<TargetEntry>) {
        self.leaving.lock().mark(clock::steady(), &mut entries);
        let mut router = self.router.lock();
        router.set_targets(entries.iter().map(limits).collect());
        for entry in &entries {
            router.set_leaving(&entry.id, entry.leaving);
        }
        drop(router);
        self.set_versions(&entries);
        self.record_replaced(&entries);
        self.doubts.lock().retain_listed(&entries);
        let entries = entries.into_iter().map(|entry| (entry.id.clone(), entry));
        *self.targets.write() = entries.collect();
        *self.assigned.lock() = None;
        self.update_rates();
        self.changed.notify_waiters();
    }

    /// Records the crashes that a new list shows: runs that others have followed.
    fn record_replaced(&self, entries: &[TargetEntry]) {
        let targets = self.targets.read();
        let running = targets.values().filter(|target| !target.leaving);
        let replaced = running.filter(|old| entries.iter().any(|new| new.follows(old)));
        for run in replaced.map(TargetEntry::run) {
            if self.quarantine.record_replaced(&run) {
                log::info!(target:% = run.target; "target has crashed, by the list");
            }
        }
    }

    /// Records since when the versions are listed. The first list does not tell; of several versions
    /// there, each is taken for as old as its first target.
    fn set_versions(&self, entries: &[TargetEntry]) {
        let (now, wall_now) = (clock::steady(), clock::now());
        let mut versions = self.versions.lock();
        versions.retain(|version, _| entries.iter().any(|entry| entry.version == *version));
        if versions.is_empty() {
            *versions = first_versions(now, wall_now, entries);
        }
        for entry in entries {
            versions.entry(entry.version.clone()).or_insert(now);
        }
    }

    /// Assigns this host its preferred targets in its data centre, if the targets or `hosts`
    /// changed.
    pub fn assign_preferred(&self, host: &HostId, zone: &ZoneId, hosts: &[HostId]) {
        let mut assigned = self.assigned.lock();
        if assigned.as_deref() == Some(hosts) {
            return;
        }
        let rates = self.rates.lock();
        let targets = self.targets.read();
        let local = targets.values().filter(|target| target.zone == *zone);
        let (limited, unlimited): (Vec<_>, Vec<_>) =
            local.partition(|target| rates.names_rate(&target.run()));
        let rows = unlimited.iter().map(|target| (&target.id, &target.zone));
        let mut preferred = preferred_targets(host, hosts, zone, rows);
        if !limited.is_empty() && unlimited.len() < hosts.len() {
            // A host without a preferred target would only get what the others leave.
            preferred.clear();
        }
        self.router.lock().set_preferred(&preferred);
        *assigned = Some(hosts.to_vec());
    }

    /// Takes a queue ticket for an online request.
    pub fn ticket(&self) -> TicketId {
        self.router.lock().ticket()
    }

    /// Releases a queue ticket.
    pub fn release_ticket(&self, ticket: TicketId) {
        self.router.lock().cancel_ticket(ticket);
        self.changed.notify_waiters();
    }

    fn request_yields(&self, target: &TargetId, count: u32) {
        if count == 0 {
            return;
        }
        let holders = self.batch_holders(target);
        let request = YieldRequest { target: target.clone(), count, holders };
        // This host runs no batch items if the receiver is gone.
        let _ = self.yields.send(request);
    }

    /// This host's batch items that exceed the capacity of their targets.
    pub fn batch_excess(&self) -> Vec<BatchExcess> {
        self.router.lock().batch_excess(clock::steady())
    }

    /// Other hosts with batch items at a target, most items first.
    pub fn batch_holders(&self, target: &TargetId) -> Vec<(HostId, u32)> {
        self.router.lock().batch_holders(target)
    }

    /// A target of the service.
    pub(crate) fn target(&self, id: &TargetId) -> Option<TargetEntry> {
        self.targets.read().get(id).cloned()
    }

    /// Whether a target of this version takes requests.
    pub fn serves_version(&self, version: &SoftwareVersion) -> bool {
        let targets = self.targets.read();
        targets.values().any(|target| target.version == *version && !target.leaving)
    }

    /// All targets but one.
    pub(crate) fn all_but(&self, target: &TargetId) -> Vec<TargetId> {
        self.targets.read().keys().filter(|id| *id != target).cloned().collect()
    }

    /// Completes on a change that may have freed capacity.
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

    fn create_lease(
        self: &Arc<Self>,
        target: &TargetId,
        lease: LeaseId,
        parts: &Arc<RequestParts>,
    ) -> Option<TargetLease> {
        let Some(mut target) = self.targets.read().get(target).cloned() else {
            self.observe(lease, Observation::Cancelled);
            return None;
        };
        if self.may_have_ended(&target) {
            target.version = SoftwareVersion::unlisted(&target.run());
        }
        let load = self.router.lock().status(&target.id).map(|status| TargetLoad {
            online: status.online,
            batch: status.batch,
            limit: status.limit,
        });
        let load = load.unwrap_or_default();
        let run = self.quarantine.run_after(&target.run());
        let (pool, parts) = (Arc::clone(self), Arc::clone(parts));
        Some(TargetLease {
            pool,
            id: lease,
            ended: false,
            parts,
            sent: clock::steady(),
            rate_limit: None,
            has_output: false,
            broke_off: false,
            class: Class::Online,
            is_refused: false,
            alone: None,
            run,
            target,
            load,
        })
    }

    /// Records that the process of a target has ended without notice.
    pub(crate) fn record_crash(&self, run: &TargetRun) {
        if self.quarantine.record_crash(run) {
            let suspects = self.quarantine.suspects(run);
            log::info!(target:% = run.target, started:? = run.started, suspects:? = suspects;
                "target has crashed");
            metrics::counter!("target_crashes_total").increment(1);
            self.changed.notify_waiters();
        }
    }

    pub(crate) fn observe(&self, lease: LeaseId, observation: Observation) {
        self.router.lock().observe(clock::steady(), lease, observation);
        if observation.is_final() {
            self.changed.notify_waiters();
        }
    }

    /// Updates the load that a target reported.
    pub fn update_load(&self, target: &TargetId, load: LoadReport) {
        self.router.lock().update_load(clock::steady(), target, load);
    }

    /// Updates the work in flight of a peer.
    pub fn update_peer(&self, host: &HostId, counts: Vec<PeerCount>, sent_at: Time) {
        self.router.lock().update_peer(clock::steady(), host, counts, sent_at);
        self.changed.notify_waiters();
    }

    /// Removes the counts of a peer that has stopped.
    pub fn remove_peer(&self, host: &HostId) {
        self.router.lock().remove_peer(clock::steady(), host);
        self.changed.notify_waiters();
    }

    /// This host's work in flight by target.
    pub fn counts(&self) -> Vec<PeerCount> {
        self.router.lock().counts()
    }

    /// Expected time that an online request holds its slot.
    pub fn service_time(&self) -> Span {
        self.router.lock().service_time()
    }

    /// Number of waiting online requests.
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

/// Router settings of a listed target.
///
/// Engines admit requests in order of arrival, so requests that queue there can't be reordered; no
/// more are sent than run at once. Batch items may take every slot: an item that yields leaves its
/// slot within a step of the engine, and goes on elsewhere where it stopped.
fn limits(entry: &TargetEntry) -> Target {
    let (name, zone) = (entry.id.clone(), entry.zone.clone());
    Target { name, zone, limit: entry.slots.max(1), reserve: 0 }
}

/// Creates the pick of a batch item; `same_zone` keeps it in this host's data centre.
#[must_use]
pub fn batch_pick(exclude: Vec<TargetId>, same_zone: bool) -> Pick {
    Pick::of_class(Class::Batch).exclude(exclude).same_zone(same_zone)
}

/// Since when the versions of a first list are assumed to be listed.
fn first_versions(
    now: Time,
    wall_now: Time,
    entries: &[TargetEntry],
) -> HashMap<SoftwareVersion, Time> {
    let mut versions = HashMap::new();
    for entry in entries {
        let since = Time(now.0.saturating_sub(entry.age(wall_now).0));
        let known = versions.entry(entry.version.clone()).or_insert(since);
        *known = since.min(*known);
    }
    if versions.len() == 1 {
        versions.values_mut().for_each(|since| *since = Time(0));
    }
    versions
}
