//! This host's view of all hosts, and requests between them.

mod hosts;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use oleander_core::{HostId, Revision, Span, Time, hash};
use oleander_host::clock;
use oleander_link::{Link, LinkError, LinkKey, Peer, Server};
use oleander_members::{
    HostList, MemberAction, MemberEvent, MemberRole, MemberState, Members, MembersConfig, Profile,
};
use oleander_platform::{Change, FollowEvent, Follower, ObjectStore};
use oleander_relay::Pools;
use parking_lot::{Mutex, RwLock};
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync;

pub use self::hosts::Liveness;
pub(crate) use self::hosts::PossiblePeer;
use crate::{
    begun::UnsavedStreams,
    disconnected::DisconnectedHosts,
    failover::FailoverStore,
    message::{PeerRequest, PeerResponse},
    record::{HostRecord, PREFIX, StoredRecord},
    zone_load::ZoneLoad,
};

/// Time between probes; a failed host is detected within a few of them.
const PROBE_INTERVAL: Span = Span::from_millis(300);
/// Time after which a probe without a response is relayed through other hosts.
const ACK_TIMEOUT: Span = Span::from_millis(150);
/// Maximum wait of a watch for host records. Records change only when a process starts, and
/// membership detects failed hosts sooner.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Maximum wait for the response to a message that says nothing.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Concurrent peer requests on a host. Those that may take long have bounds of their own, which
/// together leave some workers to the others.
pub const LINK_WORKERS: usize = 64;
/// Concurrent peer requests on a feeder, where most of them are waiting watches: four from each of
/// some hundred hosts.
const FEED_WORKERS: usize = 512;

/// The record of this process.
pub type Identity = HostRecord;

/// Handles the application's requests from peers.
pub trait Handler<Q, A>: Send + Sync + 'static {
    /// Handles a request.
    fn handle(self: Arc<Self>, peer: HostId, request: Q) -> impl Future<Output = A> + Send;
}

/// This host's view of all hosts, and its link to them.
pub struct Cluster {
    /// The record of this process.
    pub local: Identity,
    pub(crate) link: Link,
    pub(crate) pools: Arc<Pools>,
    pub(crate) members: Mutex<Members>,
    pub(crate) zone_load: Mutex<ZoneLoad>,
    /// End of the time for which this host watches the platform directly.
    pub(crate) direct_until: Mutex<Time>,
    /// Whether the platform was out for all hosts, and when they were asked.
    pub(crate) platform_out: sync::Mutex<Option<(Time, bool)>>,
    records: RwLock<BTreeMap<HostId, HostRecord>>,
    leaving: AtomicBool,
    pub(crate) disconnected: Mutex<DisconnectedHosts>,
    /// Streams that this host is to save.
    pub(crate) unsaved: Mutex<UnsavedStreams>,
}

impl Cluster {
    /// Creates a view with this process only.
    #[must_use]
    pub fn new(local: Identity, key: LinkKey, pools: Arc<Pools>) -> Arc<Self> {
        let profile = Profile {
            host: local.host.clone(),
            zone: local.zone.clone(),
            role: local.role,
            address: local.link,
            started: local.started,
        };
        let config = MembersConfig::new().probe_interval(PROBE_INTERVAL).ack_timeout(ACK_TIMEOUT);
        let seed = hash::hash_parts(&[local.host.as_str()]);
        Arc::new(Self {
            link: Link::new(local.host.clone(), key, clock::now),
            members: Mutex::new(Members::new(config, profile, seed)),
            zone_load: Mutex::default(),
            direct_until: Mutex::new(Time(0)),
            platform_out: sync::Mutex::default(),
            records: RwLock::default(),
            leaving: AtomicBool::new(false),
            disconnected: Mutex::default(),
            unsaved: Mutex::default(),
            pools,
            local,
        })
    }

