//! Runs in flight on this host, and their readers.
//!
//! A run is written by one task and read by any number of callers, from the first token on. The
//! run goes on when its readers leave.

use std::{collections::HashMap, sync::Arc};

use oleander_core::{AttemptId, CallId, DigestId};
use oleander_ledger::Outcome;
use parking_lot::Mutex;
use tokio::sync::watch;

/// One run of one call.
#[derive(Debug)]
pub(crate) struct Flight {
    attempt: AttemptId,
    digest: DigestId,
    state: Mutex<State>,
    version: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    tokens: Vec<String>,
    end: Option<Outcome>,
}

/// What a reader finds from its position on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct News {
    /// Tokens from the position on.
    pub(crate) tokens: Vec<String>,
    /// The outcome that counts, once known.
    pub(crate) end: Option<Outcome>,
}

impl Flight {
    fn new(digest: DigestId, attempt: AttemptId) -> Self {
        Self { attempt, digest, state: Mutex::default(), version: watch::Sender::new(0) }
    }

    /// The run's attempt.
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

    /// Ends the run; the first outcome counts.
    pub(crate) fn end(&self, outcome: Outcome) {
        self.state.lock().end.get_or_insert(outcome);
        self.version.send_modify(|version| *version += 1);
    }

    /// All tokens so far.
    pub(crate) fn text(&self) -> String {
        self.state.lock().tokens.concat()
    }

    /// Number of tokens so far.
    pub(crate) fn len(&self) -> u64 {
        self.state.lock().tokens.len() as u64
    }

    /// What stands from `from` on.
    pub(crate) fn news(&self, from: u64) -> News {
        let state = self.state.lock();
        let from = usize::try_from(from).unwrap_or(usize::MAX).min(state.tokens.len());
        News { tokens: state.tokens[from..].to_vec(), end: state.end.clone() }
    }

    /// Waits until there is something from `from` on, or the run ended.
    pub(crate) async fn wait(&self, from: u64) -> News {
        let mut versions = self.version.subscribe();
        loop {
            versions.borrow_and_update();
            let news = self.news(from);
            if !news.tokens.is_empty() || news.end.is_some() {
                return news;
            }
            if versions.changed().await.is_err() {
                return news;
            }
        }
    }
}

/// All runs of this host.
#[derive(Debug, Default)]
pub(crate) struct Flights {
    flights: Mutex<HashMap<CallId, Arc<Flight>>>,
}

impl Flights {
    /// The run of a call, if there is one here.
    pub(crate) fn get(&self, call: &CallId) -> Option<Arc<Flight>> {
        self.flights.lock().get(call).cloned()
    }

    /// The run of a call, and whether it was started now.
    pub(crate) fn open(
        &self,
        call: &CallId,
        digest: &DigestId,
        attempt: AttemptId,
    ) -> (Arc<Flight>, bool) {
        let mut flights = self.flights.lock();
        if let Some(flight) = flights.get(call) {
            return (Arc::clone(flight), false);
        }
        let flight = Arc::new(Flight::new(digest.clone(), attempt));
        flights.insert(call.clone(), Arc::clone(&flight));
        (flight, true)
    }

    /// Forgets a run.
    pub(crate) fn remove(&self, call: &CallId, attempt: &AttemptId) {
        let mut flights = self.flights.lock();
        if flights.get(call).is_some_and(|flight| flight.attempt() == attempt) {
            flights.remove(call);
        }
    }

    /// Number of runs, ended ones that are still readable included.
    pub(crate) fn len(&self) -> usize {
        self.flights.lock().len()
    }

    /// Number of runs that have not ended.
    pub(crate) fn running(&self) -> usize {
        let flights = self.flights.lock();
        flights.values().filter(|flight| flight.state.lock().end.is_none()).count()
    }
}
