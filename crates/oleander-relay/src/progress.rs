//! Progress of a response, and the detection of a target that makes none.

use std::{future::poll_fn, task::Poll};

use oleander_core::Span;
use parking_lot::Mutex;
use tokio::time::{self, Instant};

use crate::attempt::AttemptTimeouts;

/// The progress of one response, shared by what forwards it and what watches it.
#[derive(Debug)]
pub(crate) struct Progress {
    state: Mutex<State>,
}

#[derive(Debug, Clone, Copy)]
struct State {
    /// Time of the last progress.
    at: Instant,
    /// Whether the response head has arrived.
    has_head: bool,
    /// Whether the caller has the head of this response or of an earlier one.
    head_sent: bool,
    /// Whether the response waits for a caller that reads slowly.
    blocked: bool,
    /// Id of the last event read.
    last_event: Option<u64>,
}

impl Progress {
    /// Progress of a response that has not begun.
    pub(crate) const fn new(now: Instant, head_sent: bool, last_event: Option<u64>) -> Self {
        let state = State { at: now, has_head: false, head_sent, blocked: false, last_event };
        Self { state: Mutex::new(state) }
    }

    /// Records that the response head has arrived.
    pub(crate) fn record_head(&self, now: Instant) {
        let mut state = self.state.lock();
        state.at = now;
        state.has_head = true;
    }

    /// Records that the head was forwarded to the caller.
    pub(crate) fn record_head_sent(&self) {
        self.state.lock().head_sent = true;
    }

    /// Records that output was read, which for a stream means complete events.
    ///
    /// What follows is no silence of the target until the output is forwarded.
    pub(crate) fn record_output(&self, now: Instant, last_event: Option<u64>) {
        let mut state = self.state.lock();
        state.at = now;
        state.blocked = true;
        state.last_event = last_event;
    }

    /// Records that the output was forwarded.
    pub(crate) fn record_forwarded(&self, now: Instant) {
        let mut state = self.state.lock();
        state.at = now;
        state.blocked = false;
    }

    /// Time of the last progress.
    pub(crate) fn last(&self) -> Instant {
        self.state.lock().at
    }

    /// Whether the response head has arrived.
    pub(crate) fn has_head(&self) -> bool {
        self.state.lock().has_head
    }

    /// Whether the caller has a head.
    pub(crate) fn head_sent(&self) -> bool {
        self.state.lock().head_sent
    }

    /// Whether the caller has output of this response or of an earlier one.
    pub(crate) fn has_output(&self) -> bool {
        let state = self.state.lock();
        state.head_sent || state.last_event.is_some()
    }

    /// Id of the last event read.
    pub(crate) fn last_event(&self) -> Option<u64> {
        self.state.lock().last_event
    }

    /// What is missing and for how long, for logs; longer than the timeout if this process paused.
    pub(crate) fn describe(&self, now: Instant) -> String {
        let missing = if self.has_head() { "event" } else { "response" };
        let silent = now.duration_since(self.last()).as_millis();
        format!("no {missing} in time, silent for {silent} ms")
    }

    /// Completes once there was no progress for the time limit, counted from `checked` at the
    /// earliest.
    ///
    /// Must be polled by the task that polls the response, after it.
    pub(crate) async fn stalled(&self, timeouts: AttemptTimeouts, checked: Instant) {
        loop {
            let state = *self.state.lock();
            let Some(limit) = state.limit(timeouts) else {
                self.resumed(state.at).await;
                continue;
            };
            let end = state.at.max(checked) + limit.to_duration();
            if Instant::now() >= end {
                return;
            }
            // The limit changes with the progress.
            tokio::select! {
                () = time::sleep_until(end) => {}
                () = self.resumed(state.at) => {}
            }
        }
    }

    /// Completes once there was progress after `mark`.
    ///
    /// Must be polled by the task that polls the response, after it.
    pub(crate) async fn resumed(&self, mark: Instant) {
        poll_fn(|_| if self.last() > mark { Poll::Ready(()) } else { Poll::Pending }).await;
    }
}

impl State {
    /// How long there may be no progress; `None` for no limit.
    const fn limit(self, timeouts: AttemptTimeouts) -> Option<Span> {
        match self {
            Self { blocked: true, .. } => None,
            Self { has_head: true, .. } => timeouts.idle,
            Self { .. } => timeouts.first_byte,
        }
    }
}
