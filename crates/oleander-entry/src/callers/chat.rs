//! `POST /v1/chat/completions`.

use std::{convert::Infallible, sync::Arc};

use axum::{
    Extension,
    body::Body,
    extract::State,
    http::HeaderMap,
    response::{IntoResponse, Response, Sse, sse::Event},
};
use futures_util::{Stream, stream};
use oleander_core::{ApiError, ErrorCode, EventKind, RequestId, ServiceId, Time};
use oleander_document::Workspace;
use oleander_host::clock;
use oleander_ledger::Outcome;

use super::{
    admit, body, call_id, invalid_request, parse_deadline,
    response::{
        deadline_exceeded, error_json, error_response, outcome_error, outcome_response,
        wait_outcome,
    },
    start_call,
};
use crate::{
    active_run::{ActiveRun, RunUpdate},
    app::App,
    call::{CallRequest, Work},
    chat::{ChatBody, end_chunk, parse_completion, text_chunk},
};

/// Serves a chat completion, streamed if the body asks for it.
pub(crate) async fn complete(
    State(app): State<Arc<App>>,
    Extension(workspace): Extension<Workspace>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    match start(&app, &workspace, &headers, body).await {
        Ok(started) if started.streamed => stream_response(app, started).await,
        Ok(started) => {
            let outcome = wait_outcome(&started.run, started.deadline).await;
            record_answered(&app, &started);
            outcome_response(outcome)
        }
        Err(error) => error_response(error),
    }
}

struct StartedChat {
    run: Arc<ActiveRun>,
    id: RequestId,
    subject: String,
    model: String,
    streamed: bool,
    deadline: Time,
}

async fn start(
    app: &Arc<App>,
    workspace: &Workspace,
    headers: &HeaderMap,
    body: Body,
) -> Result<StartedChat, ApiError> {
    let call = call_id(app, workspace, headers)?;
    let bytes = body::read(body).await?;
    let chat = ChatBody::parse(&bytes).map_err(|text| invalid_request(&text))?;
    admit(app, workspace, &chat.model)?;
    let service: ServiceId =
        chat.model.parse().map_err(|e| invalid_request(&format!("model: {e}")))?;
    let Some(pool) = app.pools.get(&service) else {
        let text = format!("service {service} is not declared");
        return Err(ApiError::not_run(ErrorCode::NotFound, text));
    };
    let deadline = parse_deadline(headers, pool.default_deadline(), clock::now())?;
    let started = StartedChat {
        id: call.request.clone(),
        subject: call.to_string(),
        model: chat.model.clone(),
        streamed: chat.stream,
        deadline,
        run: start_call(
            app,
            CallRequest {
                call,
                digest: chat.digest(),
                service,
                work: Work::Chat(Box::new(chat)),
                deadline,
            },
        )?,
    };
    Ok(started)
}

/// Streams a run as server-sent events; an error before the first token is a plain error response.
async fn stream_response(app: Arc<App>, started: StartedChat) -> Response {
    let first = next_update(&started, 0).await;
    if let (true, Some(outcome)) = (first.tokens.is_empty(), &first.outcome)
        && !matches!(outcome, Outcome::Answer { .. })
    {
        return error_response(outcome_error(outcome.clone()));
    }
    let reader =
        StreamReader { app, started, sent_text: String::new(), next_token: 0, ended: false };
    Sse::new(event_stream(reader, first)).into_response()
}

async fn next_update(started: &StartedChat, from: u64) -> RunUpdate {
    let wait = started.deadline.since(clock::now()).to_duration();
    let expired =
        || RunUpdate { tokens: Vec::new(), outcome: Some(Outcome::Failed(deadline_exceeded())) };
    tokio::time::timeout(wait, started.run.wait(from)).await.unwrap_or_else(|_| expired())
}

struct StreamReader {
    app: Arc<App>,
    started: StartedChat,
    sent_text: String,
    next_token: u64,
    ended: bool,
}

fn event_stream(
    reader: StreamReader,
    first: RunUpdate,
) -> impl Stream<Item = Result<Event, Infallible>> {
    let groups = stream::unfold((reader, Some(first)), |(mut reader, first)| async {
        if reader.ended {
            return None;
        }
        let update = match first {
            Some(update) => update,
            None => next_update(&reader.started, reader.next_token).await,
        };
        let events = reader.read_events(update);
        Some((stream::iter(events.into_iter().map(Ok)), (reader, None)))
    });
    futures_util::StreamExt::flatten(groups)
}

impl StreamReader {
    fn read_events(&mut self, update: RunUpdate) -> Vec<Event> {
        let (id, model) = (&self.started.id, &self.started.model);
        self.next_token += update.tokens.len() as u64;
        let text = update.tokens.concat();
        let mut events = Vec::new();
        if !text.is_empty() {
            events.push(Event::default().data(text_chunk(id, model, &text)));
            self.sent_text.push_str(&text);
        }
        if let Some(outcome) = update.outcome {
            self.ended = true;
            self.end_stream(outcome, &mut events);
        }
        events
    }

    /// Ends the stream, as complete only if the text sent so far begins the recorded response.
    fn end_stream(&self, outcome: Outcome, events: &mut Vec<Event>) {
        let (id, model) = (&self.started.id, &self.started.model);
        let body = match outcome {
            Outcome::Answer { body, .. } => body,
            outcome => return events.push(error_event(outcome_error(outcome))),
        };
        let Some(recorded) = parse_completion(&body) else {
            let error = ApiError::ran(ErrorCode::Internal, "the recorded response can't be parsed");
            return events.push(error_event(error));
        };
        let Some(rest) = recorded.text.strip_prefix(&self.sent_text) else {
            let text = "another run of this request was recorded first; read its result by id";
            return events.push(error_event(ApiError::ran(ErrorCode::Conflict, text)));
        };
        if !rest.is_empty() {
            events.push(Event::default().data(text_chunk(id, model, rest)));
        }
        let end = end_chunk(id, model, &recorded.finish_reason, recorded.usage);
        events.push(Event::default().data(end));
        events.push(Event::default().data("[DONE]"));
        record_answered(&self.app, &self.started);
    }
}

fn error_event(error: ApiError) -> Event {
    Event::default().event("error").data(error_json(error))
}

fn record_answered(app: &App, started: &StartedChat) {
    let subject = started.subject.clone();
    app.timeline.record(clock::now(), EventKind::Answered, subject, String::new());
}
