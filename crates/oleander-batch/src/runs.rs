//! The active runs of this host.

use std::collections::HashMap;

use oleander_core::{JobId, LotIndex, TargetId, Time};
use oleander_jobs::RunId;
use tokio::sync::oneshot;

use crate::app::App;

/// Id of a lot.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct LotId {
    /// The job.
    pub(crate) job: JobId,
    /// Index of the lot in the job.
    pub(crate) index: LotIndex,
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopReason {
    /// The outcome is not needed any more.
    Discard,
    /// The target needs the capacity for online calls; the output so far is kept.
    Yield,
}

#[derive(Debug)]
struct ActiveRun {
    target: TargetId,
    started: Time,
    alone: bool,
    broken: bool,
    last_output: Option<Time>,
    stop: Option<oneshot::Sender<StopReason>>,
}

/// The active runs of this host, of all lots.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    entries: HashMap<(LotId, RunId), ActiveRun>,
}

impl Runs {
    /// Adds a run; the receiver gets the reason if it is to stop.
    pub(crate) fn add(
        &mut self,
        now: Time,
        lot: &LotId,
        run: RunId,
        target: TargetId,
        alone: bool,
    ) -> oneshot::Receiver<StopReason> {
        let (stop, stopped) = oneshot::channel();
        let entry = ActiveRun {
            target,
            started: now,
            alone,
            broken: false,
            last_output: None,
            stop: Some(stop),
        };
        self.entries.insert((lot.clone(), run), entry);
        stopped
    }

    /// Removes a run that ended.
    pub(crate) fn remove(&mut self, lot: &LotId, run: RunId) {
        self.entries.remove(&(lot.clone(), run));
    }

    /// Records output of a run.
    pub(crate) fn record_output(&mut self, now: Time, lot: &LotId, run: RunId) {
        if let Some(entry) = self.entries.get_mut(&(lot.clone(), run)) {
            entry.last_output = Some(now);
        }
    }

    /// Records that the stream of a run broke.
    pub(crate) fn record_break(&mut self, lot: &LotId, run: RunId) {
        if let Some(entry) = self.entries.get_mut(&(lot.clone(), run)) {
            entry.broken = true;
        }
    }

    /// Whether an unbroken run at the target that started before `at` has had output after `at`.
    pub(crate) fn has_output_since(&self, target: &TargetId, at: Time) -> bool {
        self.entries.values().any(|entry| {
            let is_candidate = entry.target == *target && entry.started < at && !entry.broken;
            is_candidate && entry.last_output.is_some_and(|output| output > at)
        })
    }

    /// Stops a run.
    pub(crate) fn stop(&mut self, lot: &LotId, run: RunId, reason: StopReason) {
        if let Some(entry) = self.entries.get_mut(&(lot.clone(), run)) {
            entry.stop(reason);
        }
    }

    /// Stops the youngest runs at a target, at most `count`; returns how many.
    pub(crate) fn yield_youngest(&mut self, target: &TargetId, count: u32) -> u32 {
        let active = self.entries.values_mut().filter(|e| e.target == *target && e.stop.is_some());
        let mut active: Vec<&mut ActiveRun> = active.collect();
        active.sort_by_key(|entry| std::cmp::Reverse(entry.started));
        let chosen = active.into_iter().take(count as usize);
        chosen.map(|entry| entry.stop(StopReason::Yield)).count() as u32
    }

    /// Number of runs.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Targets at which nothing else of this host may start.
    pub(crate) fn exclusive_targets(&self) -> Vec<TargetId> {
        let alone = self.entries.values().filter(|entry| entry.alone);
        alone.map(|entry| entry.target.clone()).collect()
    }
}

impl ActiveRun {
    fn stop(&mut self, reason: StopReason) {
        if let Some(stop) = self.stop.take() {
            // The send fails if the run has ended meanwhile.
            let _ = stop.send(reason);
        }
    }
}

impl App {
    /// Stops the youngest items at a target; they are queued again with their output.
    pub(crate) fn yield_items(&self, target: &TargetId, count: u32) {
        let stopped = self.runs.lock().yield_youngest(target, count);
        if stopped > 0 {
            metrics::counter!("oleander_batch_yields_total").increment(u64::from(stopped));
            log::debug!("yielded {stopped} items at {target}");
        }
    }

    /// Stops the items beyond the capacity of their targets.
    pub(crate) fn yield_excess(&self) {
        for pool in self.pools.all() {
            for excess in pool.excess() {
                self.yield_items(&excess.target, excess.count);
            }
        }
    }
}
