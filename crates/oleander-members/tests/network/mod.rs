//! A small in-memory network of members with loss, partitions, pauses and kills.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(unreachable_pub, reason = "shared by the test files")]
#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use oleander_core::{HostId, Revision, Span, Time};
use oleander_members::{
    HostList, ListedHost, MemberAction, MemberEvent, MemberRole, MemberState, Members,
    MembersConfig, Message, Profile,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Start of the network's clock.
const START: Time = Time(1_700_000_000_000_000);

/// Bounds of the one-way delay.
const DELAY_US: std::ops::RangeInclusive<u64> = 500..=4_000;

/// Period of the probe rounds with the standard settings.
pub const ROUND: Span = Span::from_millis(600);

/// One host of the network.
pub struct Node {
    pub members: Members,
    pub alive: bool,
    pub paused: bool,
    /// Hosts in different groups don't reach each other.
    pub group: u32,
    /// Encoded bytes sent since the last reset.
    pub bytes: u64,
    /// Messages sent since the last reset.
    pub messages: u64,
    /// States reported, in order.
    pub changes: Vec<(Time, HostId, MemberState)>,
    held: Vec<(HostId, Message)>,
}

struct Delivery {
    to: usize,
    from: usize,
    message: Message,
}

/// The network and its hosts.
pub struct Network {
    pub now: Time,
    pub config: MembersConfig,
    pub nodes: Vec<Node>,
    /// Messages lost, in percent.
    pub loss: u32,
    /// Time spent in the state machines of all hosts.
    pub spent: Duration,
    names: BTreeMap<HostId, usize>,
    queue: BTreeMap<(Time, u64), Delivery>,
    sent: u64,
    rng: Pcg32,
}

pub fn host(n: usize) -> HostId {
    format!("host-{n:03}").parse().unwrap()
}

pub fn profile(n: usize, started: Time) -> Profile {
    let address = ([10, 0, (n / 250) as u8, (n % 250) as u8], 7000).into();
    let zone = "junin".parse().unwrap();
    Profile { host: host(n), zone, role: MemberRole::Entry, address, started }
}

/// A list of `hosts` at `revision`; those in `leaving` are leaving.
pub fn host_list(
    revision: u64,
    hosts: impl IntoIterator<Item = usize>,
    leaving: &[usize],
) -> HostList {
    let hosts = hosts
        .into_iter()
        .map(|n| {
            let Profile { host, zone, role, address, .. } = profile(n, START);
            ListedHost { host, zone, role, address, leaving: leaving.contains(&n) }
        })
        .collect();
    HostList { revision: Revision(revision), hosts }
}

impl Network {
    /// `n` hosts that know each other from a list only.
    pub fn new(n: usize, seed: u64) -> Self {
        let config = MembersConfig::new();
        let mut network = Self {
            now: START,
            config,
            nodes: Vec::new(),
            loss: 0,
            spent: Duration::ZERO,
            names: (0..n).map(|n| (host(n), n)).collect(),
            queue: BTreeMap::new(),
            sent: 0,
            rng: Pcg32::seed_from_u64(seed),
        };
        for at in 0..n {
            let node = network.node(at);
            network.nodes.push(node);
        }
        network.list_all(&host_list(1, 0..n, &[]));
        network
    }

    /// `n` hosts that have found each other.
    pub fn settled(n: usize, seed: u64) -> Self {
        let mut network = Self::new(n, seed);
        let all: BTreeSet<usize> = (0..n).collect();
        let took = network.rounds_until(60, |net| net.all_see(&all, &all, MemberState::Live));
        assert!(took.is_some(), "{n} hosts did not find each other, seed {seed}");
        network
    }

    fn node(&mut self, at: usize) -> Node {
        let me = profile(at, self.now + Span(1));
        let members = Members::new(self.config.clone(), me, self.rng.random());
        let (bytes, messages) = (0, 0);
        let (changes, held) = (Vec::new(), Vec::new());
        Node { members, alive: true, paused: false, group: 0, bytes, messages, changes, held }
    }

    /// Replaces the process of a host by a new one that has read `list`.
    pub fn restart(&mut self, at: usize, list: HostList) {
        self.nodes[at] = self.node(at);
        self.event(at, MemberEvent::Listed(list));
    }

    pub fn list_all(&mut self, host_list: &HostList) {
        for at in 0..self.nodes.len() {
            self.event(at, MemberEvent::Listed(host_list.clone()));
        }
    }

    /// Ends a pause; held messages are delivered at once.
    pub fn resume(&mut self, at: usize) {
        self.nodes[at].paused = false;
        for (from, message) in std::mem::take(&mut self.nodes[at].held) {
            self.event(at, MemberEvent::Received { from, message });
        }
    }

    /// Ends a pause in which all connections of the host were lost.
    pub fn resume_cut_off(&mut self, at: usize) {
        self.nodes[at].held.clear();
        self.resume(at);
    }

    /// Gives one host an event and sends what it asks for.
    pub fn event(&mut self, at: usize, event: MemberEvent) {
        let start = Instant::now();
        let actions = self.nodes[at].members.handle(self.now, event);
        self.spent += start.elapsed();
        for action in actions {
            match action {
                MemberAction::Send { to, message } => self.send(at, &to, message),
                MemberAction::StateChanged { host, state } => {
                    self.nodes[at].changes.push((self.now, host, state));
                }
                MemberAction::FactsChanged { .. } | MemberAction::NewestRevision(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &HostId, message: Message) {
        self.nodes[from].bytes += postcard::to_stdvec(&message).unwrap().len() as u64;
        self.nodes[from].messages += 1;
        let lost = self.rng.random_ratio(self.loss, 100);
        let Some(&to) = self.names.get(to) else { return };
        let cut = self.nodes[from].group != self.nodes[to].group;
        if lost || cut {
            return;
        }
        self.sent += 1;
        let at = self.now + Span(self.rng.random_range(DELAY_US));
        self.queue.insert((at, self.sent), Delivery { to, from, message });
    }

    /// Runs for one tick of all hosts.
    pub fn step(&mut self) {
        let end = self.now + self.config.tick_interval();
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            self.now = entry.key().0;
            let delivery = entry.remove();
            self.deliver(delivery);
        }
        self.now = end;
        for at in 0..self.nodes.len() {
            if self.nodes[at].alive && !self.nodes[at].paused {
                self.event(at, MemberEvent::Tick);
            }
        }
    }

    fn deliver(&mut self, Delivery { to, from, message }: Delivery) {
        let node = &mut self.nodes[to];
        if !node.alive || node.group != self.nodes[from].group {
            return;
        }
        let from = host(from);
        if self.nodes[to].paused {
            self.nodes[to].held.push((from, message));
        } else {
            self.event(to, MemberEvent::Received { from, message });
        }
    }

    pub fn run(&mut self, rounds: u64) {
        let end = self.now + ROUND * rounds;
        while self.now < end {
            self.step();
        }
    }

    /// Rounds until `done`, rounded up; `None` if it takes more than `bound`.
    pub fn rounds_until(&mut self, bound: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let start = self.now;
        while !done(self) {
            if self.now.since(start) >= ROUND * bound {
                return None;
            }
            self.step();
        }
        Some(self.now.since(start).0.div_ceil(ROUND.0))
    }

    /// Whether all of `viewers` see all of `seen` (but themselves) in `state`.
    pub fn all_see<'a>(
        &self,
        viewers: impl IntoIterator<Item = &'a usize>,
        seen: &BTreeSet<usize>,
        state: MemberState,
    ) -> bool {
        viewers.into_iter().all(|&viewer| {
            let members = &self.nodes[viewer].members;
            seen.iter()
                .filter(|&&at| at != viewer)
                .all(|&at| members.state(&host(at)) == Some(state))
        })
    }
}
