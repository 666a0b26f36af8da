//! Dispatch of waiting items, and their runs at targets.

use std::{
    collections::HashSet,
    mem,
    sync::{Arc, atomic::Ordering},
};

use http::StatusCode;
use oleander_core::{ServiceId, Span, TargetId, Time};
use oleander_host::clock;
use oleander_platform::ObjectStore;
use oleander_quarantine::RequestParts;
use oleander_relay::{
    Attempt, AttemptOutcome, AttemptTimeouts, Pool, Request, TargetEntry, TargetLease,
    TargetTransport, VersionChoice, batch_pick, run_attempt,
};
use tokio::{
    sync::Notify,
    time::{self, Instant},
};

use crate::{
    guard::RunGuard,
    item::{Item, Progress, RunOutcome},
    job::NextItem,
    manager::{JobManager, LoadedJob},
    output::{OutputSink, RunLimits},
    size::ResultLimits,
};

/// Time between two checks for free slots while items wait or run.
const DISPATCH_INTERVAL: std::time::Duration = std::time::Duration::from_millis(40);
/// Time without data after which an item resumes at another target. No caller waits for an item,
/// but a stream that is silent for this long has most likely lost its target.
const SILENCE_LIMITS: AttemptTimeouts = AttemptTimeouts {
    first_byte: Some(Span::from_millis(2_000)),
    idle: Some(Span::from_millis(600)),
};

/// Time for which an item waits for a target of the version that wrote its output; then it starts
/// again at any.
const VERSION_WAIT: Span = Span::from_secs(3);

/// A running item.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) number: u64,
    pub(crate) target: TargetId,
    pub(crate) preempted: Arc<Notify>,
}

