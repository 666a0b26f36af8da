//! A run of one item at one target.

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
    lots::OpenLot,
    pool::TargetLease,
    runs::{LotId, StopReason},
};

const OK: u16 = 200;
const TOO_MANY_REQUESTS: u16 = 429;
const UNAVAILABLE: u16 = 503;
/// Output of other items within this time before a timeout shows that the target is healthy.
const RECENT_OUTPUT: Span = Span::from_secs(1);
/// Time within which the streams of all runs break if their target is lost.
const BREAK_DETECTION_TIME: Duration = Duration::from_millis(300);
/// Maximum time for a target to reply to the probe after a broken stream.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_CANCEL_ATTEMPTS: u32 = 3;
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A run to carry out.
#[derive(Debug)]
pub(crate) struct RunSpec {
    /// Id of the run.
    pub(crate) run: RunId,
    /// The selected target.
    pub(crate) lease: TargetLease,
    /// Whether nothing else of this host runs at the target.
    pub(crate) alone: bool,
    /// Output of an earlier run to resume from.
    pub(crate) partial: Option<PartialOutput>,
}

/// How the call to the target ended.
enum CallEnd {
    Completed(Response),
    Failed(TargetError),
    Stopped(StopReason),
}

/// Runs an item until it ends or is stopped.
pub(crate) async fn run(
    app: Arc<App>,
    lot: Arc<OpenLot>,
    spec: RunSpec,
    mut stop: oneshot::Receiver<StopReason>,
) {
    let mut output = spec.partial.clone().unwrap_or_default();
    let id = request_id(&lot, spec.run);
    record_start(&app, &lot, &spec);
    let call_end = {
        let call = call(&app, &lot, &spec, &id, &mut output);
        tokio::pin!(call);
        tokio::select! {
            biased;
            // A dropped sender means that the outcome is not needed.
            reason = &mut stop => CallEnd::Stopped(reason.unwrap_or(StopReason::Discard)),
            result = &mut call => match result {
                Ok(response) => CallEnd::Completed(response),
                Err(error) => CallEnd::Failed(error),
            },
        }
    };
    lot.pool.observe(spec.lease.id, observation(&call_end));
    if matches!(call_end, CallEnd::Stopped(_)) {
        tokio::spawn(cancel(Arc::clone(&app), spec.lease.address.clone(), id));
    }
    let outcome = run_outcome(&app, &lot, &spec, call_end, output).await;
    app.runs.lock().remove(&lot.id, spec.run);
    if let Some(outcome) = outcome {
        app.handle_event(&lot, LotEvent::RunEnded { run: spec.run, outcome });
    }
}

fn request_id(lot: &OpenLot, run: RunId) -> String {
    let LotId { job, .. } = &lot.id;
    format!("{job}:{}:{}:{}", run.item, lot.tag, run.number)
}

fn record_start(app: &App, lot: &OpenLot, spec: &RunSpec) {
    metrics::counter!("oleander_batch_runs_total").increment(1);
    let resumed = spec.partial.as_ref().map_or(0, |partial| partial.tokens);
    let kind = if resumed > 0 { EventKind::Resumed } else { EventKind::Dispatched };
    let target = &spec.lease.target;
    let detail = format!("item {} at {target} from token {resumed}", spec.run.item);
    app.record_event(kind, &lot.id.job, detail);
}

/// Error for a line that can't be read although intake accepted it; nothing was sent.
fn invalid_line<E: std::fmt::Display>(error: E) -> TargetError {
    TargetError::Connect(error.to_string())
}

/// Streams the response of the target into `output`.
async fn call(
    app: &App,
    lot: &OpenLot,
    spec: &RunSpec,
    id: &str,
    output: &mut PartialOutput,
) -> Result<Response, TargetError> {
    let line = &lot.lines[(spec.run.item.0 - lot.first) as usize];
    let item = ItemLine::parse(line).map_err(invalid_line)?;
    let body = serde_json::to_vec(&item.body).map_err(invalid_line)?;
    let skip = u64::from(output.tokens);
    let body = streaming_body(&body, skip).map_err(invalid_line)?;
    let TargetLease { target, address, id: lease_id } = &spec.lease;
    let mut stream = app.targets.chat(address, id, body, skip).await?;
    let mut is_first = true;
    loop {
        match stream.next().await? {
            ChatEvent::Token(text) => {
                output.text.push_str(&text);
                output.tokens += 1;
                let observed = if is_first {
                    Observation::FirstOutput
                } else {
                    Observation::Output { tokens: Tokens(1) }
                };
                is_first = false;
                lot.pool.observe(*lease_id, observed);
                let now = clock::now();
                app.health.lock().record_output(now, target);
                app.runs.lock().record_output(now, &lot.id, spec.run);
            }
            ChatEvent::End { finish_reason, usage } => {
                let body = completion(id, item.model(), &output.text, &finish_reason, usage);
                return Ok(Response { status: OK, request: id.to_owned(), body });
            }
        }
    }
}

