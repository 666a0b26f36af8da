//! Runs of calls at targets.

mod chat;
mod operation;

use std::{sync::Arc, time::Duration};

use oleander_core::{ApiError, ErrorCode, EventKind, Span, TargetId};
use oleander_host::clock;
use oleander_peer::PeerRequest;
use oleander_routing::{Failure, Pick, TicketId};
use oleander_target::TargetError;

use crate::{
    active_run::Flight,
    app::App,
    call::{CallRequest, RunEnd, Work},
    pool::{Granted, Pool},
};

/// Targets tried for one call.
const MAX_TRIES: u32 = 4;
const YIELD_TIMEOUT: Duration = Duration::from_millis(500);
/// When to come back if no target is reachable.
const TARGET_RETRY: Span = Span::from_secs(1);

/// Runs a call at a target of its service.
pub(crate) async fn run(app: &Arc<App>, request: &CallRequest, flight: &Flight) -> RunEnd {
    let Some(pool) = app.pools.get(&request.service) else {
        let text = format!("service {} is not declared", request.service);
        return RunEnd::GiveUp(ApiError::not_run(ErrorCode::NotFound, text));
    };
    pool.count_request();
    let mut tries = Tries::new(app, request, pool);
    let end = match &request.work {
        Work::Chat(body) => chat::run(&mut tries, flight, body).await,
        Work::Operation { path, body, repeatable } => {
            operation::run(&mut tries, path, body, *repeatable).await
        }
    };
    tries.close();
    end
}

/// The tries of one call at several targets.
struct Tries<'a> {
    app: &'a Arc<App>,
    request: &'a CallRequest,
    pool: Arc<Pool>,
    ticket: TicketId,
    failed: Vec<TargetId>,
    count: u32,
    /// Whether a target may have seen the call.
    sent: bool,
}

impl<'a> Tries<'a> {
    fn new(app: &'a Arc<App>, request: &'a CallRequest, pool: Arc<Pool>) -> Self {
        let ticket = pool.ticket();
        Self { app, request, pool, ticket, failed: Vec::new(), count: 0, sent: false }
    }

    /// Waits for the next target to try.
    async fn next(&mut self, prefix: Option<u64>) -> Result<Granted, ApiError> {
        if self.count > 0 && (self.count >= MAX_TRIES || !self.pool.take_retry()) {
            let text = "targets failed and no further try is allowed";
            return Err(self.error(ErrorCode::TargetFailed, text).retry_after(TARGET_RETRY));
        }
        self.count += 1;
        let mut pick =
            Pick::online(self.ticket).exclude(self.failed.clone()).deadline(self.request.deadline);
        pick.prefix = prefix;
        match self.pool.acquire(&pick).await {
            Ok(granted) => {
                self.dispatched(&granted);
                Ok(granted)
            }
            Err(retry_after) => {
                let text = "no target has room before the deadline";
                Err(self.error(ErrorCode::Overloaded, text).retry_after(retry_after))
            }
        }
    }

    /// Name of the present try towards the target.
    fn target_request_id(&self) -> String {
        let call = &self.request.call;
        match self.request.work.is_repeatable() {
            true => format!("{}@{}~{}", call.request, call.workspace, self.app.next_attempt()),
            false => format!("{}@{}", call.request, call.workspace),
        }
    }

    /// An error that tells truly whether a target may have seen the call.
    fn error(&self, code: ErrorCode, text: &str) -> ApiError {
        match self.sent {
            true => ApiError::unknown(code, text),
            false => ApiError::not_run(code, text),
        }
    }

    fn event(&self, kind: EventKind, detail: String) {
        let subject = self.request.call.to_string();
        self.app.timeline.record(clock::now(), kind, subject, detail);
    }

    fn dispatched(&self, granted: &Granted) {
        self.event(EventKind::Dispatched, format!("target {}", granted.target));
        if granted.yields > 0 {
            signal_yield(self.app, &granted.target, granted.yields);
        }
    }

    /// Notes a failed try.
    fn fail(&mut self, target: &TargetId, error: &TargetError) {
        self.sent |= error.may_have_run();
        self.failed.push(target.clone());
        self.event(EventKind::TargetFailed, format!("target {target}: {error}"));
    }

    fn close(&self) {
        self.pool.forget(self.ticket);
    }
}

/// Tells batch hosts directly to make room at a target.
fn signal_yield(app: &Arc<App>, target: &TargetId, mut yields: u32) {
    let runners = app.hosts.lock().batch_at(clock::now(), target);
    for (link, count) in runners {
        let part = count.min(yields);
        yields -= part;
        if part > 0 {
            let (app, request) = (Arc::clone(app), PeerRequest::Yield(target.clone(), part));
            tokio::spawn(async move { app.call_peer(&link, &request, YIELD_TIMEOUT).await });
        }
    }
}

/// The router's view of a failed try.
const fn failure(error: &TargetError) -> Failure {
    match error {
        TargetError::Connect(_) => Failure::Connect,
        TargetError::Silent => Failure::IdleTimeout,
        TargetError::Broken(_) | TargetError::Crossed(_) => Failure::BrokenStream,
        TargetError::Status(status, _) => Failure::Status(*status),
    }
}
