//! Requests of peers, and what is known of them.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use oleander_core::{HostId, Revision, Span, Time};
use oleander_host::clock;
use oleander_link::{LinkError, Server};
use oleander_peer::{PeerRequest, PeerResponse, Status};

use crate::{app::App, follow};

/// Requests served at once.
const WORKERS: usize = 64;
/// Age at which what a peer said of itself is dropped.
const PEER_KEEP: Span = Span::from_secs(10);

#[derive(Debug)]
struct Known {
    link: String,
    heard: Time,
    draining: bool,
}

/// The other processes of the system as this one knows them.
#[derive(Debug)]
pub(crate) struct Peers {
    own: String,
    known: HashMap<HostId, Known>,
    listed: Vec<String>,
}

impl Peers {
    /// Only this process is known.
    pub(crate) fn new(own: String) -> Self {
        Self { own, known: HashMap::new(), listed: Vec::new() }
    }

    /// Takes link addresses from the platform's list.
    pub(crate) fn list(&mut self, links: Vec<String>) {
        self.listed = links;
    }

    /// Takes a peer's status.
    pub(crate) fn hear(&mut self, now: Time, status: &Status) {
        let known =
            Known { link: status.contact.link.clone(), heard: now, draining: status.draining };
        self.known.retain(|_, known| now.since(known.heard) <= PEER_KEEP);
        self.known.insert(status.contact.host.clone(), known);
    }

    /// Link addresses to exchange statuses with.
    pub(crate) fn links(&self) -> Vec<String> {
        let known = self.known.values().map(|known| known.link.clone());
        let links: HashSet<String> = self.listed.iter().cloned().chain(known).collect();
        links.into_iter().filter(|link| *link != self.own).collect()
    }

    /// Whether a host says that it is leaving.
    pub(crate) fn is_draining(&self, host: &HostId) -> bool {
        self.known.get(host).is_some_and(|known| known.draining)
    }
}

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
        async move { answer(&app, request) }
    })
}

fn answer(app: &Arc<App>, request: PeerRequest) -> PeerResponse {
    match request {
        PeerRequest::Status(status) => {
            let state = Arc::clone(app);
            hear(app, &status);
            tokio::spawn(async move { follow::catch_up(&state, &status).await });
            PeerResponse::Status(app.status())
        }
        PeerRequest::Document(known) => PeerResponse::Document(app.documents.newer(known)),
        PeerRequest::Yield(target, count) => {
            app.yield_items(&target, count);
            PeerResponse::Done
        }
        PeerRequest::Cancelled(job) => {
            app.stop_job(&job);
            PeerResponse::Done
        }
        PeerRequest::Shard(..) | PeerRequest::Follow { .. } | PeerRequest::Members(_) => {
            PeerResponse::Refused("not served by a batch host".to_owned())
        }
    }
}

/// Takes a peer's status, and makes room if it shows more online work.
pub(crate) fn hear(app: &App, status: &Status) {
    app.timeline.observe(status.logical);
    for pool in app.pools.all() {
        pool.peer(&status.contact.host, &status.counts, status.sent_at);
    }
    app.peers.lock().hear(clock::now(), status);
    app.yield_excess();
}

/// The revision a host knows, for a request of a newer one.
pub(crate) fn known_revision(app: &App) -> Revision {
    app.documents.revision().unwrap_or(Revision(0))
}
