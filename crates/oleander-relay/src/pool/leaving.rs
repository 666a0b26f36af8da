//! Targets that say in their responses that they are about to stop.
//!
//! The list says so later, or not at all while the platform is away. A target that starts again
//! under the same name or address is another run.

use std::collections::HashMap;

use oleander_core::{Span, Time};
use oleander_host::clock;
use oleander_quarantine::TargetRun;

use super::Pool;
use crate::target_list::TargetEntry;

/// Time for which a run that is not listed any more is kept; the list may have it again.
const RETENTION: Span = Span::from_secs(60);

/// Runs of targets that have said that they are about to stop, and when they were last listed.
#[derive(Debug, Default)]
pub(super) struct LeavingRuns {
    runs: HashMap<TargetRun, Time>,
}

impl LeavingRuns {
    /// Marks the entries of these runs.
    pub(super) fn mark(&mut self, now: Time, entries: &mut [TargetEntry]) {
        if self.runs.is_empty() {
            return;
        }
        for entry in entries {
            if let Some(listed) = self.runs.get_mut(&entry.run()) {
                *listed = now;
                entry.leaving = true;
            }
        }
        self.runs.retain(|_, listed| now.since(*listed) < RETENTION);
    }
}

impl Pool {
    /// Records that a target says that it is about to stop; it gets no new requests.
    pub(crate) fn record_leaving(&self, target: &TargetEntry) {
        let run = target.run();
        if self.leaving.lock().runs.insert(run.clone(), clock::steady()).is_some() {
            return;
        }
        let mut targets = self.targets.write();
        let Some(entry) = targets.get_mut(&target.id).filter(|entry| entry.run() == run) else {
            return;
        };
        entry.leaving = true;
        drop(targets);
        log::info!(target:% = target.id, service:% = target.service;
            "target says that it is about to stop");
        metrics::counter!("targets_leaving_total").increment(1);
        self.router.lock().set_leaving(&target.id, true);
        self.changed.notify_waiters();
    }
}
