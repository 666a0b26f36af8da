//! Background tasks: status exchange with peers, polling of hosts, loads and the document.

use std::{sync::Arc, time::Duration};

use oleander_core::{EventKind, HostId, Revision};
use oleander_host::clock;
use oleander_node::DOCUMENT_KEY;
use oleander_peer::{PeerRequest, PeerResponse, Status};
use oleander_platform::{HostListing, HostState, ObjectStore as _, Platform as _, Role};

use crate::{app::App, peers};

const STATUS_INTERVAL: Duration = Duration::from_millis(200);
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);
const HOSTS_POLL_INTERVAL: Duration = Duration::from_secs(1);
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(500);
const DOCUMENT_POLL_INTERVAL: Duration = Duration::from_secs(3);
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts all background tasks.
pub(crate) fn start(app: &Arc<App>) {
    tokio::spawn(exchange_statuses(Arc::clone(app)));
    tokio::spawn(poll_hosts(Arc::clone(app)));
    tokio::spawn(poll_loads(Arc::clone(app)));
    tokio::spawn(poll_document(Arc::clone(app)));
}

async fn exchange_statuses(app: Arc<App>) {
    loop {
        let links = app.peers.lock().links();
        for link in links {
            tokio::spawn(exchange_status(Arc::clone(&app), link));
        }
        tokio::time::sleep(STATUS_INTERVAL).await;
    }
}

async fn exchange_status(app: Arc<App>, link: String) {
    let request = PeerRequest::Status(app.status());
    if let Ok(PeerResponse::Status(status)) = app.call_peer(&link, &request, STATUS_TIMEOUT).await {
        peers::record_status(&app, &status);
        fetch_newer_document(&app, &status).await;
    }
}

/// Fetches and applies the peer's document if it is newer.
pub(crate) async fn fetch_newer_document(app: &App, status: &Status) {
    if app.document.revision() >= status.revision {
        return;
    }
    if app.document.revision().is_none() {
        fetch_hosts(app, &status.contact.link).await;
    }
    let request = PeerRequest::Document(peers::known_revision(app));
    let response = app.call_peer(&status.contact.link, &request, DOCUMENT_TIMEOUT).await;
    if let Ok(PeerResponse::Document(Some((revision, text)))) = response {
        apply_document(app, revision, text.as_bytes());
    }
}

/// Adds the hosts that a peer knows: a host that has started in an outage of the platform may
/// otherwise know only that peer, and be known to no other.
async fn fetch_hosts(app: &App, link: &str) {
    match app.call_peer(link, &PeerRequest::Hosts, STATUS_TIMEOUT).await {
        Ok(PeerResponse::Hosts(links)) => app.peers.lock().add_listed(links),
        Ok(_) => log::warn!("peer {link} does not tell its hosts"),
        Err(error) => log::warn!("asking {link} for its hosts failed: {error}"),
    }
}

/// Puts a document in force if it is newer than the current one.
fn apply_document(app: &App, revision: Revision, bytes: &[u8]) {
    let Some(document) = app.document.update_if_newer(revision, bytes) else { return };
    app.pools.set_document(&document);
    let detail = format!("revision {revision}");
    app.timeline.record(clock::now(), EventKind::ConfigApplied, "config", detail);
}

async fn poll_document(app: Arc<App>) {
    loop {
        match app.platform.get(DOCUMENT_KEY).await {
            Ok(Some(object)) => apply_document(&app, object.revision, &object.body),
            Ok(None) => {}
            Err(error) => log::warn!("reading the document failed: {error}"),
        }
        tokio::time::sleep(DOCUMENT_POLL_INTERVAL).await;
    }
}

async fn poll_hosts(app: Arc<App>) {
    loop {
        match app.platform.hosts().await {
            Ok(view) => update_hosts(&app, &view),
            Err(error) => log::debug!("reading the list of hosts failed: {error}"),
        }
        tokio::time::sleep(HOSTS_POLL_INTERVAL).await;
    }
}

fn update_hosts(app: &App, view: &HostListing) {
    let listed = view.hosts.iter().filter(|host| host.role != Role::Target);
    let links = listed.map(|host| host.address.clone()).collect();
    let mut peers = app.peers.lock();
    peers.set_listed(links);
    let live = view.hosts.iter().filter(|h| h.role == Role::Batch && h.state == HostState::Live);
    let names = live.filter_map(|host| host.name.parse().ok());
    let names: Vec<HostId> = names.filter(|name| !peers.is_draining(name)).collect();
    drop(peers);
    app.jobs.lock().set_hosts(clock::now(), names);
    app.pools.update_leaving(view);
}

async fn poll_loads(app: Arc<App>) {
    loop {
        app.pools.read_loads(&app.targets);
        app.health.lock().expire(clock::now());
        tokio::time::sleep(LOAD_POLL_INTERVAL).await;
    }
}
