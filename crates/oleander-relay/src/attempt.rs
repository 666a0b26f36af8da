//! One request at one target.

use std::{future::pending, sync::Arc};

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use oleander_core::Span;
use oleander_routing::{Failure, Observation};
use tokio::time::{self, Instant};

use crate::{
    events::EventReader,
    pool::Granted,
    port::{Dispatch, Reply, ReplyBody, SendError, Targets},
    request::{Head, Request},
    sink::Sink,
};

/// Largest body of a failure that is kept to be passed on, in bytes.
const MAX_FAILURE_BYTES: usize = 64 << 10;

/// Longest time to read the body of a failure.
const FAILURE_TIME: Span = Span::from_secs(1);

/// How long a target may be silent before the request goes on elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Patience {
    /// Until the first byte; `None` for as long as the request lasts.
    pub first: Option<Span>,
    /// Between pieces; `None` for as long as the request lasts.
    pub pause: Option<Span>,
}

/// What is sent, and how its answer is read.
#[derive(Debug)]
pub struct Attempt<'a> {
    /// The request.
    pub request: &'a Arc<Request>,
    /// How long the target may work on it.
    pub budget: Option<Span>,
    /// Reads the stream over all attempts; `None` for an answer that is not a stream.
    pub events: Option<&'a mut EventReader>,
    /// Whether the head has been passed on by an attempt before.
    pub head_out: bool,
    /// Whether the body is collected before its head is passed on, so that it can be run again.
    pub collect: bool,
    /// How long silence is put up with.
    pub patience: Patience,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum Ended {
    /// The whole answer is passed on.
    Complete,
    /// No byte was sent.
    NotSent(String),
    /// The target says that it has not run the request.
    NotRun(Head),
    /// The target answered with a failure after it had run the request.
    Failed(Head, Bytes),
    /// The answer did not come, or not whole.
    Broken {
        /// What was seen.
        reason: String,
        /// Whether the head has been passed on, by this attempt or one before.
        head_out: bool,
    },
    /// Nobody waits for the answer.
    Closed,
}

/// Sends a request to the granted target and passes its answer on.
pub async fn attempt<T: Targets, S: Sink>(
    targets: &T,
    granted: &mut Granted,
    attempt: Attempt<'_>,
    sink: &mut S,
) -> Ended {
    let dispatch = Dispatch {
        request: Arc::clone(attempt.request),
        target: granted.target.clone(),
        budget: attempt.budget,
        resume: attempt.events.as_ref().and_then(|events| events.last()),
    };
    let sent = tokio::select! {
        sent = bounded(attempt.patience.first, targets.send(dispatch)) => sent,
        () = sink.closed() => return Ended::Closed,
    };
    let reply = match sent {
        Some(Ok(reply)) => reply,
        Some(Err(SendError::NotSent(reason))) => {
            granted.observe(Observation::Failed(Failure::Connect));
            return Ended::NotSent(reason);
        }
        Some(Err(SendError::NoAnswer(reason))) => {
            granted.observe(Observation::Failed(Failure::BrokenStream));
            return Ended::Broken { reason, head_out: attempt.head_out };
        }
        None => {
            granted.observe(Observation::Failed(Failure::Timeout));
            let reason = "no first byte in time".to_owned();
            return Ended::Broken { reason, head_out: attempt.head_out };
        }
    };
    if let Some(load) = &reply.load {
        granted.report(load.clone());
    }
    let ended = take_reply(granted, attempt, reply, sink).await;
    observe_end(granted, &ended);
    ended
}

fn observe_end(granted: &mut Granted, ended: &Ended) {
    let observation = match ended {
        Ended::Complete => Observation::Done,
        Ended::NotRun(head) if head.status == StatusCode::MISDIRECTED_REQUEST => {
            Observation::Failed(Failure::WrongTarget)
        }
        Ended::NotRun(_) => Observation::Failed(Failure::NoCapacity),
        Ended::Failed(head, _) => Observation::Failed(Failure::Status(head.status.as_u16())),
        Ended::NotSent(_) => Observation::Failed(Failure::Connect),
        Ended::Broken { .. } => Observation::Failed(Failure::BrokenStream),
        Ended::Closed => Observation::Cancelled,
    };
    granted.observe(observation);
}

