//! Selection of the addresses that callers get.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use oleander_cluster::{Cluster, Directory, EntryHost, FailoverStore, Handler, HostRecord, join};
use oleander_core::{HostId, Span, Time, ZoneId};
use oleander_host::clock;
use oleander_link::Server;
use oleander_members::{MemberRole, MemberState};
use oleander_platform::MemoryPlatform;
use oleander_ports::free_address;
use oleander_relay::Pools;
use tokio::{task::JoinSet, time::sleep};

const HOSTS: u8 = 3;
const OFF_HOSTS: u8 = 5;
/// Time since the start of hosts that have been there for long.
const LONG: Span = Span::from_secs(600);
/// Time for which the addresses of a new host are watched.
const WATCHED: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(10);

fn zone(name: &str) -> ZoneId {
    name.parse().expect("name of a data centre")
}

fn entry_host(number: u8, at: &str, state: MemberState) -> EntryHost {
    let address = SocketAddr::from(([10, 0, 0, number], 80));
    EntryHost { address, zone: zone(at), state }
}

fn selected(hosts: &[EntryHost]) -> Vec<u8> {
    let directory = Directory::select(hosts, &zone("near"), Span::from_secs(5));
    let numbers = directory.addresses.iter().map(|address| match address {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => unreachable!("addresses are IPv4"),
    });
    numbers.collect()
}

#[test]
fn callers_stay_in_their_data_centre_while_two_hosts_there_are_live() {
    use MemberState::Live;
    let all =
        [entry_host(1, "near", Live), entry_host(2, "near", Live), entry_host(3, "far", Live)];
    assert_eq!(selected(&all), [1, 2]);
    assert_eq!(selected(&all[1..]), [2, 3]);
}

#[test]
fn failed_suspect_and_leaving_hosts_are_left_out() {
    use MemberState::{Failed, Leaving, Live, Suspect};
    let all = [
        entry_host(1, "near", Failed),
        entry_host(2, "near", Suspect),
        entry_host(3, "near", Leaving),
        entry_host(4, "far", Live),
    ];
    assert_eq!(selected(&all), [4]);
}

#[test]
fn failed_hosts_are_listed_if_there_are_no_others() {
    use MemberState::{Failed, Leaving};
    let all = [entry_host(1, "near", Failed), entry_host(2, "far", Leaving)];
    assert_eq!(selected(&all), [1]);
}

#[test]
fn the_ttl_is_short() {
    let short = Directory::select(&[], &zone("near"), Span::from_millis(700));
    assert_eq!(short.ttl, Span::from_millis(700));
    let long = Directory::select(&[], &zone("near"), Span::from_secs(60));
    assert!(long.ttl <= Span::from_secs(2));
}

struct NoApplication;

impl Handler<(), ()> for NoApplication {
    async fn handle(self: Arc<Self>, _: HostId, (): ()) {}
}

/// Address for callers of a host that these tests number.
fn callers(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn record(number: u8, started: Time) -> HostRecord {
    HostRecord {
        host: format!("entry-{number}").parse().expect("host"),
        zone: zone("near"),
        role: MemberRole::Entry,
        link: free_address(),
        callers: Some(callers(number)),
        started,
    }
}

/// A running host; it is gone when dropped.
struct Running {
    cluster: Arc<Cluster>,
    _server: Server,
    _tasks: JoinSet<()>,
}

impl Running {
    async fn start(store: &MemoryPlatform, number: u8, started: Time) -> Self {
        let (key, local) = join(store, record(number, started)).await;
        let (pools, _yields) = Pools::new(local.host.clone(), zone("near"), number.into());
        let cluster = Cluster::new(local, key, Arc::new(pools));
        let failover = FailoverStore::<_, Cluster>::new(store.clone());
        let server = cluster.serve(Arc::new(NoApplication), failover).expect("a free address");
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(&cluster).follow_records(store.clone()));
        tasks.spawn(Arc::clone(&cluster).run_probes());
        Self { cluster, _server: server, _tasks: tasks }
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.cluster.directory(&zone("near"), Span::from_secs(1)).addresses
    }

    async fn wait_for(&self, count: usize) {
        let end = Instant::now() + WATCHED;
        while self.addresses().len() != count {
            assert!(Instant::now() < end, "{:?}", self.addresses());
            sleep(PAUSE).await;
        }
    }
}

#[tokio::test]
async fn a_new_host_does_not_name_hosts_that_have_long_been_off() {
    let store = MemoryPlatform::new();
    let long_ago = clock::now() - LONG;
    for number in 0..OFF_HOSTS {
        join(&store, record(100 + number, long_ago)).await;
    }
    let mut hosts = Vec::new();
    for number in 0..HOSTS {
        hosts.push(Running::start(&store, number, long_ago).await);
    }
    sleep(WATCHED).await;
    let new = Running::start(&store, HOSTS, clock::now()).await;
    let end = Instant::now() + WATCHED;
    while Instant::now() < end {
        let named = new.addresses();
        let off = (0..OFF_HOSTS).map(|number| callers(100 + number));
        let off: Vec<SocketAddr> = off.filter(|address| named.contains(address)).collect();
        let left = end.saturating_duration_since(Instant::now());
        assert!(off.is_empty(), "{} hosts that are off, {left:?} before the end", off.len());
        sleep(PAUSE).await;
    }
    new.wait_for(usize::from(HOSTS) + 1).await;
}

#[tokio::test]
async fn a_host_names_others_that_have_just_started_before_it_has_reached_them() {
    let store = MemoryPlatform::new();
    for number in 0..HOSTS {
        join(&store, record(number, clock::now())).await;
    }
    let new = Running::start(&store, HOSTS, clock::now()).await;
    let end = Instant::now() + PAUSE * 10;
    let mut most = 0;
    while Instant::now() < end {
        most = most.max(new.addresses().len());
        sleep(PAUSE / 10).await;
    }
    assert_eq!(most, usize::from(HOSTS) + 1);
}
