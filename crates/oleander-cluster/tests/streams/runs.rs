//! Targets that crash and start again under their names, with another version of their software.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use oleander_core::TargetId;
use oleander_relay::{
    BodyError, Dispatch, Reach, ResponseBody, ResponseHead, SendError, TargetEntry, TargetResponse,
    TargetTransport,
};
use parking_lot::Mutex;
use tokio::{sync::watch, time::sleep};

/// Events of each stream, and the time between two of them.
pub(crate) const EVENTS: u64 = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(25);

/// A run of a target.
#[derive(Debug)]
struct Run {
    version: String,
    running: watch::Sender<bool>,
}

/// Targets of which each run has a version of its own.
#[derive(Debug, Default)]
pub(crate) struct RunTargets {
    runs: Mutex<HashMap<TargetId, Run>>,
    /// Streams that were sent to targets.
    pub(crate) sent: AtomicU64,
}

impl RunTargets {
    /// Starts the targets, each with the version of its entry.
    pub(crate) fn of(listed: &[TargetEntry]) -> Arc<Self> {
        let targets = Self::default();
        listed.iter().for_each(|entry| targets.start(&entry.id, &entry.version.to_string()));
        Arc::new(targets)
    }

    /// Starts a target with a version.
    pub(crate) fn start(&self, target: &TargetId, version: &str) {
        let run = Run { version: version.to_owned(), running: watch::Sender::new(true) };
        self.runs.lock().insert(target.clone(), run);
    }

    /// Ends a target without notice, with all its streams.
    pub(crate) fn crash(&self, target: &TargetId) {
        if let Some(run) = self.runs.lock().remove(target) {
            run.running.send_replace(false);
        }
    }
}

/// The body of a stream.
#[derive(Debug)]
pub(crate) struct RunBody {
    version: String,
    running: watch::Receiver<bool>,
    next: u64,
}

impl ResponseBody for RunBody {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.next > EVENTS {
            return None;
        }
        tokio::select! {
            _ = self.running.wait_for(|running| !running) => {
                return Some(Err(BodyError("end of file".to_owned())));
            }
            () = sleep(EVENT_INTERVAL) => {}
        }
        let event = format!("id: {0}\ndata: {1} {0}\n\n", self.next, self.version);
        self.next += 1;
        Some(Ok(Bytes::from(event)))
    }
}

impl TargetTransport for RunTargets {
    type Body = RunBody;

    async fn send(&self, dispatch: Dispatch) -> Result<TargetResponse<RunBody>, SendError> {
        let runs = self.runs.lock();
        let Some(run) = runs.get(&dispatch.target.id) else {
            return Err(SendError::Refused("connection refused".to_owned()));
        };
        self.sent.fetch_add(1, Ordering::Relaxed);
        let next = dispatch.resume_after.unwrap_or(0) + 1;
        let (version, running) = (run.version.clone(), run.running.subscribe());
        let head = ResponseHead { status: StatusCode::OK, headers: HeaderMap::new() };
        Ok(TargetResponse::new(head, RunBody { version, running, next }))
    }

    async fn connect(&self, target: &TargetEntry) -> Reach {
        let is_running = self.runs.lock().contains_key(&target.id);
        if is_running { Reach::Accepted } else { Reach::Refused }
    }
}