async fn take_reply<B: ReplyBody, S: Sink>(
    granted: &mut Granted,
    attempt: Attempt<'_>,
    reply: Reply<B>,
    sink: &mut S,
) -> Ended {
    let Reply { head, not_run, mut body, .. } = reply;
    if not_run || !head.status.is_success() {
        let content = tokio::select! {
            content = bounded(Some(FAILURE_TIME), collect(&mut body, MAX_FAILURE_BYTES)) => {
                content.unwrap_or_else(|| Err("body of a failure took too long".to_owned()))
            }
            () = sink.closed() => return Ended::Closed,
        };
        return match content {
            Ok(_) if not_run => Ended::NotRun(head),
            Ok(content) => Ended::Failed(head, content),
            Err(_) if not_run => Ended::NotRun(head),
            Err(reason) => Ended::Broken { reason, head_out: attempt.head_out },
        };
    }
    match attempt.events {
        Some(events) => {
            let mut pass = Pass { granted, sink, head: (!attempt.head_out).then_some(head) };
            let ended = pass.stream(&mut body, events, attempt.patience.pause).await;
            events.restart();
            ended
        }
        None => Pass { granted, sink, head: Some(head) }.whole(&mut body, attempt.collect).await,
    }
}

/// Passes one answer on.
struct Pass<'a, S> {
    granted: &'a mut Granted,
    sink: &'a mut S,
    /// The head, until it is passed on.
    head: Option<Head>,
}

impl<S: Sink> Pass<'_, S> {
    async fn stream<B: ReplyBody>(
        &mut self,
        body: &mut B,
        events: &mut EventReader,
        pause: Option<Span>,
    ) -> Ended {
        loop {
            let chunk = tokio::select! {
                chunk = bounded(pause, body.chunk()) => chunk,
                () = self.sink.closed() => return Ended::Closed,
            };
            let bytes = match chunk {
                None => return self.broken("silent for too long"),
                Some(None) if events.at_border() => {
                    self.open();
                    return Ended::Complete;
                }
                Some(None) => return self.broken("ended inside an event"),
                Some(Some(Err(error))) => return self.broken(&error.0),
                Some(Some(Ok(bytes))) => bytes,
            };
            let pushed = events.push(&bytes);
            if !pushed.events.is_empty() {
                self.open();
                let whole = join(pushed.events.into_iter().map(|event| event.raw));
                if self.sink.chunk(whole).await.is_err() {
                    return Ended::Closed;
                }
            }
            if !pushed.in_order {
                return self.broken("an event is out of order");
            }
        }
    }

    /// Passes on an answer that is no stream; collects it first if it may have to run again.
    async fn whole<B: ReplyBody>(&mut self, body: &mut B, collected: bool) -> Ended {
        let mut held = Vec::new();
        loop {
            let chunk = tokio::select! {
                chunk = body.chunk() => chunk,
                () = self.sink.closed() => return Ended::Closed,
            };
            match chunk {
                None => break,
                Some(Err(error)) => return self.broken(&error.0),
                Some(Ok(bytes)) if collected => held.push(bytes),
                Some(Ok(bytes)) => {
                    self.open();
                    if self.sink.chunk(bytes).await.is_err() {
                        return Ended::Closed;
                    }
                }
            }
        }
        self.open();
        for bytes in held {
            if self.sink.chunk(bytes).await.is_err() {
                return Ended::Closed;
            }
        }
        Ended::Complete
    }

    fn open(&mut self) {
        if let Some(head) = self.head.take() {
            self.granted.observe(Observation::FirstOutput);
            self.sink.head(head);
        }
    }

    fn broken(&self, reason: &str) -> Ended {
        Ended::Broken { reason: reason.to_owned(), head_out: self.head.is_none() }
    }
}

/// Waits at most `bound`; `None` if it ran out.
async fn bounded<F: Future>(bound: Option<Span>, future: F) -> Option<F::Output> {
    let end = async {
        match bound {
            Some(bound) => time::sleep_until(Instant::now() + bound.to_duration()).await,
            None => pending().await,
        }
    };
    tokio::select! {
        output = future => Some(output),
        () = end => None,
    }
}

async fn collect<B: ReplyBody>(body: &mut B, most: usize) -> Result<Bytes, String> {
    let mut content = BytesMut::new();
    while let Some(chunk) = body.chunk().await {
        content.extend_from_slice(&chunk.map_err(|error| error.0)?);
        if content.len() > most {
            return Err("body of a failure is too long".to_owned());
        }
    }
    Ok(content.freeze())
}

fn join(mut parts: impl ExactSizeIterator<Item = Bytes>) -> Bytes {
    if parts.len() == 1 {
        return parts.next().unwrap_or_default();
    }
    let mut joined = BytesMut::new();
    parts.for_each(|part| joined.extend_from_slice(&part));
    joined.freeze()
}
