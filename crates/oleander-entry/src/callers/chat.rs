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
    admit, body, call_id, deadline, invalid, open,
    response::{error_answer, error_text, outcome_answer, outcome_error, too_late, wait_end},
};
use crate::{
    active_run::{Flight, News},
    app::App,
    call::{CallRequest, Work},
    chat::{ChatBody, end_chunk, read_completion, text_chunk},
};

/// Answers a chat completion, plain or streamed.
pub(crate) async fn complete(
    State(app): State<Arc<App>>,
    Extension(workspace): Extension<Workspace>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    match start(&app, &workspace, &headers, body).await {
        Ok(started) if started.streamed => stream_answer(app, started).await,
        Ok(started) => {
            let outcome = wait_end(&started.flight, started.deadline).await;
            answered(&app, &started);
            outcome_answer(outcome)
        }
        Err(error) => error_answer(error),
    }
}

struct Started {
    flight: Arc<Flight>,
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
) -> Result<Started, ApiError> {
    let call = call_id(app, workspace, headers)?;
    let bytes = body::read(body).await?;
    let chat = ChatBody::parse(&bytes).map_err(|text| invalid(&text))?;
    admit(app, workspace, &chat.model)?;
    let service: ServiceId = chat.model.parse().map_err(|e| invalid(&format!("model: {e}")))?;
    let Some(pool) = app.pools.get(&service) else {
        let text = format!("service {service} is not declared");
        return Err(ApiError::not_run(ErrorCode::NotFound, text));
    };
    let deadline = deadline(headers, pool.deadline(), clock::now())?;
    let started = Started {
        id: call.request.clone(),
        subject: call.to_string(),
        model: chat.model.clone(),
        streamed: chat.stream,
        deadline,
        flight: open(
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

/// Streams a run; an error before the first token is a plain error answer.
async fn stream_answer(app: Arc<App>, started: Started) -> Response {
    let first = next_news(&started, 0).await;
    if let (true, Some(outcome)) = (first.tokens.is_empty(), &first.end)
        && !matches!(outcome, Outcome::Answer { .. })
    {
        return error_answer(outcome_error(outcome.clone()));
    }
    let reader = Reader { app, started, sent: String::new(), from: 0, ended: false };
    Sse::new(events(reader, first)).into_response()
}

async fn next_news(started: &Started, from: u64) -> News {
    let wait = started.deadline.since(clock::now()).to_duration();
    let late = || News { tokens: Vec::new(), end: Some(Outcome::Failed(too_late())) };
    tokio::time::timeout(wait, started.flight.wait(from)).await.unwrap_or_else(|_| late())
}

struct Reader {
    app: Arc<App>,
    started: Started,
    sent: String,
    from: u64,
    ended: bool,
}

fn events(reader: Reader, first: News) -> impl Stream<Item = Result<Event, Infallible>> {
    let batches = stream::unfold((reader, Some(first)), |(mut reader, first)| async {
        if reader.ended {
            return None;
        }
        let news = match first {
            Some(news) => news,
            None => next_news(&reader.started, reader.from).await,
        };
        let events = reader.take(news);
        Some((stream::iter(events.into_iter().map(Ok)), (reader, None)))
    });
    futures_util::StreamExt::flatten(batches)
}

impl Reader {
    fn take(&mut self, news: News) -> Vec<Event> {
        let (id, model) = (&self.started.id, &self.started.model);
        self.from += news.tokens.len() as u64;
        let text = news.tokens.concat();
        let mut events = Vec::new();
        if !text.is_empty() {
            events.push(Event::default().data(text_chunk(id, model, &text)));
            self.sent.push_str(&text);
        }
        if let Some(outcome) = news.end {
            self.ended = true;
            self.end(outcome, &mut events);
        }
        events
    }

    /// Ends the stream: whole only if what was sent is the answer that counts.
    fn end(&self, outcome: Outcome, events: &mut Vec<Event>) {
        let (id, model) = (&self.started.id, &self.started.model);
        let body = match outcome {
            Outcome::Answer { body, .. } => body,
            other => return events.push(error_event(outcome_error(other))),
        };
        let Some(recorded) = read_completion(&body) else {
            let error = ApiError::ran(ErrorCode::Internal, "the recorded answer is unreadable");
            return events.push(error_event(error));
        };
        let Some(rest) = recorded.text.strip_prefix(&self.sent) else {
            let text = "another run of this request was recorded first; read its result by id";
            return events.push(error_event(ApiError::ran(ErrorCode::Conflict, text)));
        };
        if !rest.is_empty() {
            events.push(Event::default().data(text_chunk(id, model, rest)));
        }
        let end = end_chunk(id, model, &recorded.finish, recorded.usage);
        events.push(Event::default().data(end));
        events.push(Event::default().data("[DONE]"));
        answered(&self.app, &self.started);
    }
}

fn error_event(error: ApiError) -> Event {
    Event::default().event("error").data(error_text(error))
}

fn answered(app: &App, started: &Started) {
    let subject = started.subject.clone();
    app.timeline.record(clock::now(), EventKind::Answered, subject, String::new());
}
