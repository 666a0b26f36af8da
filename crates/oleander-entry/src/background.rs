//! Background tasks: status exchange with peers, polling of hosts and loads, watching the document,
//! and notices of cancelled jobs.

use std::{sync::Arc, time::Duration};

use oleander_core::{EventKind, JobId, Revision, Span};
use oleander_host::clock;
use oleander_node::DOCUMENT_KEY;
use oleander_peer::{PeerRequest, PeerResponse, ServiceCrashes, Status};
use oleander_platform::{ObjectStore as _, Platform as _, Role};
use rand::seq::IndexedRandom as _;
use tokio::sync::mpsc;

use crate::app::App;

const STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time between two statuses, changed or not.
const KEEPALIVE_INTERVAL: Span = Span::from_millis(500);
const STATUS_TIMEOUT: Duration = Duration::from_millis(800);
const CRASHES_INTERVAL: Duration = Duration::from_millis(50);
/// One in so many times, one entry is told all that is known of crashes.
const CRASHES_REPEAT: u32 = 10;
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
const HOSTS_POLL_INTERVAL: Duration = Duration::from_secs(1);
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(500);
const DOCUMENT_RETRY_INTERVAL: Duration = Duration::from_millis(500);
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts all background tasks.
pub(crate) fn start(app: &Arc<App>, cancelled_jobs: mpsc::Receiver<JobId>) {
    tokio::spawn(forward_cancellations(Arc::clone(app), cancelled_jobs));
    tokio::spawn(exchange_statuses(Arc::clone(app)));
    tokio::spawn(share_crashes(Arc::clone(app)));
    tokio::spawn(poll_hosts(Arc::clone(app)));
    tokio::spawn(poll_loads(Arc::clone(app)));
    tokio::spawn(watch_document(Arc::clone(app)));
}

/// Sends the status to all peers when it changes, and at least every [`KEEPALIVE_INTERVAL`].
async fn exchange_statuses(app: Arc<App>) {
    let mut last: Option<Status> = None;
    loop {
        app.shards.start_owned(app.settings.entry.shards);
        let status = app.status();
        if last.as_ref().is_none_or(|last| is_due(last, &status)) {
            let links = app.hosts.lock().links();
            for link in links {
                tokio::spawn(exchange_status(Arc::clone(&app), link));
            }
            last = Some(status);
        }
        tokio::time::sleep(STATUS_INTERVAL).await;
    }
}

/// Tells the other entries of crashes: all of them what is new, and now and then one of them all
/// that is known.
async fn share_crashes(app: Arc<App>) {
    for tick in 1_u32.. {
        tokio::time::sleep(CRASHES_INTERVAL).await;
        let (pools, links) = (app.pools.all(), app.hosts.lock().entry_links());
        let news: Vec<_> = pools.iter().filter_map(|pool| pool.take_crashes()).collect();
        for link in &links {
            tell_crashes(&app, link, news.clone());
        }
        if tick.is_multiple_of(CRASHES_REPEAT)
            && let Some(link) = links.choose(&mut rand::rng())
        {
            let known = pools.iter().filter_map(|pool| pool.known_crashes()).collect();
            tell_crashes(&app, link, known);
        }
    }
}

fn tell_crashes(app: &Arc<App>, link: &str, crashes: Vec<ServiceCrashes>) {
    if crashes.is_empty() {
        return;
    }
    let (app, link) = (Arc::clone(app), link.to_owned());
    let request = PeerRequest::Quarantine(crashes);
    // What is lost is told again.
    tokio::spawn(async move { app.call_peer(&link, &request, STATUS_TIMEOUT).await });
}

fn is_due(last: &Status, status: &Status) -> bool {
    let same = last.revision == status.revision
        && last.draining == status.draining
        && last.counts == status.counts;
    !same || status.sent_at.since(last.sent_at) >= KEEPALIVE_INTERVAL
}

async fn exchange_status(app: Arc<App>, link: String) {
    let request = PeerRequest::Status(app.status());
    if let Ok(PeerResponse::Status(status)) = app.call_peer(&link, &request, STATUS_TIMEOUT).await {
        handle_status(&app, status).await;
    }
}

