//! An in-memory network of members with a simulated clock, message loss, partitions, pauses and
//! crashes.

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
    MembersConfig, Message, MessageKind, Profile,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Start of the simulated clock.
const START: Time = Time(1_700_000_000_000_000);

/// Range of the one-way delay, in microseconds.
const DELAY_US: std::ops::RangeInclusive<u64> = 500..=4_000;

/// Probe interval of the default configuration.
pub const ROUND: Span = Span::from_millis(600);

/// One host of the network.
pub struct Node {
    pub members: Members,
    pub alive: bool,
    pub paused: bool,
    /// Hosts in different partitions can't reach each other.
    pub partition: u32,
    /// Encoded bytes sent since the counter was last reset.
    pub bytes: u64,
    /// Messages sent since the counter was last reset.
    pub messages: u64,
    /// Reported state changes, in order.
    pub changes: Vec<(Time, HostId, MemberState)>,
    /// Messages that arrived during a pause.
    buffered: Vec<(HostId, Message)>,
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
    /// Share of messages that are lost.
    pub loss_percent: u32,
    /// Time spent in the state machines of all hosts.
    pub handle_time: Duration,
    /// Probes of hosts that do not run: when they were sent, by which host and to which.
    pub unanswered: Vec<(Time, usize, HostId)>,
    indices: BTreeMap<HostId, usize>,
    queue: BTreeMap<(Time, u64), Delivery>,
    sent_count: u64,
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

/// The host list at `revision` with `hosts`, of which those in `leaving` are leaving.
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
    /// `n` hosts that know each other from the host list only.
    pub fn new(n: usize, seed: u64) -> Self {
        let config = MembersConfig::new();
        let mut network = Self {
            now: START,
            config,
            nodes: Vec::new(),
            loss_percent: 0,
            handle_time: Duration::ZERO,
            unanswered: Vec::new(),
            indices: (0..n).map(|n| (host(n), n)).collect(),
            queue: BTreeMap::new(),
            sent_count: 0,
            rng: Pcg32::seed_from_u64(seed),
        };
        for index in 0..n {
            let node = network.node(index);
            network.nodes.push(node);
        }
        network.send_list_to_all(&host_list(1, 0..n, &[]));
        network
    }

    /// `n` hosts that all see each other live.
    pub fn converged(n: usize, seed: u64) -> Self {
        let mut network = Self::new(n, seed);
        let all: BTreeSet<usize> = (0..n).collect();
        let took = network.rounds_until(60, |net| net.all_see(&all, &all, MemberState::Live));
        assert!(took.is_some(), "{n} hosts did not all become live, seed {seed}");
        network
    }

    fn node(&mut self, index: usize) -> Node {
        let profile = profile(index, self.now + Span(1));
        let members = Members::new(self.config.clone(), profile, self.rng.random());
        let (bytes, messages) = (0, 0);
        let (changes, buffered) = (Vec::new(), Vec::new());
        Node {
            members,
            alive: true,
            paused: false,
            partition: 0,
            bytes,
            messages,
            changes,
            buffered,
        }
    }

    /// Replaces the process of a host by a new one, which has read `list`.
    pub fn restart(&mut self, index: usize, list: HostList) {
        self.nodes[index] = self.node(index);
        self.handle_event(index, MemberEvent::Listed(list));
    }

    /// Lets all hosts read `list`.
    pub fn send_list_to_all(&mut self, list: &HostList) {
        for index in 0..self.nodes.len() {
            self.handle_event(index, MemberEvent::Listed(list.clone()));
        }
    }

    /// Ends a pause and delivers the messages that arrived during it.
    pub fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        for (from, message) in std::mem::take(&mut self.nodes[index].buffered) {
            self.handle_event(index, MemberEvent::Received { from, message });
        }
    }

    /// Ends a pause and drops the messages that arrived during it.
    pub fn resume_disconnected(&mut self, index: usize) {
        self.nodes[index].buffered.clear();
        self.resume(index);
    }

    /// Passes an event to one host and carries out the resulting actions.
    pub fn handle_event(&mut self, index: usize, event: MemberEvent) {
        let start = Instant::now();
        let actions = self.nodes[index].members.handle(self.now, event);
        self.handle_time += start.elapsed();
        for action in actions {
            match action {
                MemberAction::Send { to, message } => self.send(index, &to, message),
                MemberAction::StateChanged { host, state } => {
                    self.nodes[index].changes.push((self.now, host, state));
                }
                MemberAction::FactsChanged { .. } | MemberAction::NewestRevision(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &HostId, message: Message) {
        self.nodes[from].bytes += postcard::to_stdvec(&message).unwrap().len() as u64;
        self.nodes[from].messages += 1;
        let lost = self.rng.random_ratio(self.loss_percent, 100);
        let Some(&to) = self.indices.get(to) else { return };
        if !self.nodes[to].alive && matches!(message.kind, MessageKind::Probe { .. }) {
            self.unanswered.push((self.now, from, host(to)));
        }
        let partitioned = self.nodes[from].partition != self.nodes[to].partition;
        if lost || partitioned {
            return;
        }
        self.sent_count += 1;
        let arrival = self.now + Span(self.rng.random_range(DELAY_US));
        self.queue.insert((arrival, self.sent_count), Delivery { to, from, message });
    }

    /// Advances the clock by one tick interval, then ticks all running hosts.
    pub fn step(&mut self) {
        let end = self.now + self.config.tick_interval();
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            self.now = entry.key().0;
            let delivery = entry.remove();
            self.deliver(delivery);
        }
        self.now = end;
        for index in 0..self.nodes.len() {
            if self.nodes[index].alive && !self.nodes[index].paused {
                self.handle_event(index, MemberEvent::Tick);
            }
        }
    }

    fn deliver(&mut self, Delivery { to, from, message }: Delivery) {
        let node = &mut self.nodes[to];
        if !node.alive || node.partition != self.nodes[from].partition {
            return;
        }
        let from = host(from);
        if self.nodes[to].paused {
            self.nodes[to].buffered.push((from, message));
        } else {
            self.handle_event(to, MemberEvent::Received { from, message });
        }
    }

    pub fn run(&mut self, rounds: u64) {
        let end = self.now + ROUND * rounds;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done`; returns the rounds it took, rounded up, or `None` after `bound` rounds.
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

    /// Whether all `viewers` see each of `seen` other than themselves in `state`.
    pub fn all_see<'a>(
        &self,
        viewers: impl IntoIterator<Item = &'a usize>,
        seen: &BTreeSet<usize>,
        state: MemberState,
    ) -> bool {
        viewers.into_iter().all(|&viewer| {
            let members = &self.nodes[viewer].members;
            seen.iter()
                .filter(|&&index| index != viewer)
                .all(|&index| members.state(&host(index)) == Some(state))
        })
    }
}
