//! Runs of items at targets.

use std::{
    mem,
    sync::{Arc, atomic::Ordering},
};

use http::StatusCode;
use oleander_core::{Span, TargetId};
use oleander_host::clock;
use oleander_platform::ObjectStore;
use oleander_relay::{
    Attempt, AttemptOutcome, AttemptTimeouts, Request, TargetEntry, TargetLease, TargetTransport,
    run_attempt,
};
use tokio::{sync::Notify, time::Instant};

use crate::{
    guard::RunGuard,
    item::{Progress, RunOutcome},
    job::NextItem,
    manager::{JobManager, LoadedJob},
    output::{OutputSink, RunLimits},
    size::ResultLimits,
};

/// Time without data after which an item resumes at another target. No caller waits for an item,
/// but a stream that is silent for this long has most likely lost its target.
const SILENCE_LIMITS: AttemptTimeouts = AttemptTimeouts {
    first_byte: Some(Span::from_millis(2_000)),
    idle: Some(Span::from_millis(600)),
};

/// A running item.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) number: u64,
    pub(crate) target: TargetId,
    pub(crate) preempted: Arc<Notify>,
}

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
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

    pub(crate) fn register_run(&self, target: &TargetId) -> Run {
        let mut runs = self.runs.lock();
        let number = self.run_count.fetch_add(1, Ordering::Relaxed);
        let run = Run { number, target: target.clone(), preempted: Arc::new(Notify::new()) };
        runs.push(run.clone());
        run
    }

    /// Runs an item at a target and records the outcome.
    pub(crate) async fn run_item(
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
