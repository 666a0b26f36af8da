//! Runs items at targets.

use std::{
    collections::HashSet,
    sync::{Arc, atomic::Ordering},
};

use bytes::Bytes;
use http::StatusCode;
use oleander_core::{ServiceId, Span, TargetId};
use oleander_host::clock;
use oleander_platform::ObjectStore;
use oleander_relay::{
    Attempt, AttemptOutcome, AttemptTimeouts, Pool, ResponseHead, ResponseSink, SinkClosed,
    TargetLease, TargetTransport, batch_pick, event_data, run_attempt,
};
use tokio::{
    sync::{Notify, watch},
    time,
};

use crate::{
    desk::{Desk, Held},
    item::{ItemEnd, Progress},
    job::NextItem,
};

/// Time between two looks for room while items wait.
const LOOK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(40);
/// Silence of a target after which an item goes on at another: items aren't waited for, but a
/// stream that is silent for this long has most likely lost its target.
const PATIENCE: AttemptTimeouts = AttemptTimeouts {
    first_byte: Some(Span::from_millis(2_000)),
    idle: Some(Span::from_millis(600)),
};

/// An item under way.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    number: u64,
    pub(crate) target: TargetId,
    pub(crate) interrupt: Arc<Notify>,
}

/// Where the next item of a job goes.
enum Placing {
    /// An item was started.
    Started,
    /// Nothing of this job can start now.
    Nothing,
}

impl<S: ObjectStore, T: TargetTransport> Desk<S, T> {
    /// Starts items where there is room and interrupts them where there is none; never ends.
    pub async fn dispatch(self: Arc<Self>) {
        loop {
            self.yield_excess();
            if self.start_items() || !self.runs.lock().is_empty() {
                // Room comes and goes with other hosts' work, which no notice tells of.
                let _ = time::timeout(LOOK_INTERVAL, self.wake.notified()).await;
            } else {
                self.wake.notified().await;
            }
        }
    }

    /// Starts what fits, the job that is due first before all others; tells whether items wait.
    fn start_items(self: &Arc<Self>) -> bool {
        if self.is_draining() {
            return false;
        }
        let mut jobs: Vec<Arc<Held>> = self.owned.lock().values().cloned().collect();
        jobs.retain(|held| !held.is_stopped() && held.job.lock().has_unstarted());
        jobs.sort_by_key(|held| held.job.lock().entry.due_at());
        let mut full = HashSet::new();
        for held in &jobs {
            while matches!(self.place(held, &mut full), Placing::Started) {}
        }
        !jobs.is_empty()
    }

    fn place(self: &Arc<Self>, held: &Arc<Held>, full: &mut HashSet<ServiceId>) -> Placing {
        let now = clock::steady();
        let mut job = held.job.lock();
        let Some((request, avoid)) = job.peek(now) else { return Placing::Nothing };
        let Some(table) = self.relay.table() else { return Placing::Nothing };
        let Some(route) = table.find(&request.host, &request.path) else {
            let id = request.id.clone();
            log::warn!(request:% = id, job:% = job.entry.job, version = table.version;
                "item is given up: its route is gone");
            job.give_up(&id);
            held.ended.notify_one();
            return Placing::Started;
        };
        let Some(service) = route.service(&request.id).filter(|service| !full.contains(service))
        else {
            return Placing::Nothing;
        };
        let Some(pool) = self.relay.pools.get(service) else { return Placing::Nothing };
        let near = job.is_at_ease(Self::wall());
        let Some(granted) = pick(&pool, avoid.cloned().into_iter().collect(), near) else {
            full.insert(service.clone());
            return Placing::Nothing;
        };
        let Some(next) = job.start(now) else { return Placing::Nothing };
        drop(job);
        let desk = Arc::clone(self);
        let held = Arc::clone(held);
        tokio::spawn(async move { desk.run(held, next, granted).await });
        Placing::Started
    }

    fn register(&self, target: &TargetId) -> Run {
        let mut runs = self.runs.lock();
        let number = self.run_count.fetch_add(1, Ordering::Relaxed);
        let run = Run { number, target: target.clone(), interrupt: Arc::new(Notify::new()) };
        runs.push(run.clone());
        run
    }

