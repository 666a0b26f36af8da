//! Server for the requests of peers, and the table of known peers.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use oleander_core::{HostId, Revision, Span, Time};
use oleander_host::clock;
use oleander_link::{LinkError, Server};
use oleander_peer::{PeerRequest, PeerResponse, Status};

use crate::{app::App, background};

/// Maximum number of concurrent requests.
const WORKERS: usize = 64;
/// Age at which a peer's status expires.
const PEER_TTL: Span = Span::from_secs(10);

#[derive(Debug)]
struct Peer {
    link: String,
    last_status: Time,
    draining: bool,
}

/// The other hosts of the system as this host sees them.
#[derive(Debug)]
pub(crate) struct Peers {
    own_link: String,
    known: HashMap<HostId, Peer>,
    listed: Vec<String>,
}

impl Peers {
    /// No peers yet; `own_link` is this host's own address.
    pub(crate) fn new(own_link: String) -> Self {
        Self { own_link, known: HashMap::new(), listed: Vec::new() }
    }

    /// Sets the link addresses of the platform's list of hosts.
    pub(crate) fn set_listed(&mut self, links: Vec<String>) {
        self.listed = links;
    }

    /// Adds link addresses that a peer named, until the platform lists the hosts again.
    pub(crate) fn add_listed(&mut self, links: Vec<String>) {
        self.listed.extend(links);
        self.listed.sort();
        self.listed.dedup();
    }

    /// Records a peer's status and removes expired ones.
    pub(crate) fn record_status(&mut self, now: Time, status: &Status) {
        let known =
            Peer { link: status.contact.link.clone(), last_status: now, draining: status.draining };
        self.known.retain(|_, known| now.since(known.last_status) <= PEER_TTL);
        self.known.insert(status.contact.host.clone(), known);
    }

    /// Link addresses to exchange statuses with.
    pub(crate) fn links(&self) -> Vec<String> {
        let known = self.known.values().map(|known| known.link.clone());
        let links: HashSet<String> = self.listed.iter().cloned().chain(known).collect();
        links.into_iter().filter(|link| *link != self.own_link).collect()
    }

    /// Whether the latest status of a host says that it is draining.
    pub(crate) fn is_draining(&self, host: &HostId) -> bool {
        self.known.get(host).is_some_and(|known| known.draining)
    }
}

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
        async move { handle_request(&app, request) }
    })
}

fn handle_request(app: &Arc<App>, request: PeerRequest) -> PeerResponse {
    match request {
        PeerRequest::Status(status) => {
            let state = Arc::clone(app);
            record_status(app, &status);
            tokio::spawn(async move { background::fetch_newer_document(&state, &status).await });
            PeerResponse::Status(app.status())
        }
        PeerRequest::Document(known) => PeerResponse::Document(app.document.newer_than(known)),
        PeerRequest::Hosts => PeerResponse::Hosts(app.peers.lock().links()),
        PeerRequest::Yield(target, count) => {
            app.yield_items(&target, count);
            PeerResponse::Done
        }
        PeerRequest::Cancelled(job) => {
            app.stop_job(&job);
            PeerResponse::Done
        }
        PeerRequest::Shard(..)
        | PeerRequest::Follow { .. }
        | PeerRequest::Members(_)
        | PeerRequest::Quarantine(_) => {
            PeerResponse::Refused("a batch host does not serve this request".to_owned())
        }
    }
}

/// Records a peer's status, and yields items if it shows more online calls.
pub(crate) fn record_status(app: &App, status: &Status) {
    app.timeline.advance_to(status.logical);
    for pool in app.pools.all() {
        pool.update_peer(&status.contact.host, &status.counts, status.sent_at);
    }
    app.peers.lock().record_status(clock::now(), status);
    app.yield_excess();
}

/// Revision of this host's document, to request a newer one; 0 if it has none.
pub(crate) fn known_revision(app: &App) -> Revision {
    app.document.revision().unwrap_or(Revision(0))
}
