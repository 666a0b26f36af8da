//! Passes the body of a response on to its receiver.

use bytes::{Bytes, BytesMut};
use oleander_routing::Observation;
use tokio::time::Instant;

use crate::{
    attempt::AttemptOutcome,
    blocks::Blocks,
    events::{EventReader, MIN_EVENT_BYTES},
    host::Reservation,
    memory::{HeldBytes, LEFT_FOR_MEMORY},
    progress::Progress,
    request::ResponseHead,
    sink::{ResponseSink, SinkClosed},
    transport::ResponseBody,
};

/// Maximum size of a response that is not a stream; limits the memory that a target can make this
/// host use.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Maximum number of chunks of such a response; limits the work for chunks of a few bytes.
const MAX_BODY_CHUNKS: usize = 32 << 10;

/// Forwards one response.
pub(crate) struct Forwarder<'a, L, S> {
    lease: &'a mut L,
    sink: &'a mut S,
    progress: &'a Progress,
    /// The head, until it is forwarded.
    head: Option<ResponseHead>,
    held: HeldBytes,
}

impl<'a, L: Reservation, S: ResponseSink> Forwarder<'a, L, S> {
    /// A forwarder of a response to `sink`; `head` is `None` if the caller has an earlier one.
    pub(crate) const fn new(
        lease: &'a mut L,
        sink: &'a mut S,
        progress: &'a Progress,
        head: Option<ResponseHead>,
        held: HeldBytes,
    ) -> Self {
        Self { lease, sink, progress, head, held }
    }

    /// Forwards the sound events of a stream.
    pub(crate) async fn stream<B: ResponseBody>(
        &mut self,
        body: &mut B,
        events: &mut EventReader,
    ) -> AttemptOutcome {
        loop {
            let chunk = tokio::select! {
                chunk = body.next_chunk() => chunk,
                () = self.sink.closed() => return AttemptOutcome::Cancelled,
                () = self.held.left() => return self.leave(),
            };
            let bytes = match chunk {
                // A target that crashes may close its connection before the first event.
                None if !body.is_framed() && !self.lease.has_output() => {
                    return self.interrupted("connection ended before the first event");
                }
                None if events.is_complete() => {
                    self.send_head();
                    return AttemptOutcome::Complete;
                }
                None => {
                    events.record_end();
                    return self
                        .interrupted("stream ended inside or before an event that has begun");
                }
                Some(Err(error)) => {
                    if body.missing() >= MIN_EVENT_BYTES {
                        events.record_begun();
                    }
                    return self.interrupted(&error.0);
                }
                Some(Ok(bytes)) => bytes,
            };
            let parsed = events.push(&bytes);
            // Bytes that complete no event are no progress: a target that only drips is left.
            if !parsed.events.is_empty() {
                self.send_head();
                let complete = concat(parsed.events.into_iter().map(|event| event.raw));
                self.held.set(self.sink.held() + events.held_bytes() + complete.len());
                if self.forward(complete, events.last_id()).await.is_err() {
                    return AttemptOutcome::Cancelled;
                }
            }
            if !parsed.valid {
                return self.interrupted("event out of sequence or too long");
            }
            self.held.set(self.sink.held() + events.held_bytes());
        }
    }

    /// Forwards a response that is not a stream; reads it completely first if `buffer` is set.
    pub(crate) async fn body<B: ResponseBody>(
        &mut self,
        body: &mut B,
        buffer: bool,
    ) -> AttemptOutcome {
        let mut buffered = Blocks::default();
        let (mut size, mut chunks) = (0, 0);
        loop {
            let chunk = tokio::select! {
                chunk = body.next_chunk() => chunk,
                () = self.sink.closed() => return AttemptOutcome::Cancelled,
                () = self.held.left() => return self.leave(),
            };
            let bytes = match chunk {
                // As in a stream, a target that crashes may close its connection.
                None if size == 0 && !body.is_framed() => {
                    return self.interrupted("connection ended before the first byte");
                }
                None => break,
                Some(Err(error)) => return self.interrupted(&error.0),
                Some(Ok(bytes)) => bytes,
            };
            size += bytes.len();
            chunks += 1;
            if size > MAX_BODY_BYTES || chunks > MAX_BODY_CHUNKS {
                return self.interrupted("response too long");
            }
            if buffer {
                buffered.push(&bytes);
                self.held.set(size);
                continue;
            }
            self.send_head();
            if self.forward(bytes, None).await.is_err() {
                return AttemptOutcome::Cancelled;
            }
        }
        self.send_head();
        for part in buffered.into_parts() {
            if self.forward(part, None).await.is_err() {
                return AttemptOutcome::Cancelled;
            }
        }
        AttemptOutcome::Complete
    }

    async fn forward(&mut self, bytes: Bytes, last_event: Option<u64>) -> Result<(), SinkClosed> {
        self.lease.record_output();
        self.progress.record_output(Instant::now(), last_event);
        tokio::select! {
            biased;
            sent = self.sink.chunk(bytes) => sent?,
            // Its caller doesn't read, which says nothing about the target.
            () = self.held.left() => return Err(SinkClosed),
        }
        self.progress.record_forwarded(Instant::now());
        Ok(())
    }

    fn send_head(&mut self) {
        if let Some(head) = self.head.take() {
            self.lease.observe(Observation::FirstOutput);
            self.sink.head(head);
            self.progress.record_head_sent();
        }
    }

    /// Ends a response that holds most of the memory for all.
    fn leave(&mut self) -> AttemptOutcome {
        self.sink.discard();
        self.interrupted(LEFT_FOR_MEMORY)
    }

    fn interrupted(&self, reason: &str) -> AttemptOutcome {
        AttemptOutcome::Interrupted { reason: reason.to_owned(), head_sent: self.head.is_none() }
    }
}

fn concat(mut parts: impl ExactSizeIterator<Item = Bytes>) -> Bytes {
    if parts.len() == 1 {
        return parts.next().unwrap_or_default();
    }
    let mut bytes = BytesMut::new();
    parts.for_each(|part| bytes.extend_from_slice(&part));
    bytes.freeze()
}