    async fn run(self: Arc<Self>, held: Arc<Held>, next: NextItem, mut granted: TargetLease) {
        let Progress { mut events, output, begun } = next.progress;
        let resumed = events.last_id();
        let run = self.register(&granted.target.id);
        let interrupt = Arc::clone(&run.interrupt);
        let mut sink = Collect { output, begun, stop: held.stop.subscribe(), interrupt };
        let attempt_of = Attempt {
            request: &next.request,
            budget: None,
            events: Some(&mut events),
            head_sent: false,
            buffer: false,
            timeouts: PATIENCE,
        };
        let began = clock::steady();
        let ended =
            run_attempt(self.relay.transport.as_ref(), &mut granted, attempt_of, &mut sink).await;
        let target = granted.target.id.clone();
        drop(granted);
        self.runs.lock().retain(|other| other.number != run.number);
        let end = judge(&ended);
        let now = clock::steady();
        log::info!(request:% = next.request.id, target:% = target, after:? = resumed,
            last:? = events.last_id(), took_ms = now.since(began).as_millis(), outcome:? = end,
            reason:% = reason(&ended); "item run ended");
        metrics::counter!("item_runs_total", "outcome" => outcome(&end)).increment(1);
        let progress = Progress { events, output: sink.output, begun: sink.begun };
        held.job.lock().finish(now, next.index, &end, progress, target);
        held.ended.notify_one();
        self.wake.notify_one();
    }
}

fn pick(pool: &Arc<Pool>, avoid: Vec<TargetId>, near: bool) -> Option<TargetLease> {
    // With a single target left, the one that interrupted the item is better than none.
    let avoid = if pool.len() > 1 { avoid } else { Vec::new() };
    pool.try_acquire_batch(&batch_pick(avoid, near))
}

/// What an attempt means for the item.
fn judge(ended: &AttemptOutcome) -> ItemEnd {
    match ended {
        AttemptOutcome::Complete => ItemEnd::Completed,
        AttemptOutcome::Failed(head, _) if head.status == StatusCode::UNPROCESSABLE_ENTITY => {
            ItemEnd::Impossible
        }
        AttemptOutcome::Failed(head, _) if head.status == StatusCode::INTERNAL_SERVER_ERROR => {
            ItemEnd::Failed
        }
        _ => ItemEnd::Interrupted,
    }
}

const fn outcome(end: &ItemEnd) -> &'static str {
    match end {
        ItemEnd::Completed => "completed",
        ItemEnd::Failed => "failed",
        ItemEnd::Impossible => "impossible",
        ItemEnd::Interrupted => "interrupted",
    }
}

fn reason(ended: &AttemptOutcome) -> String {
    match ended {
        AttemptOutcome::Complete => "complete".to_owned(),
        AttemptOutcome::NotSent(reason) | AttemptOutcome::Interrupted { reason, .. } => {
            reason.clone()
        }
        AttemptOutcome::NotRun(head) => format!("not run, status {}", head.status.as_u16()),
        AttemptOutcome::Failed(head, _) => format!("status {}", head.status.as_u16()),
        AttemptOutcome::Cancelled => "stopped".to_owned(),
    }
}

/// Collects the data of a stream's events.
struct Collect {
    output: Vec<u8>,
    begun: bool,
    stop: watch::Receiver<bool>,
    interrupt: Arc<Notify>,
}

impl ResponseSink for Collect {
    fn head(&mut self, _: ResponseHead) {}

    async fn chunk(&mut self, bytes: Bytes) -> Result<(), SinkClosed> {
        for data in event_data(&bytes) {
            if std::mem::replace(&mut self.begun, true) {
                self.output.push(b'\n');
            }
            self.output.extend_from_slice(&data);
        }
        Ok(())
    }

    async fn closed(&self) {
        let mut stop = self.stop.clone();
        // The sender lives as long as the job is held; its end is a stop, too.
        tokio::select! {
            _ = stop.wait_for(|stopped| *stopped) => {}
            () = self.interrupt.notified() => {}
        }
    }
}