/// The body of the whole response as JSON text.
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

/// Outcome of a run; `None` if it is not needed.
async fn run_outcome(
    app: &App,
    lot: &OpenLot,
    spec: &RunSpec,
    call_end: CallEnd,
    output: PartialOutput,
) -> Option<RunOutcome> {
    let now = clock::now();
    let target = &spec.lease.target;
    match call_end {
        CallEnd::Completed(response) => {
            app.health.lock().record_success(now, target);
            metrics::counter!("oleander_batch_answers_total").increment(1);
            Some(RunOutcome::Responded(response))
        }
        CallEnd::Stopped(StopReason::Discard) => None,
        CallEnd::Stopped(StopReason::Yield) => {
            app.record_event(
                EventKind::Yielded,
                &lot.id.job,
                format!("item {} at {target}", spec.run.item),
            );
            let partial = (output.tokens > 0).then_some(output);
            Some(RunOutcome::Yielded(partial))
        }
        CallEnd::Failed(error) => {
            let detail = format!("item {} at {target}: {error}", spec.run.item);
            app.record_event(EventKind::TargetFailed, &lot.id.job, detail);
            Some(failure_outcome(app, lot, spec, now, error).await)
        }
    }
}

async fn failure_outcome(
    app: &App,
    lot: &OpenLot,
    spec: &RunSpec,
    now: Time,
    error: TargetError,
) -> RunOutcome {
    let target = &spec.lease.target;
    let target_healthy = is_target_healthy(app, now, target, &error);
    let outcome = match error {
        TargetError::Status(TOO_MANY_REQUESTS | UNAVAILABLE, _)
        | TargetError::Connect(_)
        | TargetError::RequestMismatch(_) => RunOutcome::NotRun,
        TargetError::Status(status, body) if status < 500 => {
            let request = String::new();
            return RunOutcome::Responded(Response { status, request, body });
        }
        TargetError::Status(..) | TargetError::Timeout => RunOutcome::Failed { target_healthy },
        TargetError::Interrupted(_) => {
            app.runs.lock().record_break(&lot.id, spec.run);
            if has_survived(app, spec, now).await {
                RunOutcome::Failed { target_healthy }
            } else {
                RunOutcome::TargetLost
            }
        }
    };
    log::debug!("item {} at {target}: outcome {outcome:?}", spec.run.item);
    app.health.lock().record_fault(now, target);
    outcome
}

/// Whether the target is healthy for other items although it failed this one.
fn is_target_healthy(app: &App, now: Time, target: &TargetId, error: &TargetError) -> bool {
    let health = app.health.lock();
    match error {
        TargetError::Timeout => health.has_output_since(now - RECENT_OUTPUT, target),
        _ => health.is_healthy(now, target),
    }
}

/// Whether the target broke this run's stream but was not lost, so that it failed the item.
///
/// A lost target breaks the streams of all its runs at about the same time. It may be restarted at
/// once, so only output of runs that started before shows that it was not lost.
async fn has_survived(app: &App, spec: &RunSpec, at: Time) -> bool {
    let TargetLease { target, address, .. } = &spec.lease;
    if spec.alone {
        return is_reachable(app, address).await;
    }
    time::sleep(BREAK_DETECTION_TIME).await;
    app.runs.lock().has_output_since(target, at)
}

async fn is_reachable(app: &App, address: &str) -> bool {
    let probe = time::timeout(PROBE_TIMEOUT, app.targets.read_load(address)).await;
    matches!(probe, Ok(Ok(_)))
}

fn observation(call_end: &CallEnd) -> Observation {
    match call_end {
        CallEnd::Completed(_) => Observation::Done,
        CallEnd::Stopped(_) => Observation::Cancelled,
        CallEnd::Failed(error) => Observation::Failed(match error {
            TargetError::Connect(_) => Failure::Connect,
            TargetError::Timeout => Failure::IdleTimeout,
            TargetError::Interrupted(_) | TargetError::RequestMismatch(_) => Failure::BrokenStream,
            TargetError::Status(status, _) => Failure::Status(*status),
        }),
    }
}

/// Cancels a request at its target, which may not notice that the connection was closed.
async fn cancel(app: Arc<App>, address: String, id: String) {
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        if app.targets.cancel(&address, &id).await.is_ok() {
            return;
        }
        time::sleep(CANCEL_RETRY_DELAY).await;
    }
    log::warn!("request {id} was not cancelled at {address} after {MAX_CANCEL_ATTEMPTS} attempts");
}
