//! The calls of one shard as its log tells them.

use std::collections::{HashMap, VecDeque};

use oleander_core::{AttemptId, CallId, DigestId, HostId};

use crate::call::{CallRecord, Outcome};

/// Fixed share of a remembered outcome, in bytes.
const OUTCOME_OVERHEAD: usize = 64;

/// What the log says of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallState {
    /// Sent, or about to be sent, to a target; may not be repeated.
    Intent {
        /// Digest of the call's body.
        digest: DigestId,
        /// Host that sends it.
        runner: HostId,
        /// The run.
        attempt: AttemptId,
    },
    /// At its end.
    Final {
        /// Digest of the call's body.
        digest: DigestId,
        /// Sequence number of the segment that holds the outcome.
        sequence: u64,
    },
}

/// States of all recorded calls, with a bounded memory of recent outcomes.
#[derive(Debug)]
pub struct CallTable {
    calls: HashMap<CallId, CallState>,
    recent: HashMap<CallId, Outcome>,
    order: VecDeque<CallId>,
    bytes: usize,
    max_bytes: usize,
}

impl CallTable {
    /// An empty table that remembers outcomes of at most `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            calls: HashMap::new(),
            recent: HashMap::new(),
            order: VecDeque::new(),
            bytes: 0,
            max_bytes,
        }
    }

    /// What is recorded of a call.
    #[must_use]
    pub fn state(&self, call: &CallId) -> Option<&CallState> {
        self.calls.get(call)
    }

    /// The outcome of a call, if it is remembered.
    #[must_use]
    pub fn cached_outcome(&self, call: &CallId) -> Option<&Outcome> {
        self.recent.get(call)
    }

    /// Number of recorded calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Applies one committed record.
    pub fn apply(&mut self, sequence: u64, record: &CallRecord) {
        match record {
            CallRecord::Intent { call, digest, runner, attempt } => {
                self.calls.entry(call.clone()).or_insert_with(|| CallState::Intent {
                    digest: digest.clone(),
                    runner: runner.clone(),
                    attempt: attempt.clone(),
                });
            }
            CallRecord::Withdrawn { call, attempt } => self.withdraw(call, attempt),
            CallRecord::Final { call, digest, outcome } => {
                if matches!(self.calls.get(call), Some(CallState::Final { .. })) {
                    return;
                }
                let state = CallState::Final { digest: digest.clone(), sequence };
                self.calls.insert(call.clone(), state);
                self.cache_outcome(call, outcome);
            }
        }
    }

    /// Keeps an outcome that was read back.
    pub fn cache_outcome(&mut self, call: &CallId, outcome: &Outcome) {
        if self.recent.insert(call.clone(), outcome.clone()).is_some() {
            return;
        }
        self.bytes += outcome_size(outcome);
        self.order.push_back(call.clone());
        while self.bytes > self.max_bytes && self.order.len() > 1 {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else { return };
        if let Some(outcome) = self.recent.remove(&oldest) {
            self.bytes -= outcome_size(&outcome);
        }
    }

    fn withdraw(&mut self, call: &CallId, withdrawn: &AttemptId) {
        if let Some(CallState::Intent { attempt, .. }) = self.calls.get(call)
            && attempt == withdrawn
        {
            self.calls.remove(call);
        }
    }
}

fn outcome_size(outcome: &Outcome) -> usize {
    let text = match outcome {
        Outcome::Answer { body, .. } => body.len(),
        Outcome::Failed(error) => error.message.len(),
        Outcome::Unknown => 0,
    };
    text + OUTCOME_OVERHEAD
}
