//! Cost of a shard of online calls: processor time per call, memory by number of recorded calls,
//! size of segments, and processor time of a replay.

#![allow(clippy::print_stdout, reason = "prints its measurements")]

#[path = "../../../scripts/slopes/meter.rs"]
mod meter;

use meter::{measure, point, resident_bytes};
use oleander_core::{AttemptId, CallId, DigestId, HostId, Span, Time, hash};
use oleander_ledger::{
    CallRecord, Claim, LogEvent, Outcome, Segment, Shard, ShardAction, ShardConfig, ShardEvent,
    Ticket,
};

const CALL_COUNTS: [usize; 5] = [25_000, 50_000, 100_000, 200_000, 400_000];
const BODY_SIZES_BYTES: [usize; 4] = [256, 1_024, 2_048, 4_096];
const BODY_BYTES: usize = 1_024;
/// Calls per commit interval.
const GROUP_SIZE: usize = 50;

struct Bench {
    shard: Shard,
    now: Time,
    tickets: u64,
    segments: Vec<Vec<u8>>,
}

fn host() -> HostId {
    "entry-1".parse().expect("id")
}

fn call(n: usize) -> CallId {
    CallId {
        workspace: format!("workspace-{:04}", n % 4_000).parse().expect("id"),
        request: format!("req-{n:032}").parse().expect("id"),
    }
}

impl Bench {
    fn new(incarnation: u64) -> Self {
        let now = Time(1_700_000_000_000_000);
        let shard = Shard::new(host(), incarnation, ShardConfig::new());
        Self { shard, now, tickets: 0, segments: Vec::new() }
    }

    fn ticket(&mut self) -> Ticket {
        self.tickets += 1;
        Ticket(self.tickets)
    }

    /// Feeds an event to the shard, with a platform that responds at once.
    fn feed(&mut self, event: ShardEvent, keep: bool) {
        let mut actions = self.shard.handle(self.now, event);
        while let Some(action) = actions.pop() {
            let response = match action {
                ShardAction::Create(sequence, segment) => {
                    let bytes = segment.encode().expect("encodes");
                    if keep {
                        self.segments.push(bytes);
                    }
                    LogEvent::Created(sequence)
                }
                ShardAction::Fetch(sequence) => LogEvent::Fetched(sequence, None),
                ShardAction::Reply(..) | ShardAction::Copy(_) | ShardAction::Gather => continue,
            };
            actions.extend(self.shard.handle(self.now, ShardEvent::Log(response)));
        }
    }

    /// Claims and records `count` calls, one group per commit interval.
    fn run(&mut self, count: usize, body: &str, keep: bool) {
        self.feed(ShardEvent::Log(LogEvent::Tick), keep);
        for group in 0..count / GROUP_SIZE {
            self.now = self.now + Span::from_millis(50);
            for n in group * GROUP_SIZE..(group + 1) * GROUP_SIZE {
                self.run_call(n, body, keep);
            }
        }
        self.now = self.now + Span::from_millis(50);
        self.feed(ShardEvent::Log(LogEvent::Tick), keep);
    }

    fn run_call(&mut self, n: usize, body: &str, keep: bool) {
        let digest = digest(n);
        let attempt: AttemptId = format!("entry-1:1700000000000000:{n}").parse().expect("id");
        let (runner, lost_attempt, call) = (host(), None, call(n));
        let claim = Claim {
            call: call.clone(),
            digest: digest.clone(),
            runner,
            attempt,
            repeatable: true,
            lost_attempt,
        };
        let ticket = self.ticket();
        self.feed(ShardEvent::Claim(ticket, claim), keep);
        let outcome = Outcome::Answer { status: 200, body: body.to_owned() };
        let ticket = self.ticket();
        self.feed(ShardEvent::Record(ticket, call, digest, outcome), keep);
    }
}

fn digest(n: usize) -> DigestId {
    hash::digest(&n.to_le_bytes())
}

fn record(n: usize, body: usize) -> CallRecord {
    let outcome = Outcome::Answer { status: 200, body: "x".repeat(body) };
    CallRecord::Final { call: call(n), digest: digest(n), outcome }
}

fn replay(segments: &[Vec<u8>]) -> Shard {
    let mut bench = Bench::new(2);
    bench.shard.handle(bench.now, ShardEvent::Log(LogEvent::Tick));
    for (sequence, bytes) in (0..).zip(segments) {
        let segment = Segment::decode(bytes).expect("decodes");
        let event = LogEvent::Fetched(sequence, Some(segment));
        bench.shard.handle(bench.now, ShardEvent::Log(event));
    }
    bench.shard
}

fn main() {
    println!(
        "# ledger: x = recorded calls; answers of {BODY_BYTES} B, {GROUP_SIZE} calls per commit"
    );
    let body = "x".repeat(BODY_BYTES);
    // Keeps all shards, so that no point reuses memory that an earlier one has freed.
    let mut kept = Vec::new();
    for calls in CALL_COUNTS {
        let before = resident_bytes();
        let mut bench = Bench::new(1);
        let (nanos, ()) = measure(|| bench.run(calls, &body, false));
        point("ledger.call_ns_total", calls, nanos);
        point("ledger.memory_bytes", calls, resident_bytes() - before);
        kept.push(bench);
    }
    drop(kept);
    println!("# ledger: x = segments of {GROUP_SIZE} records that a new owner replays");
    for calls in &CALL_COUNTS[..4] {
        let mut bench = Bench::new(1);
        bench.run(*calls, &body, true);
        let (nanos, shard) = measure(|| replay(&bench.segments));
        assert_eq!(shard.recorded(), *calls);
        point("ledger.replay_ns_total", bench.segments.len(), nanos);
    }
    println!("# ledger: x = bytes of an answer; y = bytes of its record in a segment of 100");
    for body in BODY_SIZES_BYTES {
        let records = (0..100).map(|n| record(n, body)).collect();
        let attempt = "entry-1:1700000000000000:1".parse().expect("id");
        let segment = Segment { writer: host(), attempt, records };
        let bytes = segment.encode().expect("encodes").len();
        point("ledger.record_bytes", body, bytes as f64 / 100.0);
    }
}
