//! Shared state of a host's view of the others.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use oleander_core::{HostId, Revision, Span, Time, ZoneId, hash};
use oleander_host::clock;
use oleander_link::{Link, LinkError, LinkKey, Peer, Server};
use oleander_members::{
    HostList, MemberAction, MemberEvent, MemberRole, MemberState, Members, MembersConfig, Profile,
};
use oleander_platform::{Change, Follow, Followed, ObjectStore};
use oleander_relay::Pools;
use parking_lot::{Mutex, RwLock};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    directory::{Directory, EntryHost},
    failover::FailoverStore,
    message::{PeerRequest, PeerResponse},
    record::{HostRecord, PREFIX},
    zone_load::ZoneLoad,
};

/// Time between probes; a lost host is known within a few of them.
const PROBE_INTERVAL: Span = Span::from_millis(300);
/// Time after which an unanswered probe goes through other hosts.
const ACK_TIMEOUT: Span = Span::from_millis(150);
/// Longest wait of a watch for other hosts' records; they change at starts only, and membership
/// tells sooner which hosts are gone.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Calls of peers that are served at once by a host that answers them at once.
const LINK_WORKERS: usize = 32;
/// Calls of peers that are served at once by a feeder, where most of them wait: four from each of
/// some hundred hosts.
const FEED_WORKERS: usize = 512;

/// Who this process is.
pub type Identity = HostRecord;

/// What is known of one run of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It runs, or there is no sign that it doesn't.
    Alive,
    /// It runs and is about to stop.
    Leaving,
    /// It has ended, or does not answer.
    Dead,
}

/// Answers the application's calls from peers.
pub trait Handler<Q, A>: Send + Sync + 'static {
    /// Answers one call.
    fn handle(self: Arc<Self>, peer: HostId, call: Q) -> impl Future<Output = A> + Send;
}

/// This host's view of all hosts, and its link to them.
pub struct Cluster {
    /// This process.
    pub local: Identity,
    pub(crate) link: Link,
    pub(crate) pools: Arc<Pools>,
    pub(crate) members: Mutex<Members>,
    pub(crate) zone_load: Mutex<ZoneLoad>,
    pub(crate) unfed_until: Mutex<Time>,
    records: RwLock<BTreeMap<HostId, HostRecord>>,
    leaving: AtomicBool,
}

