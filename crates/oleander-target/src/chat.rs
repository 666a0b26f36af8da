//! Streams of chat completions.
//!
//! A stream is complete only if each chunk carries the id of the request, no token index is
//! missing, and the end marker has arrived after a finish reason. Tokens that are already known are
//! skipped.

use std::{
    fmt,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use eventsource_stream::{EventStream, Eventsource};
use futures_util::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use oleander_http::CountedBody;
use serde::{Deserialize, Serialize};

use crate::{client::Timeouts, error::TargetError};

const END_MARKER: &str = "[DONE]";
/// Maximum size of an event, which has one token; limits the memory that a target can make this
/// host use.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Token counts of a completion.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    #[serde(default)]
    pub completion_tokens: u64,
    /// Sum of both.
    #[serde(default)]
    pub total_tokens: u64,
}

/// An event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChatEvent {
    /// The next token.
    Token(String),
    /// The stream is complete.
    End {
        /// Reason why the engine stopped.
        finish_reason: String,
        /// Token counts.
        usage: Usage,
    },
}

#[derive(Debug, Deserialize)]
struct Chunk {
    id: String,
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    delta: Delta,
    index_token: Option<u64>,
    finish_reason: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

type Events = EventStream<LimitedBody>;

/// A body that fails once an event exceeds [`MAX_EVENT_BYTES`].
struct LimitedBody {
    body: BodyDataStream<CountedBody<Incoming>>,
    /// Bytes read since the last event.
    pending: Arc<AtomicUsize>,
}

impl Stream for LimitedBody {
    type Item = Result<Bytes, String>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let chunk = self.body.poll_next_unpin(context);
        chunk.map(|chunk| chunk.map(|chunk| self.check(chunk.map_err(|e| e.to_string())?)))
    }
}

impl LimitedBody {
    fn check(&self, chunk: Bytes) -> Result<Bytes, String> {
        let before = self.pending.fetch_add(chunk.len(), Ordering::Relaxed);
        if before + chunk.len() > MAX_EVENT_BYTES {
            return Err("event is too long".to_owned());
        }
        Ok(chunk)
    }
}

/// The response stream of a chat completion.
pub struct ChatStream {
    events: Pin<Box<Events>>,
    /// Bytes read since the last event.
    pending: Arc<AtomicUsize>,
    request_id: String,
    next_index: u64,
    finish: Option<(String, Usage)>,
    timeout: Duration,
    idle_timeout: Duration,
}

impl fmt::Debug for ChatStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ChatStream")
            .field("request_id", &self.request_id)
            .field("next_index", &self.next_index)
            .finish_non_exhaustive()
    }
}

impl ChatStream {
    pub(crate) fn new(
        body: CountedBody<Incoming>,
        request_id: &str,
        resume_from: u64,
        timeouts: Timeouts,
    ) -> Self {
        let pending = Arc::new(AtomicUsize::new(0));
        let body = LimitedBody { body: BodyDataStream::new(body), pending: Arc::clone(&pending) };
        Self {
            events: Box::pin(body.eventsource()),
            pending,
            request_id: request_id.to_owned(),
            next_index: resume_from,
            finish: None,
            timeout: timeouts.first_byte,
            idle_timeout: timeouts.idle,
        }
    }

    /// Number of tokens so far, including those received before the stream was resumed.
    #[must_use]
    pub const fn token_count(&self) -> u64 {
        self.next_index
    }

    /// Waits for the next event.
    ///
    /// # Errors
    ///
    /// Fails if the stream is interrupted, sends nothing within a timeout, or belongs to another
    /// request.
    pub async fn next(&mut self) -> Result<ChatEvent, TargetError> {
        loop {
            let data = next_data(&mut self.events, self.timeout).await?;
            self.timeout = self.idle_timeout;
            self.pending.store(0, Ordering::Relaxed);
            if data == END_MARKER {
                return self.end();
            }
            if let Some(event) = self.process_chunk(&data)? {
                return Ok(event);
            }
        }
    }

    fn end(&mut self) -> Result<ChatEvent, TargetError> {
        match self.finish.take() {
            Some((finish_reason, usage)) => Ok(ChatEvent::End { finish_reason, usage }),
            None => Err(TargetError::Interrupted("end marker without a finish reason".to_owned())),
        }
    }

    fn process_chunk(&mut self, data: &str) -> Result<Option<ChatEvent>, TargetError> {
        let chunk: Chunk =
            serde_json::from_str(data).map_err(|e| TargetError::Interrupted(e.to_string()))?;
        if chunk.id != self.request_id {
            return Err(TargetError::RequestMismatch(chunk.id));
        }
        let Some(choice) = chunk.choices.into_iter().next() else { return Ok(None) };
        if let Some(finish_reason) = choice.finish_reason {
            self.finish = Some((finish_reason, chunk.usage.unwrap_or_default()));
        }
        let Some(text) = choice.delta.content else { return Ok(None) };
        if text.is_empty() {
            return Ok(None);
        }
        let index = choice.index_token.unwrap_or(self.next_index);
        if index < self.next_index {
            return Ok(None);
        }
        if index > self.next_index {
            return Err(TargetError::Interrupted(format!("token {} is missing", self.next_index)));
        }
        self.next_index += 1;
        Ok(Some(ChatEvent::Token(text)))
    }
}

async fn next_data<S, E>(events: &mut S, timeout: Duration) -> Result<String, TargetError>
where
    S: Stream<Item = Result<eventsource_stream::Event, E>> + Unpin,
    E: fmt::Display,
{
    match tokio::time::timeout(timeout, events.next()).await {
        Ok(Some(Ok(event))) => Ok(event.data),
        Ok(Some(Err(error))) => Err(TargetError::Interrupted(error.to_string())),
        Ok(None) => Err(TargetError::Interrupted("stream ended without its end marker".to_owned())),
        Err(_) => Err(TargetError::Timeout),
    }
}

/// Sets `stream` in the body of a chat completion, and `resume_from` unless it is zero.
///
/// # Errors
///
/// Fails if the body is not a JSON object.
pub fn streaming_body(body: &[u8], resume_from: u64) -> Result<Bytes, serde_json::Error> {
    let mut body: serde_json::Map<String, serde_json::Value> = serde_json::from_slice(body)?;
    body.insert("stream".to_owned(), true.into());
    if resume_from > 0 {
        body.insert("resume_from".to_owned(), resume_from.into());
    }
    serde_json::to_vec(&body).map(Bytes::from)
}
