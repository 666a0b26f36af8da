//! Cost of batch jobs by number of items, lots, jobs and hosts: parsing a file, running a lot, the
//! size of its records, and scheduling.

#![allow(clippy::print_stdout, reason = "prints its measurements")]

#[path = "../../../scripts/slopes/meter.rs"]
mod meter;

use meter::{measure, point, resident_bytes};
use oleander_core::{AttemptId, Bytes, ChunkIndex, HostId, ItemIndex, JobId, LotIndex, Span, Time};
use oleander_jobs::{
    BatchParser, ItemResult, Lot, LotAction, LotConfig, LotEvent, LotRange, LotRecord,
    LotScheduler, ParseLimits, Response, RunId, RunOutcome, ScheduledJob,
};
use oleander_ledger::{LogEvent, Segment};

const ITEMS: [usize; 5] = [10_000, 40_000, 80_000, 160_000, 310_000];
const LOT_ITEMS: [usize; 5] = [16, 64, 256, 512, 1_024];
const BODY_BYTES: [usize; 4] = [256, 1_024, 2_048, 4_096];
const JOBS: [usize; 4] = [250, 500, 1_000, 2_000];
const HOSTS: [usize; 4] = [50, 100, 200, 395];
/// Lots of a mean job of the reference workload: 8,871 items in lots of 64.
const LOTS_PER_JOB: u32 = 139;
/// Announcements that one listing returns.
const ANNOUNCEMENTS: usize = 500;
/// Lots in one measurement of memory.
const SAMPLE_LOTS: usize = 100;
const PROMPT: &str = "El ventilador 3 del galpon 12 se detuvo; explique al productor que hacer.";

fn now() -> Time {
    Time(1_700_000_000_000_000)
}

fn host(n: usize) -> HostId {
    format!("batch-{n:04}").parse().expect("id")
}

fn line(n: usize) -> String {
    format!(
        "{{\"custom_id\":\"item-{n}\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\",\
         \"body\":{{\"model\":\"resumen-llm\",\"messages\":[{{\"role\":\"user\",\"content\":\
         \"{PROMPT} {n} {}\"}}]}}}}\n",
        "dato ".repeat(80)
    )
}

fn parse(items: usize) -> BatchParser {
    let limits = ParseLimits { bytes: Bytes(10_000_000_000), items: 1_000_000 };
    let before = resident_bytes();
    let mut parser = BatchParser::new(limits);
    let (mut bytes, mut total, mut chunks) = (0, 0.0, 0);
    for first in (0..items).step_by(1_000) {
        let text: String = (first..first + 1_000).map(line).collect();
        bytes += text.len();
        let (nanos, done) = measure(|| parser.push(text.as_bytes()).expect("valid").len());
        total += nanos;
        chunks += done;
    }
    point("jobs.parse_ns_total", items, total);
    point("jobs.parse_memory_bytes", items, resident_bytes() - before);
    point("jobs.file_bytes", items, bytes as f64);
    point("jobs.file_chunks", items, chunks as f64 + 1.0);
    parser
}

fn lot(items: usize, incarnation: u64) -> Lot {
    let range =
        LotRange { chunk: ChunkIndex(0), offset: 0, first: ItemIndex(0), count: items as u32 };
    let config = LotConfig {
        max_tries: 3,
        target_count: 20,
        checkpoint_interval: Span::from_secs(2),
        claim_timeout: Span::from_secs(15),
        deadline: now() + Span::from_secs(3_600),
    };
    Lot::new(host(1), incarnation, range, config, now())
}

/// Runs a lot to its end; the platform and the target respond at once.
fn run_lot(items: usize, incarnation: u64) {
    let mut at = now();
    let mut lot = lot(items, incarnation);
    let mut pending = vec![LotEvent::Tick];
    while !lot.is_ended() {
        let event = pending.pop().unwrap_or_else(|| {
            at = at + Span::from_millis(100);
            let target = "worker-1".parse().expect("id");
            match lot.ready_count(at) > 0 {
                true => LotEvent::OfferSlot { target, alone: false },
                false => LotEvent::Tick,
            }
        });
        for action in lot.handle(at, event) {
            match action {
                LotAction::Create(sequence, _) => {
                    pending.push(LotEvent::Log(LogEvent::Created(sequence)));
                }
                LotAction::Fetch(sequence) => {
                    pending.push(LotEvent::Log(LogEvent::Fetched(sequence, None)));
                }
                LotAction::StartRun { run, .. } => pending.push(run_ended(run)),
                LotAction::CancelRun(_) | LotAction::DeclineSlot(_) | LotAction::Finished(_) => {}
            }
        }
    }
}

fn response(n: usize, body: usize) -> Response {
    Response { status: 200, request: format!("0123abcd-{n}"), body: "x".repeat(body) }
}