    /// Listens for peers and handles their requests; the server stops on drop.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn serve<Q, A, H, S>(
        self: &Arc<Self>,
        handler: Arc<H>,
        store: FailoverStore<S, Self>,
    ) -> Result<Server, LinkError>
    where
        S: ObjectStore,
        Q: DeserializeOwned + Send + 'static,
        A: Serialize + Send + 'static,
        H: Handler<Q, A>,
    {
        let cluster = Arc::clone(self);
        let handle = move |Peer(peer): Peer, request: PeerRequest<Q>| {
            let cluster = Arc::clone(&cluster);
            let handler = Arc::clone(&handler);
            let store = store.clone();
            async move {
                match request {
                    PeerRequest::Member(message) => {
                        PeerResponse::Member(cluster.handle_message(&peer, message))
                    }
                    PeerRequest::Load { zone, services, sent } => {
                        cluster.receive_load(&peer, zone, services, sent);
                        PeerResponse::Noted
                    }
                    PeerRequest::Store(request) => PeerResponse::Store(store.serve(request).await),
                    PeerRequest::App(request) => {
                        PeerResponse::App(handler.handle(peer, request).await)
                    }
                    PeerRequest::Streams(announced) => {
                        cluster.pools.streams.merge(announced);
                        PeerResponse::Noted
                    }
                    PeerRequest::Disconnected(services) => {
                        cluster.receive_disconnected(&peer, services);
                        PeerResponse::Noted
                    }
                    PeerRequest::Quarantine(news) => {
                        cluster.receive_quarantine(news);
                        PeerResponse::Noted
                    }
                    PeerRequest::Rates(news) => {
                        cluster.receive_rates(news);
                        PeerResponse::Noted
                    }
                    PeerRequest::Begun(begun) => {
                        cluster.receive_begun(begun);
                        PeerResponse::Noted
                    }
                    PeerRequest::StreamVersion(service, stream) => {
                        let answer = cluster.pools.streams.answer(&service, stream);
                        PeerResponse::StreamVersion(answer)
                    }
                }
            }
        };
        let workers =
            if self.local.role == MemberRole::Batch { FEED_WORKERS } else { LINK_WORKERS };
        self.link.serve(&self.local.link.to_string(), workers, handle)
    }

    /// Sends a request to the application on another host.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response within `timeout`.
    pub async fn call<Q, A>(
        &self,
        host: &HostId,
        request: Q,
        timeout: Duration,
    ) -> Result<A, LinkError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let address = self.address(host);
        let address =
            address.ok_or_else(|| LinkError::Unreachable(format!("unknown host {host}")))?;
        match self.link.call(&address.to_string(), &PeerRequest::App(request), timeout).await? {
            PeerResponse::App(response) => Ok(response),
            PeerResponse::Member(_)
            | PeerResponse::Noted
            | PeerResponse::Store(_)
            | PeerResponse::StreamVersion(_) => {
                Err(LinkError::Codec("unexpected kind of response".to_owned()))
            }
        }
    }

    /// Sends a message to another host, whose response says nothing; a loss is logged.
    pub(crate) fn tell(&self, host: &HostId, address: SocketAddr, message: PeerRequest<()>) {
        let (link, host) = (self.link.clone(), host.clone());
        tokio::spawn(async move {
            let response = link.call(&address.to_string(), &message, MESSAGE_TIMEOUT).await;
            if let Err(error) = response.map(|_: PeerResponse<()>| ()) {
                log::debug!(host:% = host, error:% = error; "message was not delivered");
            }
        });
    }

    /// Keeps the records of all hosts up to date; never returns.
    pub async fn follow_records<S: ObjectStore>(self: Arc<Self>, store: S) {
        let mut follow = Follower::new(store.clone(), PREFIX, WATCH_WAIT);
        loop {
            let changed = match follow.next().await {
                FollowEvent::Snapshot(objects) => {
                    self.records.write().clear();
                    self.apply_records(objects.into_iter().map(Change::from))
                }
                FollowEvent::Changes(changes) => self.apply_records(changes.into_iter()),
                FollowEvent::Failed(error) => {
                    log::debug!(error:% = error; "host records can't be read");
                    false
                }
            };
            if let (true, Some(revision)) = (changed, follow.revision()) {
                self.update_members(revision);
                if !self.is_listed() {
                    self.restore_record(&store).await;
                }
            }
        }
    }

    fn apply_records(&self, changes: impl Iterator<Item = Change>) -> bool {
        let mut records = self.records.write();
        let mut changed = false;
        for change in changes {
            let Some(host) = change.key.strip_prefix(PREFIX).and_then(|name| name.parse().ok())
            else {
                continue;
            };
            changed = true;
            match change.object.map(|object| serde_json::from_slice::<StoredRecord>(&object.body)) {
                Some(Ok(StoredRecord { left: Some(left), .. })) => {
                    log::info!(host:% = host, left:% = left; "host has left");
                    records.remove(&host);
                }
                Some(Ok(StoredRecord { record, .. })) if record.host != host => {
                    log::warn!(host:% = host, named:% = record.host;
                        "record of another host ignored");
                    records.remove(&host);
                }
                Some(Ok(StoredRecord { record, .. })) => {
                    log::info!(host:% = record.host, started:% = record.started; "host is listed");
                    records.insert(host, record);
                }
                Some(Err(error)) => {
                    log::warn!(host:% = host, error:% = error; "host record can't be decoded");
                    records.remove(&host);
                }
                None => {
                    log::info!(host:% = host; "host is no longer listed");
                    records.remove(&host);
                }
            }
        }
        changed
    }

    fn update_members(&self, revision: Revision) {
        let hosts = self.records.read().values().map(HostRecord::listed).collect();
        let event = MemberEvent::Listed(HostList { revision, hosts });
        let actions = self.members.lock().handle(clock::steady(), event);
        self.apply_changes(&actions);
    }

    /// Logs state changes of members and drops the load of failed ones.
    pub(crate) fn apply_changes(&self, actions: &[MemberAction]) {
        for action in actions {
            let MemberAction::StateChanged { host, state } = action else { continue };
            log::info!(host:% = host, state:? = state; "member changed");
            if *state == MemberState::Failed {
                self.pools.all().iter().for_each(|(_, pool)| pool.remove_peer(host));
            }
        }
    }

    /// Announces that this host accepts no new work.
    pub fn start_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether this host is about to stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }
}
