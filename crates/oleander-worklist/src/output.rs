//! Output of a running item.

use std::sync::Arc;

use bytes::Bytes;
use oleander_relay::{ResponseHead, ResponseSink, SinkClosed, event_data};
use tokio::{
    sync::{Notify, watch},
    time::{self, Instant},
};

use crate::{item::Progress, size::escaped_len};

/// How much a run may write, and for how long.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunLimits {
    /// Maximum size of the whole output in JSON, in bytes.
    pub(crate) output: usize,
    /// Maximum number of events, if the item states how many tokens it asks for.
    pub(crate) events: Option<u64>,
    /// Time at which the run ends in any case.
    pub(crate) end: Instant,
}

/// Appends the data of a stream's events to an item's output.
pub(crate) struct OutputSink {
    pub(crate) output: Vec<u8>,
    pub(crate) event_count: u64,
    /// Size of the output in JSON, in bytes.
    size: usize,
    limits: RunLimits,
    /// Whether the output was discarded, so that the item starts again.
    pub(crate) is_discarded: bool,
    stop: watch::Receiver<bool>,
    preempted: Arc<Notify>,
}

impl OutputSink {
    /// A sink that goes on with the output of earlier runs.
    pub(crate) fn new(progress: &mut Progress, limits: RunLimits) -> Self {
        let output = std::mem::take(&mut progress.output);
        let size = escaped_len(&String::from_utf8_lossy(&output));
        Self {
            output,
            event_count: progress.event_count,
            size,
            limits,
            is_discarded: false,
            stop: watch::Sender::new(false).subscribe(),
            preempted: Arc::default(),
        }
    }

    /// Sets the signals that end the run early.
    #[must_use]
    pub(crate) fn stopped_by(
        mut self,
        stop: watch::Receiver<bool>,
        preempted: Arc<Notify>,
    ) -> Self {
        (self.stop, self.preempted) = (stop, preempted);
        self
    }

    /// Whether the output was larger than a result can be, or than the item asks for.
    pub(crate) fn is_oversized(&self) -> bool {
        let has_more_events = self.limits.events.is_some_and(|max| self.event_count > max);
        self.size > self.limits.output || has_more_events
    }

    fn append(&mut self, data: &[u8]) {
        if self.event_count > 0 {
            self.output.push(b'\n');
            self.size += escaped_len("\n");
        }
        self.event_count += 1;
        self.size += escaped_len(&String::from_utf8_lossy(data));
        if self.is_oversized() {
            self.output = Vec::new();
        } else {
            self.output.extend_from_slice(data);
        }
    }
}

impl ResponseSink for OutputSink {
    fn head(&mut self, _: ResponseHead) {}

    async fn chunk(&mut self, bytes: Bytes) -> Result<(), SinkClosed> {
        for data in event_data(&bytes) {
            self.append(&data);
            if self.is_oversized() {
                return Err(SinkClosed);
            }
        }
        Ok(())
    }

    fn held(&self) -> usize {
        self.output.len()
    }

    fn discard(&mut self) {
        self.output = Vec::new();
        self.is_discarded = true;
    }

    async fn closed(&self) {
        let mut stop = self.stop.clone();
        // An error means that the job is no longer loaded, which stops the run as well.
        tokio::select! {
            _ = stop.wait_for(|stopped| *stopped) => {}
            () = self.preempted.notified() => {}
            () = time::sleep_until(self.limits.end) => {}
        }
    }
}
