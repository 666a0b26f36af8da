//! Chat completions, plain and streamed.

use axum::{
    body::{Body, Bytes},
    http::{HeaderMap, StatusCode, header},
    response::{IntoResponse, Response},
};
use futures_util::{Stream, StreamExt, future, stream};
use oleander_core::DigestId;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{sync::mpsc, time::Instant};
use tokio_stream::wrappers::UnboundedReceiverStream;

use crate::{
    engine::{
        Engine,
        cache::prefix_hashes,
        sequence::{Sequence, SequenceEvent},
        wire::{AnswerShape, END_LINE},
    },
    record::RecordEvent,
    response,
    server::close_connection,
};

const BYTES_PER_TOKEN: usize = 4;
const REQUEST_ID_HEADER: &str = "x-request-id";

/// The fields of a chat/completions body that the engine reads.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct ChatBody {
    model: String,
    messages: Value,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    resume_from: u32,
}

/// Id and digest of the request before, for answers that cross.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct LastRequest {
    id: String,
    digest: DigestId,
}

/// Answers `POST /v1/chat/completions`.
pub(super) async fn complete(engine: Engine, headers: HeaderMap, body: Bytes) -> Response {
    let id = headers.get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    let Some(id) = id.map(str::to_owned) else {
        return rejected(StatusCode::BAD_REQUEST, "x-request-id is missing");
    };
    let chat: ChatBody = match serde_json::from_slice(&body) {
        Ok(chat) => chat,
        Err(error) => return rejected(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let prompt = prompt_text(&chat.messages);
    let digest = response::value_digest(&chat.messages);
    engine.shared.records.add(&id, RecordEvent::Received, &digest);
    if let Some(response) = engine.show_faults(&prompt).await {
        return response;
    }
    engine.admit(id, digest, &prompt, chat).await
}

impl Engine {
    async fn show_faults(&self, prompt: &str) -> Option<Response> {
        let faults = self.faults();
        if faults.kills(prompt) {
            self.shared.dead.send_replace(true);
            return future::pending().await;
        }
        if faults.rejects(prompt) {
            return Some(rejected(StatusCode::BAD_REQUEST, "prompt rejected"));
        }
        let status = StatusCode::from_u16(faults.fail_status).ok()?;
        Some(rejected(status, "fault set by a test"))
    }

    async fn admit(&self, id: String, digest: DigestId, prompt: &str, chat: ChatBody) -> Response {
        let length = response::response_length(&digest, chat.max_tokens);
        let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u64;
        let (events, received) = mpsc::unbounded_channel();
        let sequence = Sequence {
            request_id: id.clone(),
            digest: digest.clone(),
            hashes: prefix_hashes(prompt),
            prompt_tokens,
            first: chat.resume_from.min(length),
            next: chat.resume_from.min(length),
            length,
            events,
        };
        if sequence.kv_bound() > self.shared.options.kv_tokens {
            return rejected(StatusCode::BAD_REQUEST, "prompt exceeds the KV cache");
        }
        let natural = length == response::untruncated_length(&digest);
        let shape = AnswerShape { id, digest, model: chat.model, prompt_tokens, length, natural };
        let shape = self.cross(shape);
        self.shared.batch.lock().push(sequence, Instant::now());
        self.shared.work.notify_one();
        if chat.stream {
            return self.stream_answer(shape, received);
        }
        plain_answer(shape, chat.resume_from, received).await
    }

    /// Remembers the request and, under the fault, takes id and tokens of the one before.
    fn cross(&self, mut shape: AnswerShape) -> AnswerShape {
        let this = LastRequest { id: shape.id.clone(), digest: shape.digest.clone() };
        let before = self.shared.last.lock().replace(this);
        if !self.faults().cross_ids {
            return shape;
        }
        match before.filter(|before| before.id != shape.id) {
            Some(before) => {
                shape.id = before.id;
                shape.digest = before.digest;
            }
            None => shape.id = format!("crossed-{}", shape.id),
        }
        shape
    }

    fn stream_answer(
        &self,
        shape: AnswerShape,
        received: mpsc::UnboundedReceiver<SequenceEvent>,
    ) -> Response {
        let engine = self.clone();
        let lines = UnboundedReceiverStream::new(received)
            .then(move |event| engine.clone().speak(event))
            .flat_map(move |event| stream::iter(event_lines(&shape, event)));
        let headers = [(header::CONTENT_TYPE, "text/event-stream")];
        (headers, Body::from_stream(until_error(lines))).into_response()
    }

    /// Passes an event on once the engine is not silent.
    async fn speak(self, event: SequenceEvent) -> SequenceEvent {
        if self.shared.faults.borrow().silent {
            let mut faults = self.shared.faults.subscribe();
            // The sender lives in `self`, so the wait ends only when the fault does.
            let _ = faults.wait_for(|faults| !faults.silent).await;
        }
        event
    }
}

/// A cut stream ends the connection without the end of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StreamCut;

impl std::fmt::Display for StreamCut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("stream cut")
    }
}

impl std::error::Error for StreamCut {}

fn until_error(
    lines: impl Stream<Item = Result<String, StreamCut>>,
) -> impl Stream<Item = Result<String, StreamCut>> {
    lines.scan(false, |cut, line| {
        let before = std::mem::replace(cut, line.is_err());
        future::ready((!before).then_some(line))
    })
}

fn event_lines(shape: &AnswerShape, event: SequenceEvent) -> Vec<Result<String, StreamCut>> {
    match event {
        SequenceEvent::Token(index) => vec![Ok(shape.token_line(index))],
        SequenceEvent::Finished => vec![Ok(shape.finish_line()), Ok(END_LINE.to_owned())],
        SequenceEvent::Cancelled | SequenceEvent::Broken => vec![Err(StreamCut)],
    }
}

async fn plain_answer(
    shape: AnswerShape,
    resume_from: u32,
    mut received: mpsc::UnboundedReceiver<SequenceEvent>,
) -> Response {
    loop {
        match received.recv().await {
            Some(SequenceEvent::Token(_)) => {}
            Some(SequenceEvent::Finished) => break,
            Some(SequenceEvent::Cancelled) => {
                return rejected(StatusCode::CONFLICT, "request was cancelled");
            }
            Some(SequenceEvent::Broken) | None => return close_connection(),
        }
    }
    axum::Json(shape.completion(resume_from)).into_response()
}

fn prompt_text(messages: &Value) -> String {
    let list = messages.as_array().map(Vec::as_slice).unwrap_or_default();
    let contents = list.iter().map(|message| match &message["content"] {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    });
    contents.collect::<Vec<String>>().join("\n")
}

fn rejected(status: StatusCode, message: &str) -> Response {
    let error = json!({ "message": message, "code": status.as_u16() });
    (status, axum::Json(json!({ "error": error }))).into_response()
}
