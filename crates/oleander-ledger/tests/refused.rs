//! Claims that were refused during an outage of the store can be granted later.
//!
//! The intent of a refused claim may still be committed after the outage. The call has not run, so
//! a resend must be granted and must not end with an unknown outcome.

#![allow(clippy::unwrap_used)]

use oleander_core::{AttemptId, CallId, Span, Time, hash};
use oleander_ledger::{
    CallRecord, Claim, LogEvent, Outcome, Segment, Shard, ShardAction, ShardConfig, ShardEvent,
    ShardReply, Ticket,
};

struct Simulation {
    shard: Shard,
    now: Time,
    store: Vec<Segment<CallRecord>>,
    outage: bool,
    pending: Vec<ShardAction>,
    replies: Vec<(Ticket, ShardReply)>,
}

impl Simulation {
    fn new() -> Self {
        let shard = Shard::new("host".parse().unwrap(), 1, ShardConfig::new());
        let (now, store, pending) = (Time(1_000_000_000), Vec::new(), Vec::new());
        let mut sim = Self { shard, now, store, outage: false, pending, replies: Vec::new() };
        sim.feed(ShardEvent::View(1, true));
        sim.feed(ShardEvent::Gathered(Vec::new(), true));
        sim.advance(Span::from_millis(100));
        sim
    }

    fn feed(&mut self, event: ShardEvent) {
        for action in self.shard.handle(self.now, event) {
            match action {
                ShardAction::Reply(ticket, reply) => self.replies.push((ticket, reply)),
                other => self.pending.push(other),
            }
        }
        while !self.outage && !self.pending.is_empty() {
            let action = self.pending.remove(0);
            self.perform(action);
        }
    }

    fn perform(&mut self, action: ShardAction) {
        let event = match action {
            ShardAction::Create(sequence, segment) => {
                assert_eq!(sequence as usize, self.store.len());
                self.store.push(segment);
                LogEvent::Created(sequence)
            }
            ShardAction::Fetch(sequence) => {
                LogEvent::Fetched(sequence, self.store.get(sequence as usize).cloned())
            }
            _ => return,
        };
        self.feed(ShardEvent::Log(event));
    }

    fn advance(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Span::from_millis(10);
            self.feed(ShardEvent::Log(LogEvent::Tick));
        }
    }

    fn claim(&mut self, ticket: u64, attempt: &str, lost: Option<&str>) {
        self.claim_call("r", ticket, attempt, lost);
    }

    fn claim_call(&mut self, request: &str, ticket: u64, attempt: &str, lost: Option<&str>) {
        let claim = Claim {
            call: CallId { workspace: "w".parse().unwrap(), request: request.parse().unwrap() },
            digest: hash::digest(b"body"),
            runner: "host".parse().unwrap(),
            attempt: attempt.parse().unwrap(),
            repeatable: false,
            lost_attempt: lost.map(|attempt| attempt.parse::<AttemptId>().unwrap()),
        };
        self.feed(ShardEvent::Claim(Ticket(ticket), claim));
    }

    fn reply(&self, ticket: u64) -> Option<&ShardReply> {
        self.replies.iter().find(|(other, _)| *other == Ticket(ticket)).map(|(_, reply)| reply)
    }
}

#[test]
fn a_resend_runs_after_the_store_answers_again() {
    let mut sim = Simulation::new();
    sim.outage = true;
    sim.claim(1, "a1", None);
    sim.advance(Span::from_secs(1));
    assert_eq!(sim.reply(1), Some(&ShardReply::Unavailable { unsent: true }));
    sim.outage = false;
    sim.advance(Span::from_secs(5));
    sim.claim(2, "a2", None);
    sim.advance(Span::from_secs(1));
    assert_eq!(sim.reply(2), Some(&ShardReply::Run));
}

#[test]
fn a_resend_during_the_outage_does_not_block_later_ones() {
    let mut sim = Simulation::new();
    sim.outage = true;
    sim.claim(1, "a1", None);
    sim.advance(Span::from_secs(1));
    sim.claim(2, "a2", Some("a1"));
    sim.advance(Span::from_secs(1));
    sim.outage = false;
    sim.advance(Span::from_secs(5));
    sim.claim(3, "a3", None);
    sim.advance(Span::from_secs(1));
    assert_eq!(sim.reply(3), Some(&ShardReply::Run));
}

#[test]
fn a_resend_that_comes_before_the_refused_intent_is_committed_runs() {
    let mut sim = Simulation::new();
    sim.outage = true;
    sim.claim_call("other", 1, "b1", None);
    sim.claim(2, "a1", None);
    sim.advance(Span::from_secs(1));
    sim.outage = false;
    sim.feed(ShardEvent::Log(LogEvent::Tick));
    for n in 3..100 {
        sim.claim(n, &format!("a{n}"), Some("a1"));
        sim.advance(Span::from_millis(10));
    }
    let runs = sim.replies.iter().filter(|(_, reply)| *reply == ShardReply::Run);
    assert_eq!(runs.count(), 1);
    let unknown = ShardReply::Recorded { outcome: Outcome::Unknown, durable: true };
    assert!(sim.replies.iter().all(|(_, reply)| *reply != unknown));
}
