//! Records of hosts that are gone for good.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use oleander_cluster::{
    Cluster, FailoverStore, HOST_PREFIX, Handler, HostRecord, Identity, Liveness, join,
};
use oleander_core::{HostId, Span};
use oleander_host::clock;
use oleander_link::{LinkKey, Server};
use oleander_members::MemberRole;
use oleander_platform::{MemoryFaults, MemoryPlatform, ObjectStore, Updated};
use oleander_ports::free_address;
use oleander_relay::Pools;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Time for which the record of a host that is away is kept.
const RETENTION: Span = Span::from_secs(600);
/// A time that ends earlier.
const EARLIER: Span = Span::from_secs(580);
/// Pause between two checks of a condition, and its limit.
const PAUSE: Duration = Duration::from_millis(30);
const LIMIT: Duration = Duration::from_secs(10);

struct NoApplication;

impl Handler<(), ()> for NoApplication {
    async fn handle(self: Arc<Self>, _: HostId, (): ()) {}
}

/// A running host; it ends without notice when dropped.
struct Process {
    cluster: Arc<Cluster>,
    tasks: Vec<JoinHandle<()>>,
    _server: Server,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn record(name: &str, address: SocketAddr) -> HostRecord {
    HostRecord {
        host: name.parse().expect("host"),
        zone: "near".parse().expect("data centre"),
        role: MemberRole::Entry,
        link: address,
        callers: None,
        started: clock::now(),
    }
}

async fn start(store: &MemoryPlatform, name: &str) -> Process {
    let (key, local): (LinkKey, Identity) = join(store, record(name, free_address())).await;
    let (pools, _yields) = Pools::new(local.host.clone(), local.zone.clone(), 1);
    let cluster = Cluster::new(local, key, Arc::new(pools));
    let path = FailoverStore::<_, Cluster>::new(store.clone());
    let server = cluster.serve(Arc::new(NoApplication), path.clone()).expect("a free address");
    let follow = tokio::spawn(Arc::clone(&cluster).follow_records(store.clone()));
    let probe = tokio::spawn(Arc::clone(&cluster).run_probes());
    Process { cluster, tasks: vec![follow, probe], _server: server }
}

fn key(name: &str) -> String {
    format!("{HOST_PREFIX}{name}")
}

async fn stored(store: &MemoryPlatform, name: &str) -> Option<Bytes> {
    store.get(&key(name)).await.expect("up").map(|object| object.body)
}

async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let end = Instant::now() + LIMIT;
    while !condition().await {
        assert!(Instant::now() < end, "not in time: {what}");
        sleep(PAUSE).await;
    }
}

async fn wait_for_hosts(process: &Process, count: usize) {
    let what = format!("{count} live hosts");
    wait_until(&what, async || process.cluster.live_entry_hosts().len() == count).await;
}

/// Guards against hosts that were replaced and are looked for by each process that starts.
#[tokio::test]
async fn a_host_that_has_stopped_as_planned_is_not_listed_until_it_starts_again() {
    let store = MemoryPlatform::new();
    let stopped = start(&store, "entry-1").await;
    let owner = stopped.cluster.local.clone();
    stopped.cluster.start_leaving();
    stopped.cluster.record_departure(&store).await;
    drop(stopped);
    let other = start(&store, "entry-2").await;
    wait_for_hosts(&other, 1).await;
    assert_eq!(other.cluster.liveness(&owner.host, owner.started), Liveness::Ended);
    let again = start(&store, "entry-1").await;
    wait_for_hosts(&other, 2).await;
    assert!(again.cluster.local.started > owner.started, "later than its last run");
}

/// Guards against a record of this build that the build before can't read.
#[tokio::test]
async fn an_earlier_build_reads_the_record_of_a_host_that_has_left() {
    let store = MemoryPlatform::new();
    let stopped = start(&store, "entry-1").await;
    stopped.cluster.record_departure(&store).await;
    let body = stored(&store, "entry-1").await.expect("a record");
    let record: HostRecord = serde_json::from_slice(&body).expect("an earlier record");
    assert_eq!(record, stopped.cluster.local);
}

/// Guards against a process that marks the record of a later one on its host.
#[tokio::test]
async fn a_process_that_stops_late_does_not_say_that_a_later_one_has_left() {
    let store = MemoryPlatform::new();
    let first = start(&store, "entry-1").await;
    let second = start(&store, "entry-1").await;
    first.cluster.record_departure(&store).await;
    let body = stored(&store, "entry-1").await.expect("a record");
    let record: HostRecord = serde_json::from_slice(&body).expect("a record");
    assert_eq!(record, second.cluster.local);
    assert!(!String::from_utf8_lossy(&body).contains("left"));
}

/// Guards against records that outlive their hosts for ever, and against the loss of those that may
/// come back.
#[tokio::test]
async fn the_record_of_a_host_is_removed_once_it_has_long_been_away() {
    let store = MemoryPlatform::new();
    let left = start(&store, "entry-1").await;
    left.cluster.record_departure(&store).await;
    let killed = start(&store, "entry-2").await;
    let running = start(&store, "entry-3").await;
    let sweeper = start(&store, "entry-4").await;
    wait_for_hosts(&sweeper, 3).await;
    drop((left, killed));
    wait_for_hosts(&sweeper, 2).await;
    let remaining = async |later: Span| {
        let (wall_now, now) = (clock::now() + later, clock::steady() + later);
        sweeper.cluster.remove_records(&store, wall_now, now).await.expect("up");
        let mut names = Vec::new();
        for name in ["entry-1", "entry-2", "entry-3", "entry-4"] {
            names.extend(stored(&store, name).await.map(|_| name));
        }
        names
    };
    assert_eq!(remaining(EARLIER).await.len(), 4);
    assert_eq!(remaining(RETENTION).await, ["entry-3", "entry-4"]);
    drop(running);
}

/// Guards against a host that was cut off for long and is not found any more.
#[tokio::test]
async fn a_running_host_writes_its_record_again_if_it_was_removed() {
    let store = MemoryPlatform::new();
    let host = start(&store, "entry-1").await;
    wait_for_hosts(&host, 1).await;
    let object = store.get(&key("entry-1")).await.expect("up").expect("a record");
    let removed = store.remove(&key("entry-1"), object.revision).await;
    assert!(matches!(removed, Ok(Updated::Done(_))), "{removed:?}");
    wait_until("written again", async || stored(&store, "entry-1").await.is_some()).await;
    let body = stored(&store, "entry-1").await.expect("a record");
    let record: HostRecord = serde_json::from_slice(&body).expect("a record");
    assert_eq!(record, host.cluster.local);
}

/// Guards against an outage in which the hosts that run are no majority of all that ever were.
#[tokio::test]
async fn hosts_that_have_left_do_not_count_in_an_outage_and_others_that_are_gone_do() {
    for (leaves, expected) in [(true, true), (false, false)] {
        let store = MemoryPlatform::new();
        let mut gone = Vec::new();
        for index in 0..3 {
            gone.push(start(&store, &format!("entry-{index}")).await);
        }
        let last = start(&store, "entry-3").await;
        wait_for_hosts(&last, 4).await;
        for process in gone {
            if leaves {
                process.cluster.start_leaving();
                process.cluster.record_departure(&store).await;
            }
            drop(process);
        }
        wait_for_hosts(&last, 1).await;
        sleep(Duration::from_secs(3)).await;
        store.set_faults(MemoryFaults { down: true, ..MemoryFaults::default() });
        assert_eq!(last.cluster.is_platform_out().await, expected, "leaves: {leaves}");
    }
}
