//! Managers at hosts with real links.

use std::{sync::Arc, time::Duration};

use http::HeaderName;
use oleander_cluster::{Cluster, FailoverStore, HostRecord, PeerRequest, PeerResponse, join};
use oleander_core::Time;
use oleander_host::clock;
use oleander_link::{Link, LinkKey, Server};
use oleander_members::MemberRole;
use oleander_platform::MemoryPlatform;
use oleander_ports::free_address;
use oleander_relay::{Pools, Relay, RouteTable, StreamId, TargetEntry, TargetList};
use oleander_worklist::{JobManager, JobManagerConfig, JobRequest, JobResponse};
use tokio::task::JoinSet;

use crate::fixture::{EchoTargets, SlowStore, host, route, wait_until_ready, zone};

const ITEM_TIME: Duration = Duration::from_millis(150);
/// Time in which a host answers a question about a stream.
pub(crate) const QUESTION_TIMEOUT: Duration = Duration::from_millis(150);

/// A manager behind a link.
pub(crate) struct Linked {
    pub(crate) manager: Arc<JobManager<SlowStore, EchoTargets>>,
    pub(crate) targets: Arc<EchoTargets>,
    pub(crate) store: SlowStore,
    pub(crate) record: HostRecord,
    pub(crate) key: LinkKey,
    _server: Server,
    _tasks: JoinSet<()>,
}

fn targets() -> TargetList {
    let mut list = TargetList::default();
    list.upsert(TargetEntry {
        id: "engine-1".parse().expect("name of a target"),
        service: "llm".parse().expect("name of a service"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone(),
        version: "v1".parse().expect("version"),
        slots: 8,
        leaving: false,
        started_at: None,
    });
    list
}

/// Starts a host that is listed at the platform.
pub(crate) async fn start(name: &str, store: &MemoryPlatform) -> Linked {
    let record = HostRecord {
        host: host(name),
        zone: zone(),
        role: MemberRole::Entry,
        link: free_address(),
        callers: None,
        started: Time(clock::now().0),
    };
    let (key, local) = join(store, record).await;
    let (pools, yields) = Pools::new(host(name), zone(), 1);
    pools.update_targets(&targets());
    let pools = Arc::new(pools);
    let targets = Arc::new(EchoTargets::default());
    *targets.delay.lock() = ITEM_TIME;
    let relay = Arc::new(Relay::new(Arc::clone(&pools), Arc::clone(&targets)));
    relay.set_table(RouteTable::new(1, vec![route()]));
    let cluster = Cluster::new(local.clone(), key.clone(), pools);
    let id_header = HeaderName::from_static("x-id");
    let config = JobManagerConfig { id_header, object_bytes: 1 << 20, loaded_bytes: 1 << 20 };
    let slow = SlowStore::new(store.clone());
    let manager = JobManager::new(config, slow.clone(), relay, Arc::clone(&cluster));
    let failover = FailoverStore::<_, Cluster>::new(slow.clone());
    let server = cluster.serve(Arc::clone(&manager), failover).expect("a free address");
    let mut tasks = JoinSet::new();
    tasks.spawn(Arc::clone(&cluster).follow_records(slow.clone()));
    tasks.spawn(Arc::clone(&cluster).run_probes());
    tasks.spawn(Arc::clone(&manager).follow_jobs());
    tasks.spawn(Arc::clone(&manager).dispatch());
    tasks.spawn(Arc::clone(&manager).handle_yields(yields));
    wait_until_ready(&manager).await;
    Linked { manager, targets, store: slow, record: local, key, _server: server, _tasks: tasks }
}

/// Asks a host about a stream; whether it answers in time.
pub(crate) async fn answers(link: &Link, host: &Linked) -> bool {
    let service = "llm".parse().expect("name of a service");
    let question: PeerRequest<JobRequest> = PeerRequest::StreamVersion(service, StreamId::NONE);
    let address = host.record.link.to_string();
    let answer = link.call(&address, &question, QUESTION_TIMEOUT).await;
    matches!(answer, Ok(PeerResponse::<JobResponse>::StreamVersion(_)))
}
