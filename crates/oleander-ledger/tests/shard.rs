//! Properties of a shard with several concurrent owners and a store that loses responses.
//!
//! The owners share one store. Each step delivers one input that is drawn from the seed: a store
//! call, its response, a tick, a claim, or a crash that replaces an owner.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, HashMap, HashSet};

use oleander_check::properties;
use oleander_core::{AttemptId, CallId, DigestId, HostId, Span, Time, hash};
use oleander_ledger::{
    CallRecord, Claim, LogEvent, Outcome, Segment, Shard, ShardAction, ShardConfig, ShardEvent,
    ShardReply, Ticket,
};

const OWNERS: usize = 3;
const CALLS: usize = 4;
const STEPS: usize = 1_500;
const STEP: Span = Span::from_millis(7);

struct Random(u64);

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        ((self.0 >> 33) as usize) % bound
    }
}

enum Pending {
    Create(u64, Segment<CallRecord>),
    Fetch(u64),
    Response(LogEvent<CallRecord>),
}

struct Owner {
    shard: Shard,
    pending: Vec<Pending>,
    claims: HashMap<Ticket, Claim>,
}

struct Simulation {
    random: Random,
    now: Time,
    store: BTreeMap<u64, Vec<u8>>,
    owners: Vec<Owner>,
    incarnations: u64,
    tickets: u64,
    repeatable: bool,
    faults: bool,
    granted: HashMap<CallId, HashSet<AttemptId>>,
    withdrawn: HashSet<AttemptId>,
    finals: HashMap<CallId, HashSet<String>>,
}

fn host(index: usize) -> HostId {
    format!("host-{index}").parse().unwrap()
}

fn call(index: usize) -> CallId {
    CallId { workspace: "w".parse().unwrap(), request: format!("r{index}").parse().unwrap() }
}

fn digest() -> DigestId {
    hash::digest(b"body")
}

impl Simulation {
    fn new(seed: u64, repeatable: bool, faults: bool) -> Self {
        let mut sim = Self {
            random: Random(seed),
            now: Time(1_000_000_000),
            store: BTreeMap::new(),
            owners: Vec::new(),
            incarnations: 0,
            tickets: 0,
            repeatable,
            faults,
            granted: HashMap::new(),
            withdrawn: HashSet::new(),
            finals: HashMap::new(),
        };
        for index in 0..OWNERS {
            let owner = sim.new_owner(index);
            sim.owners.push(owner);
        }
        sim
    }

    fn new_owner(&mut self, index: usize) -> Owner {
        self.incarnations += 1;
        let config = ShardConfig::new().commit_interval(Span::from_millis(1));
        let shard = Shard::new(host(index), self.incarnations, config);
        Owner { shard, pending: Vec::new(), claims: HashMap::new() }
    }

    fn feed(&mut self, index: usize, event: ShardEvent) {
        let actions = self.owners[index].shard.handle(self.now, event);
        for action in actions {
            match action {
                ShardAction::Create(sequence, segment) => {
                    self.owners[index].pending.push(Pending::Create(sequence, segment));
                }
                ShardAction::Fetch(sequence) => {
                    self.owners[index].pending.push(Pending::Fetch(sequence));
                }
                ShardAction::Reply(ticket, reply) => self.reply(index, ticket, reply),
                ShardAction::Copy(_) | ShardAction::Gather => {}
            }
        }
    }

    fn reply(&mut self, index: usize, ticket: Ticket, reply: ShardReply) {
        let Some(claim) = self.owners[index].claims.remove(&ticket) else { return };
        match reply {
            ShardReply::Run => {
                let granted = self.granted.entry(claim.call.clone()).or_default();
                granted.insert(claim.attempt.clone());
                self.after_grant(index, &claim);
            }
            ShardReply::Recorded { outcome, durable: true } | ShardReply::Done(outcome) => {
                self.finals.entry(claim.call).or_default().insert(format!("{outcome:?}"));
            }
            _ => {}
        }
    }

    /// Ends a granted run, withdraws it before it is sent, or loses it.
    fn after_grant(&mut self, index: usize, claim: &Claim) {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        match self.random.below(3) {
            0 => {
                self.owners[index].claims.insert(ticket, claim.clone());
                let body = claim.attempt.to_string();
                let outcome = Outcome::Answer { status: 200, body };
                let event =
                    ShardEvent::Record(ticket, claim.call.clone(), claim.digest.clone(), outcome);
                self.feed(index, event);
            }
            1 => {
                self.withdrawn.insert(claim.attempt.clone());
                let event = ShardEvent::Withdraw(ticket, claim.call.clone(), claim.attempt.clone());
                self.feed(index, event);
            }
            _ => {}
        }
    }

