//! One run of one item at one target.

use std::{sync::Arc, time::Duration};

use oleander_core::{EventKind, Span, TargetId, Time, Tokens};
use oleander_host::clock;
use oleander_jobs::{ItemLine, LotEvent, PartialOutput, Response, RunId, RunOutcome};
use oleander_routing::{Failure, Observation};
use oleander_target::{ChatEvent, TargetError, Usage, streaming_body};
use serde_json::json;
use tokio::{sync::oneshot, time};

use crate::{
    app::App,
    lots::LotCell,
    pool::Place,
    runs::{LotKey, Stop},
};

const OK: u16 = 200;
const TOO_MANY_REQUESTS: u16 = 429;
const UNAVAILABLE: u16 = 503;
/// Output of other items within this time shows that a silent target works.
const ACTIVE_WITHIN: Span = Span::from_secs(1);
/// Time within which a target that died breaks off all its runs.
const BREAK_GRACE: Duration = Duration::from_millis(300);
/// Longest wait for a target that broke off to show that it lives.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const CANCEL_TRIES: u32 = 3;
const CANCEL_DELAY: Duration = Duration::from_millis(100);

/// What a run is given.
#[derive(Debug)]
pub(crate) struct Grant {
    /// Names the run.
    pub(crate) run: RunId,
    /// Where it runs.
    pub(crate) place: Place,
    /// Whether nothing else of this host runs there.
    pub(crate) alone: bool,
    /// Output of an earlier run.
    pub(crate) partial: Option<PartialOutput>,
}

enum Ending {
    Answered(Response),
    Failed(TargetError),
    Stopped(Stop),
}

/// Runs an item until it ends or is stopped.
pub(crate) async fn run(
    app: Arc<App>,
    cell: Arc<LotCell>,
    grant: Grant,
    mut stop: oneshot::Receiver<Stop>,
) {
    let mut output = grant.partial.clone().unwrap_or_default();
    let id = request_id(&cell, grant.run);
    record_start(&app, &cell, &grant);
    let ending = {
        let call = call(&app, &cell, &grant, &id, &mut output);
        tokio::pin!(call);
        tokio::select! {
            biased;
            // A table that drops the sender has no more interest in the run.
            why = &mut stop => Ending::Stopped(why.unwrap_or(Stop::Drop)),
            result = &mut call => match result {
                Ok(answer) => Ending::Answered(answer),
                Err(error) => Ending::Failed(error),
            },
        }
    };
    cell.pool.observe(grant.place.lease, observation(&ending));
    if matches!(ending, Ending::Stopped(_)) {
        tokio::spawn(cancel(Arc::clone(&app), grant.place.address.clone(), id));
    }
    let end = judge(&app, &cell, &grant, ending, output).await;
    app.runs.lock().remove(&cell.key, grant.run);
    if let Some(end) = end {
        app.drive(&cell, LotEvent::RunEnded { run: grant.run, outcome: end });
    }
}

fn request_id(cell: &LotCell, run: RunId) -> String {
    let LotKey { job, .. } = &cell.key;
    format!("{job}:{}:{}:{}", run.item, cell.tag, run.number)
}

fn record_start(app: &App, cell: &LotCell, grant: &Grant) {
    metrics::counter!("oleander_batch_runs_total").increment(1);
    let resumed = grant.partial.as_ref().map_or(0, |partial| partial.tokens);
    let kind = if resumed > 0 { EventKind::Resumed } else { EventKind::Dispatched };
    let target = &grant.place.target;
    let detail = format!("item {} at {target} from token {resumed}", grant.run.item);
    app.event(kind, &cell.key.job, detail);
}

/// A checked line that can't be read back; nothing was sent.
fn unreadable<E: std::fmt::Display>(error: E) -> TargetError {
    TargetError::Connect(error.to_string())
}

/// Streams the answer of the target into `output`.
async fn call(
    app: &App,
    cell: &LotCell,
    grant: &Grant,
    id: &str,
    output: &mut PartialOutput,
) -> Result<Response, TargetError> {
    let line = &cell.lines[(grant.run.item.0 - cell.first) as usize];
    let item = ItemLine::parse(line).map_err(unreadable)?;
    let body = serde_json::to_vec(&item.body).map_err(unreadable)?;
    let skip = u64::from(output.tokens);
    let body = streaming_body(&body, skip).map_err(unreadable)?;
    let Place { target, address, lease } = &grant.place;
    let mut stream = app.targets.chat(address, id, body, skip).await?;
    let mut is_first = true;
    loop {
        match stream.next().await? {
            ChatEvent::Token(text) => {
                output.text.push_str(&text);
                output.tokens += 1;
                let seen = if is_first {
                    Observation::FirstOutput
                } else {
                    Observation::Output { tokens: Tokens(1) }
                };
                is_first = false;
                cell.pool.observe(*lease, seen);
                let now = clock::now();
                app.health.lock().record_output(now, target);
                app.runs.lock().gave_output(now, &cell.key, grant.run);
            }
            ChatEvent::End { finish_reason, usage } => {
                let body = completion(id, item.model(), &output.text, &finish_reason, usage);
                return Ok(Response { status: OK, request: id.to_owned(), body });
            }
        }
    }
}

