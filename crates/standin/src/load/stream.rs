//! Reads a streamed answer and compares it with the expected one as it comes.

use std::time::Instant;

use eventsource_stream::{Event, Eventsource};
use futures_util::StreamExt;
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::load::outcome::{Failure, FailureKind, Outcome, Timing};

const END_MARKER: &str = "[DONE]";
const ERROR_EVENT: &str = "error";

/// What the answer to a request must be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Expected {
    pub(super) id: String,
    pub(super) text: String,
}

#[derive(Debug, Serialize, Deserialize)]
struct Chunk {
    id: String,
    choices: Vec<Choice>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct Delta {
    content: Option<String>,
}

/// Reads one answer; keeps what came so far, also when the call is given up.
#[derive(Debug)]
pub(super) struct StreamReader {
    expected: Expected,
    sent: Instant,
    last: Option<Instant>,
    timing: Timing,
    matched: usize,
    finished: bool,
}

impl StreamReader {
    pub(super) fn new(expected: Expected, sent: Instant) -> Self {
        Self { expected, sent, last: None, timing: Timing::default(), matched: 0, finished: false }
    }

    /// Id of the request.
    pub(super) fn id(&self) -> &str {
        &self.expected.id
    }

    /// When the request was first sent.
    pub(super) const fn sent(&self) -> Instant {
        self.sent
    }

    /// Reads to the end marker or the first fault.
    pub(super) async fn read(&mut self, body: Incoming) -> Outcome {
        let mut events = BodyDataStream::new(body).eventsource();
        while let Some(event) = events.next().await {
            let Ok(event) = event else {
                return self.failed(FailureKind::Broken);
            };
            if let Some(outcome) = self.take_event(&event) {
                return outcome;
            }
        }
        self.failed(FailureKind::NoEnd)
    }

    /// The call failed with what has come so far.
    pub(super) fn failed(&self, kind: FailureKind) -> Outcome {
        Outcome::Failed(Failure { kind, begun: self.timing.tokens > 0 })
    }

    fn take_event(&mut self, event: &Event) -> Option<Outcome> {
        if event.event == ERROR_EVENT {
            let code = error_code(&event.data);
            return Some(self.failed(FailureKind::StreamError(code)));
        }
        if event.data == END_MARKER {
            return Some(self.end());
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            return Some(self.wrong(&format!("not a chunk: {}", event.data)));
        };
        self.take_chunk(chunk)
    }

    fn take_chunk(&mut self, chunk: Chunk) -> Option<Outcome> {
        if chunk.id != self.expected.id {
            return Some(self.wrong(&format!("chunk of request {}", chunk.id)));
        }
        let choice = chunk.choices.into_iter().next()?;
        self.finished |= choice.finish_reason.is_some();
        let content = choice.delta.content.filter(|content| !content.is_empty())?;
        if !self.expected.text[self.matched..].starts_with(&content) {
            return Some(self.wrong(&format!("token {} differs: {content}", self.timing.tokens)));
        }
        self.matched += content.len();
        self.take_token(Instant::now());
        None
    }

    fn take_token(&mut self, now: Instant) {
        self.timing.tokens += 1;
        match self.last.replace(now) {
            None => self.timing.first_us = micros(self.sent, now),
            Some(last) => self.timing.gaps_us.push(micros(last, now)),
        }
    }

    fn end(&mut self) -> Outcome {
        if self.matched != self.expected.text.len() {
            return self.wrong("end marker after part of the answer");
        }
        if !self.finished {
            return self.wrong("end marker without a finish reason");
        }
        self.timing.whole_us = micros(self.sent, Instant::now());
        Outcome::Whole(std::mem::take(&mut self.timing))
    }

    fn wrong(&self, what: &str) -> Outcome {
        Outcome::Wrong(format!("{}: {what}", self.expected.id))
    }
}

pub(super) fn micros(from: Instant, to: Instant) -> u64 {
    u64::try_from(to.saturating_duration_since(from).as_micros()).unwrap_or(u64::MAX)
}

fn error_code(data: &str) -> String {
    let body: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
    body["error"]["code"].as_str().unwrap_or("-").to_owned()
}
