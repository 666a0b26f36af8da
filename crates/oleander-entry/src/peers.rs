//! Requests of peers.

use std::{sync::Arc, time::Duration};

use oleander_core::{AttemptId, CallId, Span};
use oleander_link::{LinkError, Server};
use oleander_peer::{Followed, PeerAnswer, PeerRequest, Progress};

use crate::{app::App, exchange};

/// Requests served at once; a follow request occupies one while it waits.
const WORKERS: usize = 512;
/// Longest wait of a follow request.
const MAX_FOLLOW: Duration = Duration::from_secs(1);

/// Serves peers until the server is dropped.
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
            None => PeerAnswer::Refused("shard does not answer".to_owned()),
        },
        PeerRequest::Follow { call, attempt, from, wait } => {
            PeerAnswer::Followed(follow(app, &call, &attempt, from, wait).await)
        }
        PeerRequest::Status(status) => {
            let state = Arc::clone(app);
            tokio::spawn(async move { exchange::hear(&state, status).await });
            PeerAnswer::Status(app.status())
        }
        PeerRequest::Document(known) => PeerAnswer::Document(app.documents.newer_than(known)),
        PeerRequest::Yield(..) | PeerRequest::Cancelled(_) | PeerRequest::Members(_) => {
            PeerAnswer::Refused("not served by an entry".to_owned())
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
    let flight = app.flights.get(call).filter(|flight| flight.attempt() == attempt)?;
    let wait = wait.to_duration().min(MAX_FOLLOW);
    let news = match tokio::time::timeout(wait, flight.wait(from)).await {
        Ok(news) => news,
        Err(_) => flight.news(from),
    };
    let progress = news.end.map_or(Progress::Running, Progress::Ended);
    Some(Followed { tokens: news.tokens, progress })
}
