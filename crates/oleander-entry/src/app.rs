//! Shared state of the entry host.
//!
//! Each table has its own lock, and no two locks are held at the same time.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_util::future::join_all;
use oleander_core::{AttemptId, CallId, JobId, ShardId, Span, Time, hash};
use oleander_host::{Settings, Shutdown, Timeline, clock};
use oleander_intake::JobStore;
use oleander_ledger::{CallRecord, ShardReply};
use oleander_link::{Link, LinkError};
use oleander_node::{LocalDocument, Pools, routing_policy};
use oleander_peer::{Contact, PeerRequest, PeerResponse, ShardRequest, Status};
use oleander_platform::HttpPlatform;
use oleander_routing::WorkspaceLimiter;
use oleander_target::{TargetClient, Timeouts};
use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::{
    active_run::ActiveRuns,
    hosts::Hosts,
    pool::Pool,
    shards::{ShardPeers, Shards, shard_config},
};

/// Maximum time for a shard's owner to reply.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after the start within which this host discovers the other hosts.
const DISCOVERY_TIME: Span = Span::from_secs(1);
/// Maximum time for a host to reply with its uncommitted outcomes.
const GATHER_TIMEOUT: Duration = Duration::from_millis(200);

/// The other entry hosts, called over links.
#[derive(Clone)]
pub(crate) struct LinkPeers {
    started: Time,
    link: Link,
    hosts: Arc<Mutex<Hosts>>,
}

impl ShardPeers for LinkPeers {
    async fn copy(&self, shard: ShardId, records: Vec<CallRecord>) -> bool {
        let owners = self.hosts.lock().owners(clock::now(), shard);
        let Some(second) = owners.into_iter().flatten().next() else { return false };
        let request = PeerRequest::Shard(shard, ShardRequest::Copies(records));
        let response = self.link.call::<_, PeerResponse>(&second, &request, OWNER_TIMEOUT).await;
        matches!(response, Ok(PeerResponse::Shard(_)))
    }

    async fn gather(&self, shard: ShardId) -> (Vec<CallRecord>, bool) {
        let discovered = self.started + DISCOVERY_TIME;
        tokio::time::sleep(discovered.since(clock::now()).to_duration()).await;
        let entries = self.hosts.lock().entry_links();
        let request = PeerRequest::Shard(shard, ShardRequest::Buffered);
        let calls = entries
            .iter()
            .map(|link| self.link.call::<_, PeerResponse>(link, &request, GATHER_TIMEOUT));
        let (mut gathered, mut complete) = (Vec::new(), true);
        for response in join_all(calls).await {
            match response {
                Ok(PeerResponse::Shard(ShardReply::Buffered(records))) => gathered.extend(records),
                // No process listens at this address, so it holds no outcomes.
                Err(LinkError::Unreachable(_) | LinkError::Refused(_)) => {}
                _ => complete = false,
            }
        }
        (gathered, complete)
    }

    fn view_id(&self) -> u64 {
        self.hosts.lock().view_id(clock::now())
    }

    fn is_owner(&self, shard: ShardId) -> bool {
        let owners = self.hosts.lock().owners(clock::now(), shard);
        owners.first() == Some(&None)
    }
}

/// State of the entry host.
pub(crate) struct App {
    pub(crate) settings: Settings,
    pub(crate) link: Link,
    pub(crate) platform: HttpPlatform,
    pub(crate) targets: TargetClient,
    pub(crate) timeline: Arc<Timeline>,
    pub(crate) document: LocalDocument,
    pub(crate) hosts: Arc<Mutex<Hosts>>,
    pub(crate) pools: Pools<Pool>,
    pub(crate) runs: ActiveRuns,
    pub(crate) shards: Shards<HttpPlatform, LinkPeers>,
    pub(crate) shutdown: Shutdown,
    pub(crate) jobs: JobStore<HttpPlatform>,
    pub(crate) limiter: Mutex<WorkspaceLimiter>,
    incarnation: u64,
    attempts: AtomicU64,
}

