//! Dispatch of waiting items to targets.

use std::{sync::Arc, time::Duration};

use oleander_core::{Span, TargetId, Time};
use oleander_host::clock;
use oleander_platform::ObjectStore;
use oleander_quarantine::RequestParts;
use oleander_relay::{Pool, RouteTable, TargetLease, TargetTransport, VersionChoice, batch_pick};
use tokio::time;

use crate::{
    guard::RunGuard,
    item::Item,
    job::NextItem,
    manager::{JobManager, LoadedJob},
    placement::{Avoidance, SlotNeed, UnmetNeeds},
};

/// Time between two checks for free slots while items wait or run.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(40);
/// Time for which an item waits for a target of the version that wrote its output; then it starts
/// again at any.
const VERSION_WAIT: Span = Span::from_secs(3);

/// Result of placing the next item of a job.
enum Placement {
    /// An item was started.
    Placed,
    /// No item of the job can start now.
    Blocked,
}

/// Why an item does not start now.
enum Unplaced {
    /// No target takes it.
    Waiting,
    /// A slot is free, but no item of the job may start before its lease is renewed.
    NeedsLease,
}

/// What holds for all items of a job while one of them is placed.
struct Conditions {
    now: Time,
    table: Arc<RouteTable>,
    /// Whether the lease of the job allows items to start.
    may_start: bool,
    local_only: bool,
}

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
    /// Starts items at targets with free slots and preempts items at overloaded ones; never
    /// returns.
    pub async fn dispatch(self: Arc<Self>) {
        tokio::join!(self.place_items(), self.fail_unrouted());
    }

    async fn place_items(self: &Arc<Self>) {
        loop {
            self.preempt_excess();
            if self.start_items() || !self.runs.lock().is_empty() {
                // Free slots also depend on the work of other hosts, which doesn't wake this task.
                let _ = time::timeout(DISPATCH_INTERVAL, self.wake.notified()).await;
            } else {
                self.wake.notified().await;
            }
        }
    }

    /// Starts as many items as possible, those of the job that is due first before all others;
    /// returns whether any job had waiting items.
    fn start_items(self: &Arc<Self>) -> bool {
        if self.is_draining() {
            return false;
        }
        let mut jobs: Vec<Arc<LoadedJob>> = self.loaded.lock().values().cloned().collect();
        jobs.retain(|loaded| !loaded.is_stopped() && loaded.job.lock().has_waiting());
        jobs.sort_by_key(|loaded| loaded.job.lock().record.due_at());
        let mut unmet = UnmetNeeds::default();
        let startable = if self.relay.pools.is_disconnected() { &[] } else { &jobs[..] };
        for loaded in startable {
            while matches!(self.place_next(loaded, &mut unmet), Placement::Placed) {}
        }
        !jobs.is_empty()
    }

    /// Starts the next item of a job for which a target has a free slot; adds to `unmet` what no
    /// target meets.
    fn place_next(self: &Arc<Self>, loaded: &Arc<LoadedJob>, unmet: &mut UnmetNeeds) -> Placement {
        let Some(table) = self.relay.table() else { return Placement::Blocked };
        let mut job = loaded.job.lock();
        if loaded.is_stopped() {
            return Placement::Blocked;
        }
        let lease = *loaded.lease.lock();
        let (now, boot_now) = (clock::steady(), clock::since_boot());
        let local_only = job.prefers_local(Self::wall_now());
        let conditions = Conditions { now, table, may_start: lease.allows(boot_now), local_only };
        let startable: Vec<usize> = job.startable(now).map(|(index, _)| index).collect();
        for index in startable {
            let (granted, versions) = match self.find_target(&conditions, job.item(index), unmet) {
                Ok(found) => found,
                Err(Unplaced::Waiting) => continue,
                Err(Unplaced::NeedsLease) => {
                    self.spawn_renewal(loaded);
                    return Placement::Blocked;
                }
            };
            if lease.is_due(boot_now) {
                self.spawn_renewal(loaded);
            }
            if versions == VersionChoice::Any {
                job.drop_output(index);
            }
            let next = job.start(index);
            drop(job);
            self.spawn_run(loaded, next, granted);
            return Placement::Placed;
        }
        Placement::Blocked
    }

    /// Reserves a slot for an item, at a target of these versions; adds to `unmet` what no target
    /// meets.
    fn find_target(
        &self,
        conditions: &Conditions,
        item: &Item,
        unmet: &mut UnmetNeeds,
    ) -> Result<(TargetLease, VersionChoice), Unplaced> {
        let Conditions { now, table, may_start, local_only } = conditions;
        let Some(route) = table.find(&item.request.host, &item.request.path) else {
            self.unrouted.notify_one();
            return Err(Unplaced::Waiting);
        };
        let service = route.service(&item.request.id).ok_or(Unplaced::Waiting)?;
        let pool = self.relay.pools.get(service).ok_or(Unplaced::Waiting)?;
        let versions = permitted_versions(*now, &pool, item);
        let streams = &self.relay.pools.streams;
        if versions != VersionChoice::Any && streams.awaits_list(*now, item.not_before) {
            return Err(Unplaced::Waiting);
        }
        let (service, local_only) = (service.clone(), *local_only);
        let mut need = SlotNeed { service, versions, avoid: None, local_only };
        if unmet.covers(&need) {
            return Err(Unplaced::Waiting);
        }
        if !may_start {
            if pool.has_batch_slot(&batch_pick(Vec::new(), local_only), &need.versions) {
                return Err(Unplaced::NeedsLease);
            }
            unmet.add(need);
            return Err(Unplaced::Waiting);
        }
        need.avoid = avoided_target(*now, &pool, item, &need.versions);
        if unmet.covers(&need) {
            return Err(Unplaced::Waiting);
        }
        let parts = item.parts(self.relay.transport.as_ref());
        let Some(granted) = reserve_slot(&pool, item, &need, &parts) else {
            unmet.add(need);
            return Err(Unplaced::Waiting);
        };
        Ok((granted, need.versions))
    }

    fn spawn_run(self: &Arc<Self>, loaded: &Arc<LoadedJob>, next: NextItem, granted: TargetLease) {
        let run = self.register_run(&granted.target.id);
        let guard = RunGuard::new(Arc::clone(self), Arc::clone(loaded), next.index, run);
        let manager = Arc::clone(self);
        tokio::spawn(async move { manager.run_item(guard, next, granted).await });
    }
}

