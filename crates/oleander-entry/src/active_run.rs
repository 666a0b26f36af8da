//! Active runs of calls on this host.
//!
//! Concurrent requests for the same call share one run. One task writes it; any number of readers
//! follow it from the first token on. A run continues when its readers disconnect.

use std::{collections::HashMap, sync::Arc};

use oleander_core::{AttemptId, CallId, DigestId};
use oleander_ledger::Outcome;
use parking_lot::Mutex;
use tokio::sync::watch;

/// One run of a call: its tokens so far, and its outcome.
#[derive(Debug)]
pub(crate) struct ActiveRun {
    attempt: AttemptId,
    digest: DigestId,
    state: Mutex<State>,
    version: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    tokens: Vec<String>,
    outcome: Option<Outcome>,
}

/// What a reader gets from its position on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RunUpdate {
    /// Tokens from the position on.
    pub(crate) tokens: Vec<String>,
    /// The outcome, once the run has ended.
    pub(crate) outcome: Option<Outcome>,
}

impl ActiveRun {
    fn new(digest: DigestId, attempt: AttemptId) -> Self {
        Self { attempt, digest, state: Mutex::default(), version: watch::Sender::new(0) }
    }

    /// Id of the run.
    pub(crate) const fn attempt(&self) -> &AttemptId {
        &self.attempt
    }

    /// Digest of the call's body.
    pub(crate) const fn digest(&self) -> &DigestId {
        &self.digest
    }

    /// Appends a token.
    pub(crate) fn push(&self, token: String) {
        self.state.lock().tokens.push(token);
        self.version.send_modify(|version| *version += 1);
    }

    /// Ends the run; an outcome that is set already stays.
    pub(crate) fn end(&self, outcome: Outcome) {
        self.state.lock().outcome.get_or_insert(outcome);
        self.version.send_modify(|version| *version += 1);
    }

    /// Text of all tokens so far.
    pub(crate) fn text(&self) -> String {
        self.state.lock().tokens.concat()
    }

    /// Number of tokens so far.
    pub(crate) fn token_count(&self) -> u64 {
        self.state.lock().tokens.len() as u64
    }

    /// Tokens from `from` on, and the outcome if the run has ended.
    pub(crate) fn read(&self, from: u64) -> RunUpdate {
        let state = self.state.lock();
        let from = usize::try_from(from).unwrap_or(usize::MAX).min(state.tokens.len());
        RunUpdate { tokens: state.tokens[from..].to_vec(), outcome: state.outcome.clone() }
    }

    /// Waits until there are tokens from `from` on or the run has ended.
    pub(crate) async fn wait(&self, from: u64) -> RunUpdate {
        let mut versions = self.version.subscribe();
        loop {
            versions.borrow_and_update();
            let update = self.read(from);
            if !update.tokens.is_empty() || update.outcome.is_some() {
                return update;
            }
            if versions.changed().await.is_err() {
                return update;
            }
        }
    }
}

/// The active runs of this host, by call.
#[derive(Debug, Default)]
pub(crate) struct ActiveRuns {
    runs: Mutex<HashMap<CallId, Arc<ActiveRun>>>,
}

impl ActiveRuns {
    /// The active run of a call.
    pub(crate) fn get(&self, call: &CallId) -> Option<Arc<ActiveRun>> {
        self.runs.lock().get(call).cloned()
    }

    /// The active run of a call, created if there is none, and whether it was created.
    pub(crate) fn get_or_insert(
        &self,
        call: &CallId,
        digest: &DigestId,
        attempt: AttemptId,
    ) -> (Arc<ActiveRun>, bool) {
        let mut runs = self.runs.lock();
        if let Some(run) = runs.get(call) {
            return (Arc::clone(run), false);
        }
        let run = Arc::new(ActiveRun::new(digest.clone(), attempt));
        runs.insert(call.clone(), Arc::clone(&run));
        (run, true)
    }

    /// Removes a run.
    pub(crate) fn remove(&self, call: &CallId, attempt: &AttemptId) {
        let mut runs = self.runs.lock();
        if runs.get(call).is_some_and(|run| run.attempt() == attempt) {
            runs.remove(call);
        }
    }

    /// Number of runs, including ended ones that are not removed yet.
    pub(crate) fn len(&self) -> usize {
        self.runs.lock().len()
    }

    /// Number of runs that have not ended.
    pub(crate) fn running(&self) -> usize {
        let runs = self.runs.lock();
        runs.values().filter(|run| run.state.lock().outcome.is_none()).count()
    }
}
