//! Membership over real links, where the acknowledgement of a probe is the response of its call.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use oleander_core::{HostId, Revision, Span, Time};
use oleander_link::{Link, LinkKey, Peer, Server};
use oleander_members::{
    HostList, ListedHost, MemberAction, MemberEvent, MemberRole, MemberState, Members,
    MembersConfig, Message, Profile,
};
use oleander_ports::free_address;
use tokio::{task::JoinHandle, time};

const HOSTS: usize = 5;
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(30);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn now() -> Time {
    Time(Span::from(SystemTime::now().duration_since(UNIX_EPOCH).unwrap()).0)
}

/// A host that runs membership only.
struct TestHost {
    host: HostId,
    members: Arc<Mutex<Members>>,
    _server: Server,
    ticks: JoinHandle<()>,
}

impl Drop for TestHost {
    fn drop(&mut self) {
        self.ticks.abort();
    }
}

/// Runs the membership of one host over its link.
#[derive(Clone)]
struct Driver {
    members: Arc<Mutex<Members>>,
    link: Link,
}

impl Driver {
    /// Handles an event and sends the resulting messages; the first one to `caller` is returned as
    /// the response instead.
    fn handle(&self, event: MemberEvent, caller: Option<&HostId>) -> Option<Message> {
        let actions = self.members.lock().unwrap().handle(now(), event);
        let mut response = None;
        for action in actions {
            let MemberAction::Send { to, message } = action else { continue };
            if Some(&to) == caller && response.is_none() {
                response = Some(message);
            } else {
                self.send(to, message);
            }
        }
        response
    }

    fn send(&self, to: HostId, message: Message) {
        let Some(address) = self.members.lock().unwrap().address(&to) else { return };
        let driver = self.clone();
        tokio::spawn(async move {
            let address = address.to_string();
            let response = driver.link.call(&address, &message, CALL_TIMEOUT).await;
            if let Ok(Some(message)) = response {
                driver.handle(MemberEvent::Received { from: to, message }, None);
            }
        });
    }
}

fn start(host: &HostId, addresses: &BTreeMap<HostId, SocketAddr>) -> TestHost {
    let key = LinkKey::from_secret(b"a shared secret of the test").unwrap();
    let link = Link::new(host.clone(), key, now);
    let config = MembersConfig::new()
        .probe_interval(Span::from_millis(150))
        .ack_timeout(Span::from_millis(50));
    let tick = config.tick_interval().to_duration();
    let (zone, role, address) = ("junin".parse().unwrap(), MemberRole::Entry, addresses[host]);
    let profile = Profile { host: host.clone(), zone, role, address, started: now() };
    let members = Arc::new(Mutex::new(Members::new(config, profile, u64::from(address.port()))));
    let driver = Driver { members: Arc::clone(&members), link: link.clone() };
    driver.handle(MemberEvent::Listed(host_list(addresses)), None);
    let handler = driver.clone();
    let server = link.serve(&address.to_string(), 2, move |Peer(from), message: Message| {
        let received = MemberEvent::Received { from: from.clone(), message };
        let response = handler.handle(received, Some(&from));
        async move { response }
    });
    let ticks = tokio::spawn(async move {
        let mut interval = time::interval(tick);
        loop {
            interval.tick().await;
            driver.handle(MemberEvent::Tick, None);
        }
    });
    TestHost { host: host.clone(), members, _server: server.unwrap(), ticks }
}

fn host_list(addresses: &BTreeMap<HostId, SocketAddr>) -> HostList {
    let hosts = addresses.iter().map(|(host, &address)| {
        let (host, zone, role) = (host.clone(), "junin".parse().unwrap(), MemberRole::Entry);
        ListedHost { host, zone, role, address, leaving: false }
    });
    HostList { revision: Revision(1), hosts: hosts.collect() }
}

/// Waits until each of `nodes` sees all other hosts in the `expected` states.
async fn await_states(nodes: &[TestHost], expected: &BTreeMap<HostId, MemberState>) {
    let start = Instant::now();
    let sees = |node: &TestHost| {
        let members = node.members.lock().unwrap();
        let mut others = expected.iter().filter(|(host, _)| **host != node.host);
        others.all(|(host, state)| members.state(host) == Some(*state))
    };
    while !nodes.iter().all(sees) {
        assert!(start.elapsed() < AGREEMENT_TIMEOUT, "members don't agree on {expected:?}");
        time::sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_discover_each_other_and_detect_a_leave_a_crash_and_a_restart() {
    let hosts: Vec<HostId> = (0..HOSTS).map(|n| format!("host-{n}").parse().unwrap()).collect();
    let addresses = hosts.iter().map(|host| (host.clone(), free_address())).collect();
    let mut nodes: Vec<TestHost> = hosts.iter().map(|host| start(host, &addresses)).collect();
    let mut expected: BTreeMap<_, _> =
        hosts.iter().map(|host| (host.clone(), MemberState::Live)).collect();
    await_states(&nodes, &expected).await;

    let actions = nodes[1].members.lock().unwrap().handle(now(), MemberEvent::Leave);
    assert!(!actions.is_empty());
    expected.insert(hosts[1].clone(), MemberState::Leaving);
    await_states(&nodes, &expected).await;

    drop(nodes.remove(0));
    expected.insert(hosts[0].clone(), MemberState::Failed);
    await_states(&nodes, &expected).await;

    nodes.push(start(&hosts[0], &addresses));
    expected.insert(hosts[0].clone(), MemberState::Live);
    await_states(&nodes, &expected).await;
}
