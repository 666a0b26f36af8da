//! States of the calls that are recorded in a shard's log.

use std::collections::{HashMap, VecDeque};

use oleander_core::{AttemptId, CallId, DigestId, HostId};

use crate::call::{CallRecord, Outcome};

/// Estimated size of a cached outcome without its text.
const OUTCOME_OVERHEAD_BYTES: usize = 64;

/// Recorded state of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallState {
    /// May have been sent to a target, and may not be repeated.
    Intent {
        /// Digest of the call's body.
        digest: DigestId,
        /// Host that runs it.
        runner: HostId,
        /// Id of the run.
        attempt: AttemptId,
    },
    /// Ended.
    Final {
        /// Digest of the call's body.
        digest: DigestId,
        /// Sequence number of the segment that holds the outcome.
        sequence: u64,
    },
}

/// States of all recorded calls, with a bounded cache of outcomes.
#[derive(Debug)]
pub struct CallTable {
    calls: HashMap<CallId, CallState>,
    cache: HashMap<CallId, Outcome>,
    cache_order: VecDeque<CallId>,
    used_bytes: usize,
    max_bytes: usize,
}

impl CallTable {
    /// An empty table that caches outcomes up to `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            calls: HashMap::new(),
            cache: HashMap::new(),
            cache_order: VecDeque::new(),
            used_bytes: 0,
            max_bytes,
        }
    }

    /// The recorded state of a call.
    #[must_use]
    pub fn state(&self, call: &CallId) -> Option<&CallState> {
        self.calls.get(call)
    }

    /// The outcome of a call, if it is cached.
    #[must_use]
    pub fn cached_outcome(&self, call: &CallId) -> Option<&Outcome> {
        self.cache.get(call)
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

    /// Caches an outcome, and evicts the oldest ones if the cache is full.
    pub fn cache_outcome(&mut self, call: &CallId, outcome: &Outcome) {
        if self.cache.insert(call.clone(), outcome.clone()).is_some() {
            return;
        }
        self.used_bytes += outcome_size(outcome);
        self.cache_order.push_back(call.clone());
        while self.used_bytes > self.max_bytes && self.cache_order.len() > 1 {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.cache_order.pop_front() else { return };
        if let Some(outcome) = self.cache.remove(&oldest) {
            self.used_bytes -= outcome_size(&outcome);
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
    text + OUTCOME_OVERHEAD_BYTES
}