    fn claim(&mut self, index: usize) {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let call = call(self.random.below(CALLS));
        let mut granted: Vec<AttemptId> =
            self.granted.get(&call).into_iter().flatten().cloned().collect();
        granted.sort();
        let lost_attempt = (!granted.is_empty() && self.random.below(3) == 0)
            .then(|| granted[self.random.below(granted.len())].clone());
        let claim = Claim {
            call,
            digest: digest(),
            runner: host(index),
            attempt: format!("a{}", self.tickets).parse().unwrap(),
            repeatable: self.repeatable,
            lost_attempt,
        };
        self.owners[index].claims.insert(ticket, claim.clone());
        self.feed(index, ShardEvent::Claim(ticket, claim));
    }

    /// Performs a pending store call of an owner, or delivers the response to one.
    fn deliver(&mut self, index: usize) {
        let count = self.owners[index].pending.len();
        if count == 0 {
            return;
        }
        let pick = self.random.below(count);
        let lost = self.faults && self.random.below(6) == 0;
        let response = match self.owners[index].pending.swap_remove(pick) {
            Pending::Response(event) => return self.feed(index, ShardEvent::Log(event)),
            Pending::Create(sequence, segment) => match self.store.contains_key(&sequence) {
                true => LogEvent::Exists(sequence),
                false => {
                    self.store.insert(sequence, segment.encode().unwrap());
                    if lost { LogEvent::Failed(sequence) } else { LogEvent::Created(sequence) }
                }
            },
            Pending::Fetch(sequence) if lost => LogEvent::Failed(sequence),
            Pending::Fetch(sequence) => {
                let body = self.store.get(&sequence);
                LogEvent::Fetched(sequence, body.map(|body| Segment::decode(body).unwrap()))
            }
        };
        self.owners[index].pending.push(Pending::Response(response));
    }

    fn run(&mut self) {
        for _ in 0..STEPS {
            self.now = self.now + STEP;
            let index = self.random.below(OWNERS);
            match self.random.below(20) {
                0..=2 => self.claim(index),
                3 if self.faults && self.random.below(8) == 0 => {
                    self.owners[index] = self.new_owner(index);
                }
                4..=6 => self.feed(index, ShardEvent::Log(LogEvent::Tick)),
                _ => self.deliver(index),
            }
        }
    }

    /// Outcomes according to the log, where the first final record of a call counts.
    fn logged(&self) -> HashMap<CallId, String> {
        let mut finals = HashMap::new();
        for body in self.store.values() {
            for record in Segment::<CallRecord>::decode(body).unwrap().records {
                if let CallRecord::Final { call, outcome, .. } = record {
                    finals.entry(call).or_insert_with(|| format!("{outcome:?}"));
                }
            }
        }
        finals
    }
}

fn one_outcome(seed: u64, repeatable: bool) -> bool {
    let mut sim = Simulation::new(seed, repeatable, true);
    sim.run();
    let logged = sim.logged();
    sim.finals.iter().all(|(call, seen)| {
        seen.len() == 1 && seen.iter().all(|outcome| logged.get(call) == Some(outcome))
    })
}

fn granted_at_most_once(seed: u64) -> bool {
    let mut sim = Simulation::new(seed, false, true);
    sim.run();
    sim.granted.values().all(|attempts| {
        let kept = attempts.iter().filter(|attempt| !sim.withdrawn.contains(*attempt));
        kept.count() <= 1
    })
}

properties! {
    fn repeatable_calls_have_one_outcome(seed: u64) -> bool {
        one_outcome(seed, true)
    }

    fn other_calls_have_one_outcome(seed: u64) -> bool {
        one_outcome(seed, false)
    }

    fn other_calls_are_granted_at_most_once(seed: u64) -> bool {
        granted_at_most_once(seed)
    }
}

#[test]
fn calls_end_without_faults() {
    for repeatable in [true, false] {
        let mut sim = Simulation::new(7, repeatable, false);
        sim.run();
        assert_eq!(sim.logged().len(), CALLS);
    }
}
