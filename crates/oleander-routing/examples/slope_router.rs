//! Time and memory of one router by number of targets and of peers: picks, tokens, peers' counts
//! and load reports.

#![allow(clippy::print_stdout, reason = "prints its measurements")]

#[path = "../../../scripts/slopes/meter.rs"]
mod meter;

use meter::{measure, point, resident_bytes};
use oleander_core::{HostId, Span, Time, Tokens};
use oleander_routing::{
    Decision, LoadReport, Observation, PeerCount, Pick, Router, RouterConfig, Target,
};

const TARGETS: [usize; 5] = [20, 100, 200, 400, 800];
const PEERS: [usize; 5] = [8, 50, 100, 200, 400];
/// Number of targets while the number of peers varies.
const FIXED_TARGETS: usize = 100;
/// Number of targets in each peer's counts.
const TARGETS_PER_PEER: usize = 40;
/// Number of routers whose memory is measured together.
const ROUTERS: usize = 20;
const REQUESTS: u32 = 500;
const TOKENS_PER_REQUEST: u32 = 40;
/// Minimum processor time over which one event is averaged.
const MIN_SERIES_NANOS: f64 = 60e6;

struct Bench {
    router: Router,
    now: Time,
    targets: usize,
}

fn target_name(n: usize) -> String {
    format!("worker-{n:05}")
}

impl Bench {
    fn new(targets: usize) -> Self {
        let config = RouterConfig::new("entry-1".parse().expect("id"), "z".parse().expect("id"));
        let mut router = Router::new(config, 1);
        let target = |n| Target {
            name: target_name(n).parse().expect("id"),
            zone: format!("zone-{}", n % 13).parse().expect("id"),
            limit: 16,
            reserve: 4,
        };
        router.set_targets((0..targets).map(target).collect());
        Self { router, now: Time(1_000_000_000), targets }
    }

    /// Updates the counts of one peer.
    fn update_peer(&mut self, peer: usize) {
        self.now = self.now + Span(10);
        let host: HostId = format!("host-{peer:04}").parse().expect("id");
        let count = TARGETS_PER_PEER.min(self.targets);
        let counts = (0..count).map(|n| PeerCount {
            target: target_name((peer * 7 + n) % self.targets).parse().expect("id"),
            online: 1,
            batch: 0,
        });
        self.router.update_peer(self.now, &host, counts.collect(), self.now);
    }

    /// Mean processor time of one event, in nanoseconds.
    ///
    /// The event must change nothing but the time.
    fn mean_nanos(&mut self, mut event: impl FnMut(&mut Self, usize)) -> f64 {
        let (mut nanos, mut count) = (0.0, 0);
        while nanos < MIN_SERIES_NANOS {
            let (elapsed, ()) = measure(|| (0..50).for_each(|n| event(self, n)));
            nanos += elapsed;
            count += 50;
        }
        nanos / f64::from(count)
    }

    /// Mean elapsed nanoseconds of a pick and of an observed token.
    fn request_nanos(&mut self) -> (f64, f64) {
        let (mut pick, mut tokens, mut sent) = (0.0, 0.0, 0);
        for _ in 0..REQUESTS {
            self.now = self.now + Span::from_millis(1);
            let ticket = self.router.ticket();
            let start = std::time::Instant::now();
            let decision = self.router.pick(self.now, &Pick::online(ticket));
            pick += start.elapsed().as_nanos() as f64;
            let Decision::Send { lease, .. } = decision else { continue };
            sent += 1;
            let start = std::time::Instant::now();
            self.router.observe(self.now, lease, Observation::FirstOutput);
            for _ in 0..TOKENS_PER_REQUEST {
                self.now = self.now + Span::from_millis(10);
                let output = Observation::Output { tokens: Tokens(1) };
                self.router.observe(self.now, lease, output);
            }
            self.router.observe(self.now, lease, Observation::Done);
            tokens += start.elapsed().as_nanos() as f64;
        }
        (pick / f64::from(REQUESTS), tokens / f64::from(sent.max(1) * TOKENS_PER_REQUEST))
    }
}

/// Memory of one router in bytes; all are kept, so that no later one reuses freed memory.
fn memory(kept: &mut Vec<Bench>, targets: usize, peers: usize) -> f64 {
    let before = resident_bytes();
    for _ in 0..ROUTERS {
        let mut bench = Bench::new(targets);
        (0..peers).for_each(|peer| bench.update_peer(peer));
        kept.push(bench);
    }
    (resident_bytes() - before) / ROUTERS as f64
}

fn main() {
    let mut kept = Vec::new();
    println!("# router: x = targets, 8 peers with counts of {TARGETS_PER_PEER} targets each");
    println!(
        "# pick and token: elapsed time of short spans, minimum of 3 runs; else processor time"
    );
    for targets in TARGETS {
        point("router.targets.memory_bytes", targets, memory(&mut kept, targets, 8));
        let mut bench = Bench::new(targets);
        (0..8).for_each(|peer| bench.update_peer(peer));
        let runs: Vec<(f64, f64)> = (0..3).map(|_| bench.request_nanos()).collect();
        let min = |value: fn(&(f64, f64)) -> f64| runs.iter().map(value).fold(f64::MAX, f64::min);
        point("router.targets.pick_ns", targets, min(|run| run.0));
        point("router.targets.token_ns", targets, min(|run| run.1));
        let nanos = bench.mean_nanos(|bench, n| bench.update_peer(n % 8));
        point("router.targets.peer_ns", targets, nanos);
        let nanos = bench.mean_nanos(|bench, n| {
            bench.now = bench.now + Span(10);
            let name = target_name(n % bench.targets).parse().expect("id");
            let load = LoadReport { running: 3, waiting: 0, measured_at: bench.now };
            bench.router.update_load(bench.now, &name, load);
        });
        point("router.targets.report_ns", targets, nanos);
    }
    println!(
        "# router: x = peers with counts of {TARGETS_PER_PEER} of {FIXED_TARGETS} targets each"
    );
    for peers in PEERS {
        point("router.peers.memory_bytes", peers, memory(&mut kept, FIXED_TARGETS, peers));
        let mut bench = Bench::new(FIXED_TARGETS);
        (0..peers).for_each(|peer| bench.update_peer(peer));
        let nanos = bench.mean_nanos(|bench, n| bench.update_peer(n % peers));
        point("router.peers.peer_ns", peers, nanos);
        let runs: Vec<(f64, f64)> = (0..3).map(|_| bench.request_nanos()).collect();
        let min = runs.iter().map(|run| run.0).fold(f64::MAX, f64::min);
        point("router.peers.pick_ns", peers, min);
    }
}
