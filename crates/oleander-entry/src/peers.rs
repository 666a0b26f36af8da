//! Server for the requests of peers.

use std::{sync::Arc, time::Duration};

use oleander_core::{AttemptId, CallId, Span};
use oleander_link::{LinkError, Server};
use oleander_peer::{PeerRequest, PeerResponse, RunState, RunUpdate, ServiceCrashes};

use crate::{app::App, background};

/// Maximum number of concurrent requests; a follow request occupies a worker while it waits.
const WORKERS: usize = 512;
/// Maximum time that a follow request waits for new tokens.
const MAX_FOLLOW_WAIT: Duration = Duration::from_secs(1);

/// Serves peers until the returned server is dropped.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub(crate) fn serve(app: &Arc<App>) -> Result<Server, LinkError> {
    let listen = app.settings.link.to_string();
    let state = Arc::clone(app);
    app.link.serve(&listen, WORKERS, move |_peer, request| {
        let app = Arc::clone(&state);
        async move { handle_request(&app, request).await }
    })
}

async fn handle_request(app: &Arc<App>, request: PeerRequest) -> PeerResponse {
    match request {
        PeerRequest::Shard(shard, call) => match app.shards.ask(shard, call).await {
            Some(reply) => PeerResponse::Shard(reply),
            None => PeerResponse::Refused("the shard does not reply".to_owned()),
        },
        PeerRequest::Follow { call, attempt, from, wait } => {
            PeerResponse::Followed(follow(app, &call, &attempt, from, wait).await)
        }
        PeerRequest::Status(status) => {
            let state = Arc::clone(app);
            tokio::spawn(async move { background::handle_status(&state, status).await });
            PeerResponse::Status(app.status())
        }
        PeerRequest::Document(known) => PeerResponse::Document(app.document.newer_than(known)),
        PeerRequest::Hosts => PeerResponse::Hosts(app.hosts.lock().links()),
        PeerRequest::Quarantine(crashes) => {
            merge_crashes(app, crashes);
            PeerResponse::Done
        }
        PeerRequest::Yield(..) | PeerRequest::Cancelled(_) | PeerRequest::Members(_) => {
            PeerResponse::Refused("an entry does not serve this request".to_owned())
        }
    }
}

fn merge_crashes(app: &App, crashes: Vec<ServiceCrashes>) {
    for ServiceCrashes { service, news } in crashes {
        if let Some(pool) = app.pools.get(&service) {
            pool.merge_quarantine(news);
        }
    }
}

async fn follow(
    app: &App,
    call: &CallId,
    attempt: &AttemptId,
    from: u64,
    wait: Span,
) -> Option<RunUpdate> {
    let run = app.runs.get(call).filter(|run| run.attempt() == attempt)?;
    let wait = wait.to_duration().min(MAX_FOLLOW_WAIT);
    let update = match tokio::time::timeout(wait, run.wait(from)).await {
        Ok(update) => update,
        Err(_) => run.read(from),
    };
    let state = update.outcome.map_or(RunState::Running, RunState::Ended);
    Some(RunUpdate { tokens: update.tokens, state })
}
