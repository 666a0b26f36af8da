//! Reads a streamed response and compares each chunk with the expected text.

use std::time::Instant;

use eventsource_stream::{Event, Eventsource};
use futures_util::StreamExt;
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::load::outcome::{Failure, FailureKind, Outcome, Timing};

const END_MARKER: &str = "[DONE]";
const ERROR_EVENT: &str = "error";

/// Expected response to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ExpectedResponse {
    pub(super) request_id: String,
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

/// Reads one response; its state remains available when a timeout cancels the read.
#[derive(Debug)]
pub(super) struct StreamReader {
    expected: ExpectedResponse,
    sent_at: Instant,
    last_token: Option<Instant>,
    timing: Timing,
    matched: usize,
    finish_seen: bool,
}

impl StreamReader {
    pub(super) fn new(expected: ExpectedResponse, sent_at: Instant) -> Self {
        Self {
            expected,
            sent_at,
            last_token: None,
            timing: Timing::default(),
            matched: 0,
            finish_seen: false,
        }
    }

    pub(super) fn request_id(&self) -> &str {
        &self.expected.request_id
    }

    /// When the first attempt was sent.
    pub(super) const fn sent_at(&self) -> Instant {
        self.sent_at
    }

    /// Reads to the end marker, or to the first error or mismatch.
    pub(super) async fn read(&mut self, body: Incoming) -> Outcome {
        let mut events = BodyDataStream::new(body).eventsource();
        while let Some(event) = events.next().await {
            let Ok(event) = event else {
                return self.failed(FailureKind::ConnectionLost);
            };
            if let Some(outcome) = self.handle_event(&event) {
                return outcome;
            }
        }
        self.failed(FailureKind::Truncated)
    }

    /// Outcome of a failure at the current position of the stream.
    pub(super) fn failed(&self, kind: FailureKind) -> Outcome {
        Outcome::Failed(Failure { kind, mid_stream: self.timing.tokens > 0 })
    }

    fn handle_event(&mut self, event: &Event) -> Option<Outcome> {
        if event.event == ERROR_EVENT {
            let code = error_code(&event.data);
            return Some(self.failed(FailureKind::StreamError(code)));
        }
        if event.data == END_MARKER {
            return Some(self.finish());
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else {
            return Some(self.mismatch(&format!("invalid chunk: {}", event.data)));
        };
        self.handle_chunk(chunk)
    }

    fn handle_chunk(&mut self, chunk: Chunk) -> Option<Outcome> {
        if chunk.id != self.expected.request_id {
            return Some(self.mismatch(&format!("chunk has request id {}", chunk.id)));
        }
        let choice = chunk.choices.into_iter().next()?;
        self.finish_seen |= choice.finish_reason.is_some();
        let content = choice.delta.content.filter(|content| !content.is_empty())?;
        if !self.expected.text[self.matched..].starts_with(&content) {
            return Some(
                self.mismatch(&format!("unexpected token {}: {content}", self.timing.tokens)),
            );
        }
        self.matched += content.len();
        self.record_token(Instant::now());
        None
    }

    fn record_token(&mut self, now: Instant) {
        self.timing.tokens += 1;
        match self.last_token.replace(now) {
            None => self.timing.first_token_us = micros_between(self.sent_at, now),
            Some(last) => self.timing.gaps_us.push(micros_between(last, now)),
        }
    }

    fn finish(&mut self) -> Outcome {
        if self.matched != self.expected.text.len() {
            return self.mismatch("end marker before the end of the expected text");
        }
        if !self.finish_seen {
            return self.mismatch("end marker without a finish reason");
        }
        self.timing.total_us = micros_between(self.sent_at, Instant::now());
        Outcome::Complete(std::mem::take(&mut self.timing))
    }

    fn mismatch(&self, detail: &str) -> Outcome {
        Outcome::Wrong(format!("{}: {detail}", self.expected.request_id))
    }
}

pub(super) fn micros_between(from: Instant, to: Instant) -> u64 {
    u64::try_from(to.saturating_duration_since(from).as_micros()).unwrap_or(u64::MAX)
}

fn error_code(data: &str) -> String {
    let body: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
    body["error"]["code"].as_str().unwrap_or("-").to_owned()
}
