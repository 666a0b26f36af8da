//! Runs of targets that may have ended, as their connections failed.
//!
//! A failed connection alone is no crash: this host may have lost its links. But the target may have
//! started again since, as another version, so that the list of before does not tell which one
//! serves.

use std::collections::HashMap;

use oleander_core::{Span, Time};
use oleander_quarantine::{LastCrash, TargetRun};

use super::Pool;
use crate::target_list::TargetEntry;

/// Time after a crash within which a target is no longer listed, unless it goes on.
pub(super) const CRASH_EXCLUSION: Span = Span::from_secs(3);
/// Time after its start within which a target that accepts connections is listed.
const LISTING_DELAY: Span = Span::from_secs(1);
/// Time after a failed connection from which on output shows that the run goes on; before, it may
/// have been under way already.
const OUTPUT_DELAY: Span = Span::from_millis(300);

/// Runs whose connections have failed, and when they did last.
#[derive(Debug, Default)]
pub(super) struct DoubtedRuns {
    runs: HashMap<TargetRun, Time>,
}

impl DoubtedRuns {
    /// Records a failed connection.
    fn record(&mut self, now: Time, run: TargetRun) {
        self.runs.insert(run, now);
    }

    /// Records output for a request that was sent at `sent`: the run goes on if that was before its
    /// last failed connection.
    fn record_life(&mut self, now: Time, run: &TargetRun, sent: Time) {
        let failed = self.runs.get(run).copied();
        if failed.is_some_and(|failed| sent < failed && now.since(failed) >= OUTPUT_DELAY) {
            self.runs.remove(run);
        }
    }

    /// Forgets the runs that are no longer listed.
    pub(super) fn retain_listed(&mut self, entries: &[TargetEntry]) {
        self.runs.retain(|run, _| entries.iter().any(|entry| entry.run() == *run));
    }
}

impl Pool {
    /// Records that a connection to a target has failed, which may have ended.
    pub(crate) fn record_doubt(&self, now: Time, run: TargetRun) {
        self.doubts.lock().record(now, run);
    }

    /// Records output of a target for a request that was sent at `sent`.
    pub(crate) fn record_life(&self, now: Time, run: &TargetRun, target: &TargetEntry, sent: Time) {
        self.quarantine.record_life(run, sent);
        let mut doubts = self.doubts.lock();
        if !doubts.runs.is_empty() {
            doubts.record_life(now, &target.run(), sent);
        }
    }

    /// Whether the listed run of a target may have ended, so that the list does not tell the version
    /// of the one that serves.
    ///
    /// A list that is confirmed as of some time later and still has the run shows that it goes on.
    pub(super) fn may_have_ended(&self, target: &TargetEntry) -> bool {
        let run = target.run();
        let failed = self.doubts.lock().runs.get(&run).copied();
        let is_doubted = failed.is_some_and(|failed| self.list_time.get() < failed + LISTING_DELAY);
        is_doubted || self.quarantine.last_crash(&run).is_some_and(|crash| self.is_unlisted(crash))
    }

    /// Whether the list is not known to be younger than what a crash changes in it.
    pub(super) fn is_unlisted(&self, crash: LastCrash) -> bool {
        let delay = if crash.is_reached { LISTING_DELAY } else { CRASH_EXCLUSION };
        self.list_time.get() < crash.known_at + delay
    }

    /// Whether streams wait for a list that tells the present runs of targets.
    pub(crate) fn needs_list(&self) -> bool {
        if self.quarantine.is_empty() && self.doubts.lock().runs.is_empty() {
            return false;
        }
        let targets = self.targets.read();
        targets.values().any(|target| self.may_have_ended(target))
    }
}