fn run_ended(run: RunId) -> LotEvent {
    LotEvent::RunEnded { run, outcome: RunOutcome::Responded(response(run.item.0 as usize, 512)) }
}

fn lot_memory(kept: &mut Vec<Lot>, items: usize) {
    let before = resident_bytes();
    kept.extend((0..SAMPLE_LOTS).map(|n| lot(items, n as u64)));
    point("jobs.lot_memory_bytes", items, (resident_bytes() - before) / SAMPLE_LOTS as f64);
}

fn lot_cost(items: usize) {
    let repeats = (20_000 / items).max(4);
    let (nanos, ()) = measure(|| (0..repeats).for_each(|n| run_lot(items, n as u64)));
    point("jobs.lot_ns_per_item", items, nanos / (items * repeats) as f64);
}

fn record_bytes(body: usize) {
    let records = (0..64).map(|n| LotRecord::Outcome {
        item: ItemIndex(n as u32),
        result: ItemResult::Response(response(n, body)),
    });
    let attempt: AttemptId = "batch-0001:1700000000000000".parse().expect("id");
    let segment = Segment { writer: host(1), attempt, records: records.collect() };
    let bytes = segment.encode().expect("encodes").len();
    point("jobs.record_bytes", body, bytes as f64 / 64.0);
}

fn scheduled_job(n: usize) -> ScheduledJob {
    let job: JobId = format!("batch-{n:040}").parse().expect("id");
    let service = "resumen-llm".parse().expect("id");
    ScheduledJob {
        job,
        service,
        lots: LOTS_PER_JOB,
        deadline: now() + Span::from_secs(86_400 + n as u64),
    }
}

fn scheduler(jobs: usize, hosts: usize) -> LotScheduler {
    let mut scheduler = LotScheduler::new(host(1), Span::from_secs(15));
    scheduler.set_hosts(now(), (0..hosts).map(host).collect());
    (0..jobs).for_each(|n| scheduler.add_job(now(), scheduled_job(n)));
    scheduler
}

fn scheduler_memory(kept: &mut Vec<LotScheduler>, jobs: usize) {
    let before = resident_bytes();
    kept.push(scheduler(jobs, 100));
    point("jobs.board.jobs.memory_bytes", jobs, resident_bytes() - before);
}

fn scheduler_by_jobs(jobs: usize) {
    let mut scheduler = scheduler(jobs, 100);
    let mut lots: Vec<(JobId, LotIndex)> = Vec::new();
    let (nanos, ()) = measure(|| {
        lots.extend((0..200).map_while(|_| scheduler.pick(now(), |_| true)));
    });
    point("jobs.board.jobs.pick_ns", jobs, nanos / lots.len().max(1) as f64);
}

fn scheduler_by_hosts(hosts: usize) {
    let scheduler = scheduler(0, hosts);
    let (nanos, ()) = measure(|| {
        (0..ANNOUNCEMENTS).for_each(|n| {
            std::hint::black_box(scheduler.participates_in(&scheduled_job(n).job, LOTS_PER_JOB));
        });
    });
    point("jobs.board.hosts.concerns_ns", hosts, nanos / ANNOUNCEMENTS as f64);
    let mut scheduler = scheduler;
    let (nanos, ()) =
        measure(|| (0..ANNOUNCEMENTS).for_each(|n| scheduler.add_job(now(), scheduled_job(n))));
    point("jobs.board.hosts.learn_ns", hosts, nanos / ANNOUNCEMENTS as f64);
}

fn main() {
    // The measured values are kept, so that later measurements don't reuse freed memory.
    println!("# jobs: x = items of a lot; y = bytes of memory when it is opened");
    let mut lots = Vec::new();
    LOT_ITEMS.into_iter().for_each(|items| lot_memory(&mut lots, items));
    println!(
        "# jobs: x = open jobs of {LOTS_PER_JOB} lots, scheduled for 100 hosts; y = bytes of memory"
    );
    let mut schedulers = Vec::new();
    JOBS.into_iter().for_each(|jobs| scheduler_memory(&mut schedulers, jobs));
    println!("# jobs: x = items of a parsed file");
    let parsers: Vec<BatchParser> = ITEMS.into_iter().map(parse).collect();
    println!("# jobs: x = items of a lot that is run; the platform responds at once");
    LOT_ITEMS.into_iter().for_each(lot_cost);
    println!("# jobs: x = bytes of a response; y = bytes of its record in a segment of 64");
    BODY_BYTES.into_iter().for_each(record_bytes);
    println!("# jobs: x = open jobs of {LOTS_PER_JOB} lots, scheduled for 100 hosts");
    JOBS.into_iter().for_each(scheduler_by_jobs);
    println!("# jobs: x = batch hosts; jobs of {LOTS_PER_JOB} lots");
    HOSTS.into_iter().for_each(scheduler_by_hosts);
    drop((lots, schedulers, parsers));
}
