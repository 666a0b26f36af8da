//! Chat completions, with a complete or a streamed response.

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
        wire::{DONE_EVENT, ResponseContent},
    },
    record::RecordEvent,
    response,
    server::close_connection,
};

const BYTES_PER_TOKEN: usize = 4;
const REQUEST_ID_HEADER: &str = "x-request-id";

/// The members of a chat completions request that the engine reads.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct ChatRequest {
    model: String,
    messages: Value,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    resume_from: u32,
}

/// Id and digest of the previous request, for [`Faults::cross_ids`](super::Faults).
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PreviousRequest {
    id: String,
    digest: DigestId,
}

/// Handles `POST /v1/chat/completions`.
pub(super) async fn respond(engine: Engine, headers: HeaderMap, body: Bytes) -> Response {
    let id = headers.get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    let Some(id) = id.map(str::to_owned) else {
        return error_response(StatusCode::BAD_REQUEST, "x-request-id is missing");
    };
    let chat: ChatRequest = match serde_json::from_slice(&body) {
        Ok(chat) => chat,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let prompt = prompt_text(&chat.messages);
    let digest = response::value_digest(&chat.messages);
    engine.shared.records.add(&id, RecordEvent::Received, &digest);
    if let Some(response) = engine.inject_faults(&prompt).await {
        return response;
    }
    engine.admit(id, digest, &prompt, chat).await
}

impl Engine {
    async fn inject_faults(&self, prompt: &str) -> Option<Response> {
        let faults = self.faults();
        if faults.ends_engine(prompt) {
            self.shared.exited.send_replace(true);
            return future::pending().await;
        }
        if faults.rejects(prompt) {
            return Some(error_response(StatusCode::BAD_REQUEST, "prompt rejected"));
        }
        let status = StatusCode::from_u16(faults.fail_status).ok()?;
        Some(error_response(status, "injected fault"))
    }

    async fn admit(
        &self,
        id: String,
        digest: DigestId,
        prompt: &str,
        chat: ChatRequest,
    ) -> Response {
        let length = response::response_length(&digest, chat.max_tokens);
        let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u64;
        let (events, received) = mpsc::unbounded_channel();
        let sequence = Sequence {
            request_id: id.clone(),
            digest: digest.clone(),
            hashes: prefix_hashes(prompt),
            prompt_tokens,
            first_token: chat.resume_from.min(length),
            next_token: chat.resume_from.min(length),
            length,
            events,
        };
        if sequence.max_kv_tokens() > self.shared.options.kv_tokens {
            return error_response(
                StatusCode::BAD_REQUEST,
                "prompt and response exceed the KV cache",
            );
        }
        let untruncated = length == response::untruncated_length(&digest);
        let content =
            ResponseContent { id, digest, model: chat.model, prompt_tokens, length, untruncated };
        let content = self.with_crossed_id(content);
        self.shared.batch.lock().enqueue(sequence, Instant::now());
        self.shared.work_added.notify_one();
        if chat.stream {
            return self.streamed_response(content, received);
        }
        complete_response(content, chat.resume_from, received).await
    }

    /// Stores the request as the previous one; with the `cross_ids` fault, returns the id and the
    /// digest of the request before it.
    fn with_crossed_id(&self, mut content: ResponseContent) -> ResponseContent {
        let current = PreviousRequest { id: content.id.clone(), digest: content.digest.clone() };
        let previous = self.shared.previous.lock().replace(current);
        if !self.faults().cross_ids {
            return content;
        }
        match previous.filter(|previous| previous.id != content.id) {
            Some(previous) => {
                content.id = previous.id;
                content.digest = previous.digest;
            }
            None => content.id = format!("crossed-{}", content.id),
        }
        content
    }

    fn streamed_response(
        &self,
        content: ResponseContent,
        received: mpsc::UnboundedReceiver<SequenceEvent>,
    ) -> Response {
        let engine = self.clone();
        let events = UnboundedReceiverStream::new(received)
            .then(move |event| engine.clone().wait_while_silent(event))
            .flat_map(move |event| stream::iter(sse_events(&content, event)));
        let headers = [(header::CONTENT_TYPE, "text/event-stream")];
        (headers, Body::from_stream(until_error(events))).into_response()
    }

    /// Returns `event` as soon as the engine is not silent.
    async fn wait_while_silent(self, event: SequenceEvent) -> SequenceEvent {
        if self.shared.faults.borrow().silent {
            let mut faults = self.shared.faults.subscribe();
            // `self` holds the sender, so the channel can't be closed before `silent` is reset.
            let _ = faults.wait_for(|faults| !faults.silent).await;
        }
        event
    }
}

/// Error that closes the connection of a streamed response before the end of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StreamClosed;

impl std::fmt::Display for StreamClosed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("stream closed by a cancellation or an injected fault")
    }
}

impl std::error::Error for StreamClosed {}

fn until_error(
    events: impl Stream<Item = Result<String, StreamClosed>>,
) -> impl Stream<Item = Result<String, StreamClosed>> {
    events.scan(false, |closed, event| {
        let closed_before = std::mem::replace(closed, event.is_err());
        future::ready((!closed_before).then_some(event))
    })
}

fn sse_events(
    content: &ResponseContent,
    event: SequenceEvent,
) -> Vec<Result<String, StreamClosed>> {
    match event {
        SequenceEvent::Token(index) => vec![Ok(content.token_event(index))],
        SequenceEvent::Finished => vec![Ok(content.finish_event()), Ok(DONE_EVENT.to_owned())],
        SequenceEvent::Cancelled | SequenceEvent::Broken => vec![Err(StreamClosed)],
    }
}

async fn complete_response(
    content: ResponseContent,
    resume_from: u32,
    mut received: mpsc::UnboundedReceiver<SequenceEvent>,
) -> Response {
    loop {
        match received.recv().await {
            Some(SequenceEvent::Token(_)) => {}
            Some(SequenceEvent::Finished) => break,
            Some(SequenceEvent::Cancelled) => {
                return error_response(StatusCode::CONFLICT, "request was cancelled");
            }
            Some(SequenceEvent::Broken) | None => return close_connection(),
        }
    }
    axum::Json(content.completion(resume_from)).into_response()
}

fn prompt_text(messages: &Value) -> String {
    let list = messages.as_array().map(Vec::as_slice).unwrap_or_default();
    let contents = list.iter().map(|message| match &message["content"] {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    });
    contents.collect::<Vec<String>>().join("\n")
}

fn error_response(status: StatusCode, message: &str) -> Response {
    let error = json!({ "message": message, "code": status.as_u16() });
    (status, axum::Json(json!({ "error": error }))).into_response()
}
