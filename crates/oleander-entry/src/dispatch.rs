//! Dispatch of calls to targets, with failover to another target when one fails.

mod chat;
mod operation;

use std::{sync::Arc, time::Duration};

use oleander_core::{ApiError, ErrorCode, EventKind, Span, TargetId};
use oleander_host::clock;
use oleander_peer::PeerRequest;
use oleander_quarantine::RequestParts;
use oleander_routing::{Failure, Pick, TicketId};
use oleander_target::TargetError;

use crate::{
    active_run::ActiveRun,
    app::App,
    call::{CallRequest, RunResult, Work},
    pool::{AcquireError, Pool, TargetLease},
};

/// Maximum number of targets that one call is sent to.
const MAX_DISPATCHES: u32 = 4;
/// Targets that may crash at one call before it is given up.
const MAX_CRASHES: u32 = 2;
const YIELD_TIMEOUT: Duration = Duration::from_millis(500);
/// `Retry-After` of a call whose targets failed.
const TARGET_RETRY_AFTER: Span = Span::from_secs(1);

/// Runs a call at the targets of its service until one responds or no further target may be tried.
pub(crate) async fn dispatch(app: &Arc<App>, request: &CallRequest, run: &ActiveRun) -> RunResult {
    let Some(pool) = app.pools.get(&request.service) else {
        let text = format!("service {} is not declared", request.service);
        return RunResult::Error(ApiError::not_run(ErrorCode::NotFound, text));
    };
    pool.record_request();
    let mut dispatcher = Dispatcher::new(app, request, pool);
    let result = match &request.work {
        Work::Chat(body) => chat::run(&mut dispatcher, run, body).await,
        Work::Operation { path, body, repeatable } => {
            operation::run(&mut dispatcher, path, body, *repeatable).await
        }
    };
    dispatcher.cancel_ticket();
    result
}

/// Sends one call to a target at a time and records the targets that failed.
struct Dispatcher<'a> {
    app: &'a Arc<App>,
    request: &'a CallRequest,
    pool: Arc<Pool>,
    ticket: TicketId,
    parts: Arc<RequestParts>,
    failed: Vec<TargetId>,
    dispatches: u32,
    /// Targets that crashed before they sent output for this call.
    crashes: u32,
    /// Whether a target may have executed the call.
    may_have_run: bool,
}

impl<'a> Dispatcher<'a> {
    fn new(app: &'a Arc<App>, request: &'a CallRequest, pool: Arc<Pool>) -> Self {
        let (ticket, parts) = (pool.ticket(), Arc::new(request.parts()));
        let failed = Vec::new();
        Self {
            app,
            request,
            pool,
            ticket,
            parts,
            failed,
            dispatches: 0,
            crashes: 0,
            may_have_run: false,
        }
    }

    /// Waits for a target that has not failed this call.
    ///
    /// # Errors
    ///
    /// Fails if no further target may be tried or none has free capacity before the deadline.
    async fn acquire_target(&mut self, prefix_hash: Option<u64>) -> Result<TargetLease, ApiError> {
        if self.crashes >= MAX_CRASHES {
            let text = "targets have crashed at this call";
            return Err(self.error(ErrorCode::TargetFailed, text).retry_after(TARGET_RETRY_AFTER));
        }
        if self.dispatches > 0
            && (self.dispatches >= MAX_DISPATCHES || !self.pool.try_withdraw_retry())
        {
            let text = "the targets failed and the retry limit or retry budget is used up";
            return Err(self.error(ErrorCode::TargetFailed, text).retry_after(TARGET_RETRY_AFTER));
        }
        self.dispatches += 1;
        let mut pick =
            Pick::online(self.ticket).exclude(self.failed.clone()).deadline(self.request.deadline);
        pick.prefix = prefix_hash;
        match self.pool.acquire(&pick, &self.parts).await {
            Ok(lease) => {
                self.record_dispatch(&lease);
                Ok(lease)
            }
            Err(AcquireError::NoCapacity(retry_after)) => {
                let text = "no target has free capacity before the deadline";
                Err(self.error(ErrorCode::Overloaded, text).retry_after(retry_after))
            }
            Err(AcquireError::Blocked(remaining)) => {
                let text = "targets have crashed at calls with the same messages";
                Err(self.error(ErrorCode::Unavailable, text).retry_after(remaining))
            }
        }
    }

    /// Request id sent to the target; a repeatable call gets a new one at each target.
    fn target_request_id(&self) -> String {
        let call = &self.request.call;
        match self.request.work.is_repeatable() {
            true => format!("{}@{}~{}", call.request, call.workspace, self.app.next_attempt()),
            false => format!("{}@{}", call.request, call.workspace),
        }
    }

    /// An error that states whether a target may have executed the call.
    fn error(&self, code: ErrorCode, text: &str) -> ApiError {
        match self.may_have_run {
            true => ApiError::may_have_run(code, text),
            false => ApiError::not_run(code, text),
        }
    }

    fn record_event(&self, kind: EventKind, detail: String) {
        let subject = self.request.call.to_string();
        self.app.timeline.record(clock::now(), kind, subject, detail);
    }

    fn record_dispatch(&self, lease: &TargetLease) {
        self.record_event(EventKind::Dispatched, format!("target {}", lease.target));
        if lease.yields > 0 {
            signal_yield(self.app, &lease.target, lease.yields);
        }
    }

    /// Records that a target failed and excludes it from further attempts.
    async fn record_failure(&mut self, lease: TargetLease, error: TargetError) {
        let target = &lease.target;
        self.may_have_run |= error.may_have_run();
        self.failed.push(target.clone());
        self.record_event(EventKind::TargetFailed, format!("target {target}: {error}"));
        if lease.has_output() {
            check_target(lease, error);
        } else {
            self.crashes += u32::from(lease.has_crashed_target(&error).await);
        }
    }

    fn cancel_ticket(&self) {
        self.pool.cancel_ticket(self.ticket);
    }
}

/// Finds out in the background whether a target that broke off has crashed.
fn check_target(lease: TargetLease, error: TargetError) {
    tokio::spawn(async move { lease.has_crashed_target(&error).await });
}

/// Asks the batch hosts with items at a target to yield `yields` items in total.
fn signal_yield(app: &Arc<App>, target: &TargetId, mut yields: u32) {
    let batch_hosts = app.hosts.lock().batch_hosts_at(clock::now(), target);
    for (link, count) in batch_hosts {
        let share = count.min(yields);
        yields -= share;
        if share > 0 {
            let (app, request) = (Arc::clone(app), PeerRequest::Yield(target.clone(), share));
            tokio::spawn(async move { app.call_peer(&link, &request, YIELD_TIMEOUT).await });
        }
    }
}

/// The router's class of a target error.
const fn routing_failure(error: &TargetError) -> Failure {
    match error {
        TargetError::Connect(_) => Failure::Connect,
        TargetError::Timeout => Failure::IdleTimeout,
        TargetError::Interrupted(_) | TargetError::RequestMismatch(_) => Failure::BrokenStream,
        TargetError::Status(status, _) => Failure::Status(*status),
    }
}