/// Records a peer's status and fetches its document if that is newer.
pub(crate) async fn handle_status(app: &App, status: Status) {
    let (link, peer_revision) = (status.contact.link.clone(), status.revision);
    app.record_status(status);
    let Some(peer_revision) = peer_revision else { return };
    let own_revision = app.document.revision();
    if own_revision >= Some(peer_revision) {
        return;
    }
    if own_revision.is_none() {
        fetch_hosts(app, &link).await;
    }
    let request = PeerRequest::Document(own_revision.unwrap_or(Revision(0)));
    let response = app.call_peer(&link, &request, DOCUMENT_TIMEOUT).await;
    if let Ok(PeerResponse::Document(Some((revision, text)))) = response {
        apply_document(app, revision, text.as_bytes());
    }
}

/// Adds the hosts that a peer knows: a host that has started in an outage of the platform may
/// otherwise know only that peer, and be known to no other.
async fn fetch_hosts(app: &App, link: &str) {
    match app.call_peer(link, &PeerRequest::Hosts, STATUS_TIMEOUT).await {
        Ok(PeerResponse::Hosts(links)) => app.hosts.lock().add_listed(links),
        Ok(_) => log::warn!("peer {link} does not tell its hosts"),
        Err(error) => log::warn!("asking {link} for its hosts failed: {error}"),
    }
}

/// Puts a document in force if it is newer than the current one.
pub(crate) fn apply_document(app: &App, revision: Revision, bytes: &[u8]) {
    let Some(document) = app.document.update_if_newer(revision, bytes) else { return };
    app.pools.set_document(&document);
    for workspace in &document.workspaces {
        let rate = workspace.limits.rate;
        app.limiter.lock().set_rate(clock::now(), &workspace.name, rate);
    }
    let (subject, detail) = ("config".to_owned(), format!("revision {revision}"));
    app.timeline.record(clock::now(), EventKind::ConfigApplied, subject, detail);
}

/// Notifies the batch hosts of jobs that were cancelled through this entry.
async fn forward_cancellations(app: Arc<App>, mut cancelled_jobs: mpsc::Receiver<JobId>) {
    while let Some(job) = cancelled_jobs.recv().await {
        let links = app.hosts.lock().batch_links();
        for link in links {
            let (app, request) = (Arc::clone(&app), PeerRequest::Cancelled(job.clone()));
            tokio::spawn(async move { app.call_peer(&link, &request, CANCEL_TIMEOUT).await });
        }
    }
}

async fn watch_document(app: Arc<App>) {
    loop {
        match app.platform.get(DOCUMENT_KEY).await {
            Ok(Some(object)) => apply_document(&app, object.revision, &object.body),
            Ok(None) => {}
            Err(error) => {
                log::warn!("reading the document failed: {error}");
                tokio::time::sleep(DOCUMENT_RETRY_INTERVAL).await;
                continue;
            }
        }
        let from = app.document.revision().unwrap_or(Revision(0));
        if let Err(error) = app.platform.changed(DOCUMENT_KEY, from).await {
            log::debug!("watching the document failed: {error}");
            tokio::time::sleep(DOCUMENT_RETRY_INTERVAL).await;
        }
    }
}

async fn poll_hosts(app: Arc<App>) {
    loop {
        match app.platform.hosts().await {
            Ok(view) => {
                let peers = view.hosts.iter().filter(|host| host.role != Role::Target);
                let links = peers.map(|host| host.address.clone()).collect();
                app.hosts.lock().set_listed(links);
                app.pools.update_leaving(&view);
            }
            Err(error) => log::debug!("reading the list of hosts failed: {error}"),
        }
        tokio::time::sleep(HOSTS_POLL_INTERVAL).await;
    }
}

async fn poll_loads(app: Arc<App>) {
    loop {
        app.pools.read_loads(&app.targets);
        tokio::time::sleep(LOAD_POLL_INTERVAL).await;
    }
}