impl Cluster {
    /// A view that knows only this process.
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
            unfed_until: Mutex::new(Time(0)),
            records: RwLock::default(),
            leaving: AtomicBool::new(false),
            pools,
            local,
        })
    }

    /// Listens for peers and answers them; the server stops when dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
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
        let answer = move |Peer(peer): Peer, call: PeerRequest<Q>| {
            let cluster = Arc::clone(&cluster);
            let handler = Arc::clone(&handler);
            let store = store.clone();
            async move {
                match call {
                    PeerRequest::Member(message) => {
                        PeerResponse::Member(cluster.hear(&peer, message))
                    }
                    PeerRequest::Load { zone, services, sent } => {
                        cluster.take_load(&peer, zone, services, sent);
                        PeerResponse::Noted
                    }
                    PeerRequest::Store(call) => PeerResponse::Store(store.serve(call).await),
                    PeerRequest::App(call) => PeerResponse::App(handler.handle(peer, call).await),
                }
            }
        };
        let workers =
            if self.local.role == MemberRole::Batch { FEED_WORKERS } else { LINK_WORKERS };
        self.link.serve(&self.local.link.to_string(), workers, answer)
    }

    /// Calls the application of another host.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer in time.
    pub async fn call<Q, A>(
        &self,
        host: &HostId,
        call: Q,
        timeout: Duration,
    ) -> Result<A, LinkError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let address = self.address(host);
        let address = address.ok_or_else(|| LinkError::Unreachable(format!("no host {host}")))?;
        match self.link.call(&address.to_string(), &PeerRequest::App(call), timeout).await? {
            PeerResponse::App(answer) => Ok(answer),
            PeerResponse::Member(_) | PeerResponse::Noted | PeerResponse::Store(_) => {
                Err(LinkError::Codec("answer to another kind of call".to_owned()))
            }
        }
    }

    /// Keeps the records of all hosts up to date; never ends.
    pub async fn follow_records<S: ObjectStore>(self: Arc<Self>, store: S) {
        let mut follow = Follow::new(store, PREFIX, WATCH_WAIT);
        loop {
            let changed = match follow.next().await {
                Followed::Snapshot(objects) => {
                    self.records.write().clear();
                    self.take_records(objects.into_iter().map(Change::from))
                }
                Followed::Changes(changes) => self.take_records(changes.into_iter()),
                Followed::Lost(error) => {
                    log::debug!(error:% = error; "records of hosts can't be read");
                    false
                }
            };
            if let (true, Some(revision)) = (changed, follow.revision()) {
                self.list(revision);
            }
        }
    }

    fn take_records(&self, changes: impl Iterator<Item = Change>) -> bool {
        let mut records = self.records.write();
        let mut changed = false;
        for change in changes {
            let Some(host) = change.key.strip_prefix(PREFIX).and_then(|name| name.parse().ok())
            else {
                continue;
            };
            changed = true;
            match change.object.map(|object| serde_json::from_slice::<HostRecord>(&object.body)) {
                Some(Ok(record)) => {
                    log::info!(host:% = record.host, started:% = record.started; "host is listed");
                    records.insert(host, record);
                }
                Some(Err(error)) => {
                    log::warn!(host:% = host, error:% = error; "record of a host can't be read");
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

    fn list(&self, revision: Revision) {
        let hosts = self.records.read().values().map(HostRecord::listed).collect();
        let event = MemberEvent::Listed(HostList { revision, hosts });
        let actions = self.members.lock().handle(clock::steady(), event);
        self.note(&actions);
    }

    /// Logs what changed in the view.
    pub(crate) fn note(&self, actions: &[MemberAction]) {
        for action in actions {
            let MemberAction::StateChanged { host, state } = action else { continue };
            log::info!(host:% = host, state:? = state; "member changed");
            if *state == MemberState::Failed {
                self.pools.all().iter().for_each(|(_, pool)| pool.remove_peer(host));
            }
        }
    }

    /// Tells the others that this host takes no new work.
    pub fn start_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether this host is about to stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// The answer to a caller in `zone`.
    #[must_use]
    pub fn directory(&self, zone: &ZoneId, longest: Span) -> Directory {
        Directory::select(&self.candidates(), zone, longest)
    }

    fn candidates(&self) -> Vec<EntryHost> {
        let members = self.members.lock();
        let records = self.records.read();
        let others = records.values().filter(|record| record.host != self.local.host);
        let others = others.filter_map(|record| {
            let state = members.state(&record.host).unwrap_or(MemberState::Candidate);
            Some(EntryHost { address: record.callers?, zone: record.zone.clone(), state })
        });
        let mut candidates: Vec<EntryHost> = others.collect();
        if let (Some(address), false) = (self.local.callers, self.is_leaving()) {
            let zone = self.local.zone.clone();
            candidates.push(EntryHost { address, zone, state: MemberState::Live });
        }
        candidates
    }

    /// What is known of the run of `host` that began at `started`.
    #[must_use]
    pub fn liveness(&self, host: &HostId, started: Time) -> Liveness {
        if *host == self.local.host {
            return if started == self.local.started { Liveness::Alive } else { Liveness::Dead };
        }
        let members = self.members.lock();
        let records = self.records.read();
        let restarted = records.get(host).is_some_and(|record| record.started > started);
        match members.state(host) {
            _ if restarted => Liveness::Dead,
            Some(MemberState::Failed) => Liveness::Dead,
            Some(MemberState::Leaving) => Liveness::Leaving,
            Some(_) => Liveness::Alive,
            None if records.contains_key(host) => Liveness::Alive,
            None => Liveness::Dead,
        }
    }

    /// Hosts that serve callers and answer, this one included unless it is leaving.
    #[must_use]
    pub fn live_entry_hosts(&self) -> Vec<HostId> {
        let members = self.members.lock();
        let records = self.records.read();
        let entries = records.values().filter(|record| record.role == MemberRole::Entry);
        let live = entries.filter(|record| {
            if record.host == self.local.host {
                return !self.is_leaving();
            }
            let state = members.state(&record.host);
            matches!(state, Some(MemberState::Live | MemberState::Candidate))
        });
        live.map(|record| record.host.clone()).collect()
    }

    /// Hosts of `zone` among the [`Cluster::live_entry_hosts`].
    pub(crate) fn live_entry_hosts_in(&self, zone: &ZoneId) -> Vec<HostId> {
        let mut live = self.live_entry_hosts();
        let records = self.records.read();
        live.retain(|host| records.get(host).is_some_and(|record| record.zone == *zone));
        live
    }

    /// Whether `host` is listed in this host's data centre.
    #[must_use]
    pub fn is_same_zone(&self, host: &HostId) -> bool {
        self.records.read().get(host).is_some_and(|record| record.zone == self.local.zone)
    }

    /// All hosts but this one, with their data centres and addresses.
    pub(crate) fn peers(&self) -> Vec<(HostId, ZoneId, SocketAddr)> {
        let members = self.members.lock();
        let live = members.view().filter(|view| {
            matches!(view.state, MemberState::Live | MemberState::Suspect | MemberState::Leaving)
        });
        let entries = live.filter(|view| view.profile.role == MemberRole::Entry);
        let peers =
            entries.map(|view| (view.profile.host, view.profile.zone, view.profile.address));
        peers.collect()
    }

    fn address(&self, host: &HostId) -> Option<SocketAddr> {
        let record = self.records.read().get(host).map(|record| record.link);
        record.or_else(|| self.members.lock().address(host))
    }
}