/// The versions at which an item may run: the one that wrote its output, if it is still served and
/// the item has not waited long for it.
fn permitted_versions(now: Time, pool: &Pool, item: &Item) -> VersionChoice {
    let written = item.progress.version.as_ref();
    let kept = written.filter(|version| {
        pool.serves_version(version) && now.since(item.not_before) < VERSION_WAIT
    });
    kept.map_or(VersionChoice::Any, |version| VersionChoice::Only(version.clone()))
}

/// The target at which an item does not run yet.
fn avoided_target(
    now: Time,
    pool: &Pool,
    item: &Item,
    versions: &VersionChoice,
) -> Option<TargetId> {
    let last = item.avoid.as_ref().filter(|_| *versions == VersionChoice::Any)?;
    let others = batch_pick(vec![last.clone()], false);
    let avoidance = Avoidance {
        since: item.not_before,
        failed: item.failures > 0,
        has_other: pool.has_usable(&others, versions),
    };
    (!avoidance.is_over(now)).then(|| last.clone())
}

/// Reserves a slot for an item, if one is free; at the target of its last run only if it need not
/// avoid that one any more and no other has one.
fn reserve_slot(
    pool: &Arc<Pool>,
    item: &Item,
    need: &SlotNeed,
    parts: &Arc<RequestParts>,
) -> Option<TargetLease> {
    let reserve = |excluded: Vec<TargetId>| {
        let pick = batch_pick(excluded, need.local_only);
        pool.try_acquire_batch_version(&pick, &need.versions, parts)
    };
    let Some(last) = item.avoid.clone() else { return reserve(Vec::new()) };
    let elsewhere = reserve(vec![last]);
    if elsewhere.is_some() || need.avoid.is_some() {
        return elsewhere;
    }
    reserve(Vec::new())
}
