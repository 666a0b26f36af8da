//! Cost of batch work by items, lots, jobs and hosts: check of a file, run of a lot, size of its
//! records, and the board.

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
const BODIES: [usize; 4] = [256, 1_024, 2_048, 4_096];
const JOBS: [usize; 4] = [250, 500, 1_000, 2_000];
const HOSTS: [usize; 4] = [50, 100, 200, 395];
/// Lots of the jobs on the board: the letter's mean of 8,871 items in lots of 64.
const LOTS: u32 = 139;
/// Jobs that one look at the announcements finds.
const SCANNED: usize = 500;
/// Lots whose memory is measured together.
const COPIES: usize = 100;
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

/// Runs a lot to its end with a platform that answers at once.
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
                LotAction::StartRun { run, .. } => pending.push(end(run)),
                LotAction::CancelRun(_) | LotAction::DeclineSlot(_) | LotAction::Finished(_) => {}
            }
        }
    }
}

fn answer(n: usize, body: usize) -> Response {
    Response { status: 200, request: format!("0123abcd-{n}"), body: "x".repeat(body) }
}

fn end(run: RunId) -> LotEvent {
    LotEvent::RunEnded { run, outcome: RunOutcome::Responded(answer(run.item.0 as usize, 512)) }
}

fn lot_memory(kept: &mut Vec<Lot>, items: usize) {
    let before = resident_bytes();
    kept.extend((0..COPIES).map(|n| lot(items, n as u64)));
    point("jobs.lot_memory_bytes", items, (resident_bytes() - before) / COPIES as f64);
}

fn lot_cost(items: usize) {
    let repeats = (20_000 / items).max(4);
    let (nanos, ()) = measure(|| (0..repeats).for_each(|n| run_lot(items, n as u64)));
    point("jobs.lot_ns_per_item", items, nanos / (items * repeats) as f64);
}

fn record_bytes(body: usize) {
    let records = (0..64).map(|n| LotRecord::Outcome {
        item: ItemIndex(n as u32),
        result: ItemResult::Response(answer(n, body)),
    });
    let attempt: AttemptId = "batch-0001:1700000000000000".parse().expect("id");
    let segment = Segment { writer: host(1), attempt, records: records.collect() };
    let bytes = segment.encode().expect("encodes").len();
    point("jobs.record_bytes", body, bytes as f64 / 64.0);
}

fn board_job(n: usize) -> ScheduledJob {
    let job: JobId = format!("batch-{n:040}").parse().expect("id");
    let service = "resumen-llm".parse().expect("id");
    ScheduledJob { job, service, lots: LOTS, deadline: now() + Span::from_secs(86_400 + n as u64) }
}

fn board(jobs: usize, hosts: usize) -> LotScheduler {
    let mut board = LotScheduler::new(host(1), Span::from_secs(15));
    board.set_hosts(now(), (0..hosts).map(host).collect());
    (0..jobs).for_each(|n| board.add_job(now(), board_job(n)));
    board
}

fn board_memory(kept: &mut Vec<LotScheduler>, jobs: usize) {
    let before = resident_bytes();
    kept.push(board(jobs, 100));
    point("jobs.board.jobs.memory_bytes", jobs, resident_bytes() - before);
}

fn board_by_jobs(jobs: usize) {
    let mut table = board(jobs, 100);
    let mut lots: Vec<(JobId, LotIndex)> = Vec::new();
    let (nanos, ()) = measure(|| {
        lots.extend((0..200).map_while(|_| table.pick(now(), |_| true)));
    });
    point("jobs.board.jobs.pick_ns", jobs, nanos / lots.len().max(1) as f64);
}

fn board_by_hosts(hosts: usize) {
    let table = board(0, hosts);
    let (nanos, ()) = measure(|| {
        (0..SCANNED).for_each(|n| {
            std::hint::black_box(table.participates_in(&board_job(n).job, LOTS));
        });
    });
    point("jobs.board.hosts.concerns_ns", hosts, nanos / SCANNED as f64);
    let mut table = table;
    let (nanos, ()) = measure(|| (0..SCANNED).for_each(|n| table.add_job(now(), board_job(n))));
    point("jobs.board.hosts.learn_ns", hosts, nanos / SCANNED as f64);
}

fn main() {
    // What memory is measured of is kept, so that no point is served from freed memory.
    println!("# jobs: x = items of a lot, memory at its start");
    let mut lots = Vec::new();
    LOT_ITEMS.into_iter().for_each(|items| lot_memory(&mut lots, items));
    println!("# jobs: x = open jobs of {LOTS} lots on a board with 100 hosts, memory");
    let mut boards = Vec::new();
    JOBS.into_iter().for_each(|jobs| board_memory(&mut boards, jobs));
    println!("# jobs: x = items of a file that is checked");
    let parsers: Vec<BatchParser> = ITEMS.into_iter().map(parse).collect();
    println!("# jobs: x = items of a lot, run against a platform that answers at once");
    LOT_ITEMS.into_iter().for_each(lot_cost);
    println!("# jobs: x = bytes of an answer; y = bytes of its record in a segment of 64");
    BODIES.into_iter().for_each(record_bytes);
    println!("# jobs: x = open jobs of {LOTS} lots on a board with 100 hosts");
    JOBS.into_iter().for_each(board_by_jobs);
    println!("# jobs: x = batch hosts; a job of {LOTS} lots");
    HOSTS.into_iter().for_each(board_by_hosts);
    drop((lots, boards, parsers));
}
