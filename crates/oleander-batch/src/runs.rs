//! Runs under way on this host.

use std::collections::HashMap;

use oleander_core::{JobId, LotIndex, TargetId, Time};
use oleander_jobs::RunId;
use tokio::sync::oneshot;

use crate::app::App;

/// Names a lot.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct LotKey {
    /// Its job.
    pub(crate) job: JobId,
    /// Its position.
    pub(crate) lot: LotIndex,
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stop {
    /// Its end no longer matters.
    Drop,
    /// It gives up its place and keeps what it has.
    Yield,
}

#[derive(Debug)]
struct Entry {
    target: TargetId,
    started: Time,
    alone: bool,
    stop: Option<oneshot::Sender<Stop>>,
}

/// All runs of this host.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    entries: HashMap<(LotKey, RunId), Entry>,
}

impl Runs {
    /// Adds a run; the receiver tells it to stop.
    pub(crate) fn add(
        &mut self,
        now: Time,
        lot: &LotKey,
        run: RunId,
        target: TargetId,
        alone: bool,
    ) -> oneshot::Receiver<Stop> {
        let (stop, stopped) = oneshot::channel();
        let entry = Entry { target, started: now, alone, stop: Some(stop) };
        self.entries.insert((lot.clone(), run), entry);
        stopped
    }

    /// Removes a run at its end.
    pub(crate) fn remove(&mut self, lot: &LotKey, run: RunId) {
        self.entries.remove(&(lot.clone(), run));
    }

    /// Stops a run.
    pub(crate) fn stop(&mut self, lot: &LotKey, run: RunId, why: Stop) {
        if let Some(entry) = self.entries.get_mut(&(lot.clone(), run)) {
            entry.stop(why);
        }
    }

    /// Stops the youngest runs at a target; returns how many.
    pub(crate) fn stop_youngest(&mut self, target: &TargetId, count: u32) -> u32 {
        let there = self.entries.values_mut().filter(|e| e.target == *target && e.stop.is_some());
        let mut there: Vec<&mut Entry> = there.collect();
        there.sort_by_key(|entry| std::cmp::Reverse(entry.started));
        let chosen = there.into_iter().take(count as usize);
        chosen.map(|entry| entry.stop(Stop::Yield)).count() as u32
    }

    /// Number of runs.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Targets where a run must stay alone.
    pub(crate) fn reserved(&self) -> Vec<TargetId> {
        let alone = self.entries.values().filter(|entry| entry.alone);
        alone.map(|entry| entry.target.clone()).collect()
    }
}

impl Entry {
    fn stop(&mut self, why: Stop) {
        if let Some(stop) = self.stop.take() {
            // A run that ended meanwhile needs no stop.
            let _ = stop.send(why);
        }
    }
}

impl App {
    /// Gives up the youngest items at a target.
    pub(crate) fn yield_items(&self, target: &TargetId, count: u32) {
        let stopped = self.runs.lock().stop_youngest(target, count);
        if stopped > 0 {
            metrics::counter!("oleander_batch_yields_total").increment(u64::from(stopped));
            log::debug!("gave up {stopped} items at {target}");
        }
    }

    /// Gives up what the targets have no room for.
    pub(crate) fn yield_excess(&self) {
        for pool in self.pools.all() {
            for excess in pool.excess() {
                self.yield_items(&excess.target, excess.count);
            }
        }
    }
}