/// Result of placing the next item of a job.
enum Placement {
    /// An item was started.
    Placed,
    /// No item of the job can start now.
    Blocked,
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
        let mut full = HashSet::new();
        let startable = if self.relay.pools.is_disconnected() { &[] } else { &jobs[..] };
        for loaded in startable {
            while matches!(self.place_next(loaded, &mut full), Placement::Placed) {}
        }
        !jobs.is_empty()
    }

    /// Starts the next item of a job for which a target has a free slot; adds to `full` what has none.
    fn place_next(
        self: &Arc<Self>,
        loaded: &Arc<LoadedJob>,
        full: &mut HashSet<(ServiceId, VersionChoice)>,
    ) -> Placement {
        let now = clock::steady();
        let Some(table) = self.relay.table() else { return Placement::Blocked };
        let mut job = loaded.job.lock();
        if loaded.is_stopped() {
            return Placement::Blocked;
        }
        let lease = *loaded.lease.lock();
        let boot_now = clock::since_boot();
        let local_only = job.prefers_local(Self::wall_now());
        let startable: Vec<usize> = job.startable(now).map(|(index, _)| index).collect();
        for index in startable {
            let item = job.item(index);
            let Some(route) = table.find(&item.request.host, &item.request.path) else {
                self.unrouted.notify_one();
                continue;
            };
            let Some(service) = route.service(&item.request.id) else { continue };
            let Some(pool) = self.relay.pools.get(service) else { continue };
            let parts = item.parts(self.relay.transport.as_ref());
            let versions = permitted_versions(now, &pool, item);
            let requirement = (service.clone(), versions.clone());
            if full.contains(&requirement) {
                continue;
            }
            if !lease.allows(boot_now) {
                if pool.has_batch_slot(&batch_pick(Vec::new(), local_only), &versions) {
                    self.spawn_renewal(loaded);
                    return Placement::Blocked;
                }
                full.insert(requirement);
                continue;
            }
            let avoid = item.avoid.clone();
            let Some(granted) = reserve_slot(&pool, avoid, local_only, &versions, &parts) else {
                full.insert(requirement);
                continue;
            };
            if lease.is_due(boot_now) {
                self.spawn_renewal(loaded);
            }
            if versions == VersionChoice::Any {
                job.drop_output(index);
            }
            let next = job.start(index);
            drop(job);
            let run = self.register_run(&granted.target.id);
            let guard = RunGuard::new(Arc::clone(self), Arc::clone(loaded), index, run);
            let manager = Arc::clone(self);
            tokio::spawn(async move { manager.run_item(guard, next, granted).await });
            return Placement::Placed;
        }
        Placement::Blocked
    }

    /// Limits of a run of an item that begins now.
    fn run_limits(&self, loaded: &LoadedJob, request: &Request) -> RunLimits {
        let expires_at = loaded.job.lock().record.expires_at();
        let time = expires_at.since(Self::wall_now()).to_duration();
        let limits = ResultLimits::of_objects(self.config.object_bytes);
        RunLimits {
            output: limits.output_of(&request.id),
            // An event carries a token or more.
            events: self.relay.transport.size(request).map(u64::from),
            end: Instant::now() + time,
        }
    }

    fn register_run(&self, target: &TargetId) -> Run {
        let mut runs = self.runs.lock();
        let number = self.run_count.fetch_add(1, Ordering::Relaxed);
        let run = Run { number, target: target.clone(), preempted: Arc::new(Notify::new()) };
        runs.push(run.clone());
        run
    }

    /// Runs an item at a target and records the outcome.
    async fn run_item(
        self: Arc<Self>,
        guard: RunGuard<S, T>,
        next: NextItem,
        granted: TargetLease,
    ) {
        // The process may have been paused since the item was placed.
        if !guard.loaded.lease.lock().allows(clock::since_boot()) {
            log::info!(request:% = next.request.id; "item not started: its lease is over");
            guard.end_run();
            return guard.finish(&RunOutcome::Interrupted, next.progress);
        }
        let mut progress = next.progress;
        let mut events = mem::take(&mut progress.events);
        let resumed = events.last_id();
        let preempted = Arc::clone(&guard.run.preempted);
        let limits = self.run_limits(&guard.loaded, &next.request);
        let stop = guard.loaded.stop.subscribe();
        let mut sink = OutputSink::new(&mut progress, limits).stopped_by(stop, preempted);
        let parameters = Attempt {
            request: &next.request,
            budget: None,
            events: Some(&mut events),
            head_sent: false,
            buffer: false,
            timeouts: SILENCE_LIMITS,
            memory: &self.relay.memory,
        };
        let started = clock::steady();
        let lease = *guard.loaded.lease.lock();
        let view_age = lease.age(clock::since_boot()).map(Span::as_millis);
        let TargetEntry { id: target, version, .. } = granted.target.clone();
        let crash = granted.crash_watch();
        let attempt_outcome =
            run_attempt(&self.relay.transport, granted, parameters, &mut sink).await;
        guard.end_run();
        let mut outcome = run_outcome(&attempt_outcome);
        if sink.is_oversized() {
            outcome = RunOutcome::Oversized;
        }
        if outcome == RunOutcome::Interrupted && events.last_id() == resumed && crash.has_crashed()
        {
            outcome = RunOutcome::Crashed;
        }
        let now = clock::steady();
        let parts = self.relay.transport.shared_parts(&next.request);
        log::info!(request:% = next.request.id, parts:? = parts, target:% = target, after:? = resumed,
            last:? = events.last_id(), took_ms = now.since(started).as_millis(), outcome:? = outcome,
            job_revision = lease.revision().0, view_age_ms = view_age,
            reason:% = reason(&attempt_outcome); "item run ended");
        metrics::counter!("item_runs_total", "outcome" => outcome_label(&outcome)).increment(1);
        let version = (sink.event_count > 0).then_some(version);
        let progress = if events.is_contradicted() {
            log::warn!(request:% = next.request.id, target:% = target;
                "item starts again: a run ended before an event that another one had begun");
            Progress::default()
        } else if sink.is_discarded {
            log::warn!(request:% = next.request.id, target:% = target;
                "item starts again: its output took too much memory");
            Progress::default()
        } else {
            Progress { events, output: sink.output, event_count: sink.event_count, version }
        };
        guard.finish(&outcome, progress);
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

/// Reserves a slot for an item at a target of the pool, if one is free.
fn reserve_slot(
    pool: &Arc<Pool>,
    avoid: Option<TargetId>,
    local_only: bool,
    versions: &VersionChoice,
    parts: &Arc<RequestParts>,
) -> Option<TargetLease> {
    let avoided = avoid.into_iter().collect();
    let lease = pool.try_acquire_batch_version(&batch_pick(avoided, local_only), versions, parts);
    // The target to avoid is used if it may be the only one.
    if lease.is_none() && (pool.len() == 1 || *versions != VersionChoice::Any) {
        return pool.try_acquire_batch_version(
            &batch_pick(Vec::new(), local_only),
            versions,
            parts,
        );
    }
    lease
}

/// Outcome of a run, by the end of its attempt.
fn run_outcome(outcome: &AttemptOutcome) -> RunOutcome {
    match outcome {
        AttemptOutcome::Complete => RunOutcome::Completed,
        AttemptOutcome::Failed(head, _) if head.status == StatusCode::UNPROCESSABLE_ENTITY => {
            RunOutcome::Impossible
        }
        AttemptOutcome::Failed(head, _) if head.status == StatusCode::INTERNAL_SERVER_ERROR => {
            RunOutcome::Failed
        }
        _ => RunOutcome::Interrupted,
    }
}

/// Label of an outcome in metrics.
const fn outcome_label(outcome: &RunOutcome) -> &'static str {
    match outcome {
        RunOutcome::Completed => "completed",
        RunOutcome::Failed => "failed",
        RunOutcome::Impossible => "impossible",
        RunOutcome::Interrupted => "interrupted",
        RunOutcome::Crashed => "crashed",
        RunOutcome::Oversized => "oversized",
    }
}

fn reason(outcome: &AttemptOutcome) -> String {
    match outcome {
        AttemptOutcome::Complete => "complete".to_owned(),
        AttemptOutcome::NotSent(reason) | AttemptOutcome::Interrupted { reason, .. } => {
            reason.clone()
        }
        AttemptOutcome::NotRun(head) => format!("not run, status {}", head.status.as_u16()),
        AttemptOutcome::Failed(head, _) => format!("status {}", head.status.as_u16()),
        AttemptOutcome::Cancelled => "stopped".to_owned(),
    }
}