/// The whole answer as JSON text.
fn completion(id: &str, model: &str, text: &str, finish: &str, usage: Usage) -> String {
    json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": finish,
        }],
        "usage": usage,
    })
    .to_string()
}

/// What the end of a run says about its item; `None` if it no longer matters.
async fn judge(
    app: &App,
    cell: &LotCell,
    grant: &Grant,
    ending: Ending,
    output: PartialOutput,
) -> Option<RunOutcome> {
    let now = clock::now();
    let target = &grant.place.target;
    match ending {
        Ending::Answered(answer) => {
            app.health.lock().record_success(now, target);
            metrics::counter!("oleander_batch_answers_total").increment(1);
            Some(RunOutcome::Responded(answer))
        }
        Ending::Stopped(Stop::Drop) => None,
        Ending::Stopped(Stop::Yield) => {
            app.event(
                EventKind::Yielded,
                &cell.key.job,
                format!("item {} at {target}", grant.run.item),
            );
            let partial = (output.tokens > 0).then_some(output);
            Some(RunOutcome::Yielded(partial))
        }
        Ending::Failed(error) => {
            let detail = format!("item {} at {target}: {error}", grant.run.item);
            app.event(EventKind::TargetFailed, &cell.key.job, detail);
            Some(judge_failure(app, cell, grant, now, error).await)
        }
    }
}

async fn judge_failure(
    app: &App,
    cell: &LotCell,
    grant: &Grant,
    now: Time,
    error: TargetError,
) -> RunOutcome {
    let target = &grant.place.target;
    let target_healthy = works_apart_from(app, now, target, &error);
    let end = match error {
        TargetError::Status(TOO_MANY_REQUESTS | UNAVAILABLE, _)
        | TargetError::Connect(_)
        | TargetError::RequestMismatch(_) => RunOutcome::NotRun,
        TargetError::Status(status, body) if status < 500 => {
            let request = String::new();
            return RunOutcome::Responded(Response { status, request, body });
        }
        TargetError::Status(..) | TargetError::Timeout => RunOutcome::Failed { target_healthy },
        TargetError::Interrupted(_) => {
            app.runs.lock().broke(&cell.key, grant.run);
            if survived(app, grant, now).await {
                RunOutcome::Failed { target_healthy }
            } else {
                RunOutcome::TargetLost
            }
        }
    };
    log::debug!("item {} at {target}: judged {end:?}", grant.run.item);
    app.health.lock().record_fault(now, target);
    end
}

/// Whether other items get on at the target that failed this one.
fn works_apart_from(app: &App, now: Time, target: &TargetId, error: &TargetError) -> bool {
    let health = app.health.lock();
    match error {
        TargetError::Timeout => health.has_output_since(now - ACTIVE_WITHIN, target),
        _ => health.is_healthy(now, target),
    }
}

/// Whether the target broke off this run alone, so that the item counts it against that target.
///
/// A target that died breaks off all its runs within a moment. It may be back at once, so that
/// only runs from before show that it survived.
async fn survived(app: &App, grant: &Grant, at: Time) -> bool {
    let Place { target, address, .. } = &grant.place;
    if grant.alone {
        return is_alive(app, address).await;
    }
    time::sleep(BREAK_GRACE).await;
    app.runs.lock().went_on(target, at)
}

async fn is_alive(app: &App, address: &str) -> bool {
    let probe = time::timeout(PROBE_TIMEOUT, app.targets.read_load(address)).await;
    matches!(probe, Ok(Ok(_)))
}

fn observation(ending: &Ending) -> Observation {
    match ending {
        Ending::Answered(_) => Observation::Done,
        Ending::Stopped(_) => Observation::Cancelled,
        Ending::Failed(error) => Observation::Failed(match error {
            TargetError::Connect(_) => Failure::Connect,
            TargetError::Timeout => Failure::IdleTimeout,
            TargetError::Interrupted(_) | TargetError::RequestMismatch(_) => Failure::BrokenStream,
            TargetError::Status(status, _) => Failure::Status(*status),
        }),
    }
}

/// Cancels a request at its engine; a closed connection alone may not reach it.
async fn cancel(app: Arc<App>, address: String, id: String) {
    for _ in 0..CANCEL_TRIES {
        if app.targets.cancel(&address, &id).await.is_ok() {
            return;
        }
        time::sleep(CANCEL_DELAY).await;
    }
    log::warn!("request {id} could not be cancelled at {address}");
}
