//! Calls that were refused while the store was silent can run later.

#![allow(clippy::unwrap_used)]

use oleander_core::{AttemptId, CallId, Span, Time, hash};
use oleander_ledger::{
    CallRecord, Claim, LogEvent, Outcome, Segment, Shard, ShardAction, ShardConfig, ShardEvent,
    ShardReply, Ticket,
};

struct Run {
    shard: Shard,
    now: Time,
    store: Vec<Segment<CallRecord>>,
    silent: bool,
    waiting: Vec<ShardAction>,
    replies: Vec<(Ticket, ShardReply)>,
}

impl Run {
    fn new() -> Self {
        let shard = Shard::new("host".parse().unwrap(), 1, ShardConfig::new());
        let (now, store, waiting) = (Time(1_000_000_000), Vec::new(), Vec::new());
        let mut run = Self { shard, now, store, silent: false, waiting, replies: Vec::new() };
        run.feed(ShardEvent::View(1, true));
        run.feed(ShardEvent::Gathered(Vec::new(), true));
        run.pass(Span::from_millis(100));
        run
    }

    fn feed(&mut self, event: ShardEvent) {
        for action in self.shard.handle(self.now, event) {
            match action {
                ShardAction::Reply(ticket, reply) => self.replies.push((ticket, reply)),
                other => self.waiting.push(other),
            }
        }
        while !self.silent && !self.waiting.is_empty() {
            let action = self.waiting.remove(0);
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: ShardAction) {
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

    fn pass(&mut self, span: Span) {
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
    let mut run = Run::new();
    run.silent = true;
    run.claim(1, "a1", None);
    run.pass(Span::from_secs(1));
    assert_eq!(run.reply(1), Some(&ShardReply::Unavailable { unsent: true }));
    run.silent = false;
    run.pass(Span::from_secs(5));
    run.claim(2, "a2", None);
    run.pass(Span::from_secs(1));
    assert_eq!(run.reply(2), Some(&ShardReply::Run));
}

#[test]
fn a_resend_during_the_silence_does_not_block_later_ones() {
    let mut run = Run::new();
    run.silent = true;
    run.claim(1, "a1", None);
    run.pass(Span::from_secs(1));
    run.claim(2, "a2", Some("a1"));
    run.pass(Span::from_secs(1));
    run.silent = false;
    run.pass(Span::from_secs(5));
    run.claim(3, "a3", None);
    run.pass(Span::from_secs(1));
    assert_eq!(run.reply(3), Some(&ShardReply::Run));
}

#[test]
fn a_resend_that_comes_before_the_refused_intent_is_committed_runs() {
    let mut run = Run::new();
    run.silent = true;
    run.claim_call("other", 1, "b1", None);
    run.claim(2, "a1", None);
    run.pass(Span::from_secs(1));
    run.silent = false;
    run.feed(ShardEvent::Log(LogEvent::Tick));
    for n in 3..100 {
        run.claim(n, &format!("a{n}"), Some("a1"));
        run.pass(Span::from_millis(10));
    }
    let runs = run.replies.iter().filter(|(_, reply)| *reply == ShardReply::Run);
    assert_eq!(runs.count(), 1);
    let unknown = ShardReply::Recorded { outcome: Outcome::Unknown, durable: true };
    assert!(run.replies.iter().all(|(_, reply)| *reply != unknown));
}