impl App {
    /// The state at start, without a document or known hosts.
    pub(crate) fn new(
        settings: Settings,
        link: Link,
        shutdown: Shutdown,
        cancel_sender: mpsc::Sender<JobId>,
    ) -> Self {
        let incarnation = clock::now().0;
        let platform = HttpPlatform::new(&settings.platform.to_string());
        let contact = Contact {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            entry: true,
            listen: settings.listen.to_string(),
            link: settings.link.to_string(),
            admin: settings.admin.to_string(),
        };
        let hosts = Arc::new(Mutex::new(Hosts::new(contact)));
        let peers =
            LinkPeers { started: clock::now(), link: link.clone(), hosts: Arc::clone(&hosts) };
        let seed = hash::hash_parts(&[settings.host.as_str()]) ^ incarnation;
        let policy = routing_policy(settings.entry.policy);
        let config = shard_config(settings.entry.commit_interval);
        Self {
            targets: TargetClient::new(Timeouts::new()),
            timeline: Arc::new(Timeline::new(settings.host.clone(), Timeline::DEFAULT_CAPACITY)),
            document: LocalDocument::default(),
            pools: Pools::new(settings.host.clone(), settings.zone.clone(), policy, seed),
            runs: ActiveRuns::default(),
            shards: Shards::new(
                platform.clone(),
                peers,
                settings.host.clone(),
                incarnation,
                config,
            ),
            attempts: AtomicU64::new(0),
            jobs: JobStore::new(platform.clone()).notify_cancelled(cancel_sender),
            limiter: Mutex::new(WorkspaceLimiter::new(1)),
            settings,
            link,
            platform,
            hosts,
            shutdown,
            incarnation,
        }
    }

    /// A new id for a run or a request.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        let number = self.attempts.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}:{}:{number}", self.settings.host, self.incarnation);
        AttemptId::try_from(text)
            .unwrap_or_else(|_| unreachable!("the longest host id fits in an attempt id"))
    }

    /// The shard of a call.
    pub(crate) fn shard_of(&self, call: &CallId) -> ShardId {
        call.shard(self.settings.entry.shards)
    }

    /// Sends a call to the owner of a shard, and to the next in rank while none replies.
    pub(crate) async fn ask_owner(&self, shard: ShardId, call: ShardRequest) -> Option<ShardReply> {
        let owners = self.hosts.lock().owners(clock::now(), shard);
        for owner in owners {
            let reply = match owner {
                None => self.shards.ask(shard, call.clone()).await,
                Some(link) => self.ask_peer_shard(&link, shard, call.clone()).await,
            };
            if reply.is_some() {
                return reply;
            }
        }
        None
    }

    async fn ask_peer_shard(
        &self,
        link: &str,
        shard: ShardId,
        call: ShardRequest,
    ) -> Option<ShardReply> {
        let request = PeerRequest::Shard(shard, call);
        match self.call_peer(link, &request, OWNER_TIMEOUT).await {
            Ok(PeerResponse::Shard(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Calls a peer and records a failed call.
    pub(crate) async fn call_peer(
        &self,
        link: &str,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, LinkError> {
        let response = self.link.call(link, request, timeout).await;
        if let Err(error) = &response {
            log::debug!("peer {link} did not answer: {error}");
            self.hosts.lock().record_failure(clock::now(), link);
        }
        response
    }

    /// This host's own status.
    pub(crate) fn status(&self) -> Status {
        let counts = self.pools.all().iter().flat_map(|pool| pool.counts()).collect();
        Status {
            contact: self.hosts.lock().own_contact(),
            sent_at: clock::now(),
            logical: self.timeline.logical_time(),
            revision: self.document.revision(),
            draining: self.shutdown.phase() > oleander_host::Phase::Running,
            counts,
            events: Vec::new(),
        }
    }

    /// Updates hosts and pools with the status of a peer.
    pub(crate) fn record_status(&self, status: Status) {
        self.timeline.advance_to(status.logical);
        for pool in self.pools.all() {
            pool.update_peer(&status.contact.host, &status.counts, status.sent_at);
        }
        self.hosts.lock().record_status(clock::now(), status);
    }
}
