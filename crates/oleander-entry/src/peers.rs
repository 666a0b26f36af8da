//! Server for the requests of peers.

use std::{sync::Arc, time::Duration};

use oleander_core::{AttemptId, CallId, Span};
use oleander_link::{LinkError, Server};
use oleander_peer::{Followed, PeerAnswer, PeerRequest, Progress};

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
        async move { answer(&app, request).await }
    })
}

async fn answer(app: &Arc<App>, request: PeerRequest) -> PeerAnswer {
    match request {
        PeerRequest::Shard(shard, call) => match app.shards.ask(shard, call).await {
            Some(reply) => PeerAnswer::Shard(reply),
            None => PeerAnswer::Refused("the shard does not reply".to_owned()),
        },
        PeerRequest::Follow { call, attempt, from, wait } => {
            PeerAnswer::Followed(follow(app, &call, &attempt, from, wait).await)
        }
        PeerRequest::Status(status) => {
            let state = Arc::clone(app);
            tokio::spawn(async move { background::handle_status(&state, status).await });
            PeerAnswer::Status(app.status())
        }
        PeerRequest::Document(known) => PeerAnswer::Document(app.documents.newer_than(known)),
        PeerRequest::Yield(..) | PeerRequest::Cancelled(_) | PeerRequest::Members(_) => {
            PeerAnswer::Refused("an entry does not serve this request".to_owned())
        }
    }
}

async fn follow(
    app: &App,
    call: &CallId,
    attempt: &AttemptId,
    from: u64,
    wait: Span,
) -> Option<Followed> {
    let run = app.runs.get(call).filter(|run| run.attempt() == attempt)?;
    let wait = wait.to_duration().min(MAX_FOLLOW_WAIT);
    let update = match tokio::time::timeout(wait, run.wait(from)).await {
        Ok(update) => update,
        Err(_) => run.read(from),
    };
    let progress = update.outcome.map_or(Progress::Running, Progress::Ended);
    Some(Followed { tokens: update.tokens, progress })
}
