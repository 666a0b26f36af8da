//! Items and jobs whose task ends by a panic.

use std::{sync::Arc, thread};

use oleander_host::clock;
use oleander_platform::ObjectStore;
use oleander_relay::TargetTransport;

use crate::{
    item::{Progress, RunOutcome},
    manager::{JobManager, LoadedJob},
    runner::Run,
};

/// Gives an item back when its run ends, also by a panic.
pub(crate) struct RunGuard<S: ObjectStore, T: TargetTransport> {
    manager: Arc<JobManager<S, T>>,
    pub(crate) loaded: Arc<LoadedJob>,
    index: usize,
    pub(crate) run: Run,
    is_finished: bool,
}

impl<S: ObjectStore, T: TargetTransport> RunGuard<S, T> {
    pub(crate) const fn new(
        manager: Arc<JobManager<S, T>>,
        loaded: Arc<LoadedJob>,
        index: usize,
        run: Run,
    ) -> Self {
        Self { manager, loaded, index, run, is_finished: false }
    }

    /// Removes the run from those in progress.
    pub(crate) fn end_run(&self) {
        self.manager.runs.lock().retain(|other| other.number != self.run.number);
    }

    /// Records the outcome of the run.
    pub(crate) fn finish(mut self, outcome: &RunOutcome, progress: Progress) {
        self.record(outcome, progress);
    }

    fn record(&mut self, outcome: &RunOutcome, progress: Progress) {
        self.is_finished = true;
        let now = clock::steady();
        let target = self.run.target.clone();
        self.loaded.job.lock().finish_run(now, self.index, outcome, progress, target);
        self.loaded.finished.notify_one();
        self.manager.wake.notify_one();
    }
}

impl<S: ObjectStore, T: TargetTransport> Drop for RunGuard<S, T> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        if thread::panicking() {
            log::error!(target:% = self.run.target; "run of an item panicked; it starts again");
        }
        self.end_run();
        // The output of earlier runs went with the task.
        self.record(&RunOutcome::Interrupted, Progress::default());
    }
}
