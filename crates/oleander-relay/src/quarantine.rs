//! The quarantine of one service, shared by its requests and the exchange between hosts.

use std::{collections::HashSet, sync::Arc};

use oleander_core::{HostId, PromptPart, Span, Time, hash};
use oleander_host::clock;
use oleander_quarantine::{
    BlockNews, LastCrash, PartSet, Quarantine, QuarantineNews, RequestParts, Standing, TargetRun,
};
use parking_lot::Mutex;
use tokio::sync::Notify;

/// Slots of time among which hosts spread their runs of a request that may only run alone.
const ALONE_SLOTS: u64 = 8;
/// Duration of a slot, in which a target crashes and all hosts learn of it.
const ALONE_SLOT: Span = Span::from_millis(150);

/// Time that a host waits before it runs a request alone, so that copies at several hosts run one
/// after the other.
pub(crate) fn alone_delay(host: &HostId, content: PromptPart) -> Span {
    let slot = hash::hash_parts(&[host.as_str(), &content.to_string()]) % ALONE_SLOTS;
    ALONE_SLOT * slot
}

/// The quarantine of one service.
#[derive(Debug)]
pub struct SharedQuarantine {
    state: Mutex<Quarantine>,
    /// Signals the requests of this host that wait for a target.
    waiting: Arc<Notify>,
    /// Signals that other hosts have something to learn.
    news: Arc<Notify>,
    /// Contents of this host's requests that run alone.
    alone: Arc<Mutex<HashSet<PromptPart>>>,
}

/// A run of a request alone at this host; ends on drop.
#[derive(Debug)]
pub(crate) struct AloneRun {
    content: PromptPart,
    alone: Arc<Mutex<HashSet<PromptPart>>>,
    waiting: Arc<Notify>,
}

impl Drop for AloneRun {
    fn drop(&mut self) {
        self.alone.lock().remove(&self.content);
        self.waiting.notify_waiters();
    }
}

impl SharedQuarantine {
    pub(crate) fn new(waiting: Arc<Notify>, news: Arc<Notify>) -> Self {
        Self { state: Mutex::default(), waiting, news, alone: Arc::default() }
    }

    /// Begins to run a request alone; `None` while the same one runs at this host.
    pub(crate) fn run_alone(&self, content: PromptPart) -> Option<AloneRun> {
        let (alone, waiting) = (Arc::clone(&self.alone), Arc::clone(&self.waiting));
        let is_first = alone.lock().insert(content);
        is_first.then_some(AloneRun { content, alone, waiting })
    }

    /// Whether a request with these parts may be sent.
    pub fn standing(&self, request: &RequestParts) -> Standing {
        self.state.lock().standing(clock::steady(), request)
    }

    /// Whether any crash or block is known.
    pub fn is_empty(&self) -> bool {
        self.state.lock().is_empty()
    }

    /// Whether this run of a target crashed less than `age` ago.
    pub(crate) fn has_crashed(&self, run: &TargetRun, age: Span) -> bool {
        self.state.lock().has_crashed(clock::steady(), run, age)
    }

    /// The last crash of a listed run of a target, or of one that followed it.
    pub(crate) fn last_crash(&self, run: &TargetRun) -> Option<LastCrash> {
        self.state.lock().last_crash(run)
    }

    /// The run that a target is in, by the run that is listed.
    pub(crate) fn run_after(&self, listed: &TargetRun) -> TargetRun {
        self.state.lock().run_after(clock::steady(), listed)
    }

    /// Records output of a run for a request that was sent at `sent`.
    pub(crate) fn record_life(&self, run: &TargetRun, sent: Time) {
        self.state.lock().record_life(clock::steady(), run, sent);
        self.signal();
    }

    /// Requests that had no output from a crashed run of a target, as far as known.
    pub(crate) fn suspects(&self, run: &TargetRun) -> Vec<PartSet> {
        self.state.lock().suspects(run)
    }

    /// Records that a target sent output for a request.
    pub(crate) fn record_output(&self, request: &RequestParts) {
        self.state.lock().record_output(clock::steady(), request);
        self.signal();
    }

    /// Records that a target broke off before it sent output for a request.
    pub(crate) fn record_break(&self, run: &TargetRun, request: &RequestParts) {
        self.state.lock().record_break(clock::steady(), run, request);
        self.signal();
    }

    /// Records that a run of a target has ended without notice; returns whether that is new.
    pub(crate) fn record_crash(&self, run: &TargetRun) -> bool {
        let is_new = self.state.lock().record_crash(clock::steady(), run);
        self.signal();
        is_new
    }

    /// Records that another run has followed this one; returns whether a crash is new.
    pub(crate) fn record_replaced(&self, run: &TargetRun) -> bool {
        let is_new = self.state.lock().record_replaced(clock::steady(), run);
        self.signal();
        is_new
    }

    /// Records that a target whose crash was reported accepts connections of this host.
    pub(crate) fn record_reached(&self, run: &TargetRun) {
        self.state.lock().record_reached(run);
        self.waiting.notify_waiters();
    }

    /// Applies what another host knows; returns the runs whose crashes are new.
    pub fn merge(&self, news: QuarantineNews) -> Vec<TargetRun> {
        let blocks = news.blocks.iter().filter(|block| block.count > 0);
        let blocks: Vec<PartSet> = blocks.map(|block| block.parts.clone()).collect();
        let mut state = self.state.lock();
        let mut reported = Vec::new();
        for crash in news.crashes.iter().filter(|crash| !state.knows_crash(&crash.run)) {
            log::info!(target:% = crash.run.target, started:? = crash.run.started,
                suspects:? = crash.suspects; "another host reports a crash");
            reported.push(crash.run.clone());
        }
        let known = state.blocks();
        let is_new = state.merge(clock::steady(), news);
        drop(state);
        if !is_new {
            return reported;
        }
        for parts in blocks.iter().filter(|parts| !known.contains(parts)) {
            log::warn!(parts:% = parts; "another host has blocked parts of prompts");
        }
        self.waiting.notify_waiters();
        self.signal();
        reported
    }

    /// What other hosts have to learn, since the last call.
    pub fn take_news(&self) -> QuarantineNews {
        self.state.lock().take_news(clock::steady())
    }

    /// All that other hosts have to know.
    pub fn snapshot(&self) -> QuarantineNews {
        self.state.lock().snapshot(clock::steady())
    }

    /// Blocks that this host has begun, since the last call.
    pub fn take_begun(&self) -> Vec<BlockNews> {
        self.state.lock().take_begun(clock::steady())
    }

    /// Wakes whoever depends on the state, if it has changed.
    fn signal(&self) {
        if self.state.lock().has_news() {
            self.waiting.notify_waiters();
            self.news.notify_one();
        }
    }
}
