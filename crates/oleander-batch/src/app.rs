//! Shared state of the batch host.
//!
//! Lock order: a lot, then the table of runs, then a router; a router is also locked under the
//! table of pools. The other tables are locked on their own.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize},
    },
    time::Duration,
};

use oleander_core::{EventKind, JobId, hash};
use oleander_host::{Phase, Settings, Shutdown, Timeline, clock};
use oleander_intake::JobStore;
use oleander_jobs::TargetHealth;
use oleander_link::{Link, LinkError};
use oleander_node::{LocalDocument, Pools, routing_policy};
use oleander_peer::{Contact, PeerRequest, PeerResponse, Status};
use oleander_platform::HttpPlatform;
use oleander_target::{TargetClient, Timeouts};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{jobs::Jobs, lots::Lots, peers::Peers, pool::Pool, runs::Runs};

/// Maximum time from the request to the first token of an item.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(10);

/// State of the batch host.
pub(crate) struct App {
    pub(crate) settings: Settings,
    pub(crate) link: Link,
    pub(crate) contact: Contact,
    pub(crate) platform: HttpPlatform,
    pub(crate) store: JobStore<HttpPlatform>,
    pub(crate) targets: TargetClient,
    pub(crate) timeline: Arc<Timeline>,
    pub(crate) document: LocalDocument,
    pub(crate) peers: Mutex<Peers>,
    pub(crate) pools: Pools<Pool>,
    pub(crate) jobs: Mutex<Jobs>,
    pub(crate) lots: Mutex<Lots>,
    pub(crate) runs: Mutex<Runs>,
    pub(crate) health: Mutex<TargetHealth>,
    pub(crate) shutdown: Shutdown,
    /// Wakes the dispatch loop.
    pub(crate) wake: Notify,
    /// Number of lots that are being opened.
    pub(crate) opening: AtomicUsize,
    /// Incarnation number of the next lot to open. It starts at the time of the start, so that it
    /// differs from those that earlier processes of this host used.
    pub(crate) next_incarnation: AtomicU64,
}

impl App {
    /// The state at start, without a document, peers or jobs.
    pub(crate) fn new(settings: Settings, link: Link, shutdown: Shutdown) -> Self {
        let started = clock::now().0;
        let platform = HttpPlatform::new(&settings.platform.to_string());
        let seed = hash::hash_parts(&[settings.host.as_str()]) ^ started;
        let policy = routing_policy(settings.batch.policy);
        let timeouts = Timeouts::new().first_byte(FIRST_TOKEN_TIMEOUT);
        Self {
            contact: Contact {
                host: settings.host.clone(),
                zone: settings.zone.clone(),
                entry: false,
                listen: settings.listen.to_string(),
                link: settings.link.to_string(),
                admin: settings.admin.to_string(),
            },
            store: JobStore::new(platform.clone()),
            targets: TargetClient::new(timeouts),
            timeline: Arc::new(Timeline::new(settings.host.clone(), Timeline::DEFAULT_CAPACITY)),
            document: LocalDocument::default(),
            peers: Mutex::new(Peers::new(settings.link.to_string())),
            pools: Pools::new(settings.host.clone(), settings.zone.clone(), policy, seed),
            jobs: Mutex::new(Jobs::new(settings.host.clone(), settings.batch.claim_timeout)),
            lots: Mutex::default(),
            runs: Mutex::default(),
            health: Mutex::default(),
            wake: Notify::new(),
            opening: AtomicUsize::new(0),
            next_incarnation: AtomicU64::new(started),
            platform,
            settings,
            link,
            shutdown,
        }
    }

    /// Whether this host starts new work, that is, is not draining.
    pub(crate) fn is_running(&self) -> bool {
        self.shutdown.phase() == Phase::Running
    }

    /// Records an event of a job in the timeline.
    pub(crate) fn record_event(&self, kind: EventKind, job: &JobId, detail: String) {
        self.timeline.record(clock::now(), kind, job.to_string(), detail);
    }

    /// Calls a peer.
    pub(crate) async fn call_peer(
        &self,
        link: &str,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, LinkError> {
        self.link.call(link, request, timeout).await
    }

    /// This host's own status.
    pub(crate) fn status(&self) -> Status {
        Status {
            contact: self.contact.clone(),
            sent_at: clock::now(),
            logical: self.timeline.logical_time(),
            revision: self.document.revision(),
            draining: !self.is_running(),
            counts: self.pools.all().iter().flat_map(|pool| pool.counts()).collect(),
            events: Vec::new(),
        }
    }
}
