//! Compares policies by the latency of online requests and the throughput of batch work.
//!
//! Simulates routers and engines in virtual time; real processes are not measured. Usage:
//!
//! ```text
//! cargo run --release -p oleander-routing --example policy -- \
//!     [vpu|ht] [SEEDS] [all|brief] [RESERVE]
//! ```
//!
//! `brief` leaves out the `first-come` and `split` policies. Prints one JSON line per run, then a
//! table over all seeds; `report.rs` explains the columns.

mod engine;
mod load;
mod report;
mod settings;
mod simulation;

use std::{
    io::{self, Write},
    thread,
};

use oleander_core::{Span, Time};
use oleander_routing::Policy;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use engine::EngineConfig;
use report::Row;
use settings::{Outcome, Settings};
use simulation::Simulation;

/// Number of seeds that run in parallel.
const THREADS: usize = 3;

const ENGINE: EngineConfig = EngineConfig {
    slots: 48,
    step_base: Span(20_000),
    step_per_sequence: Span(300),
    prefill_per_token: Span(50),
};

/// Settings for a deployment of the given size.
fn settings(size: &str) -> Settings {
    let vpu = size != "ht";
    Settings {
        entries: 8,
        batch_hosts: 4,
        targets: if vpu { 20 } else { 12 },
        zones: if vpu { 4 } else { 3 },
        caller_delay: Span::from_millis(if vpu { 3 } else { 1 }),
        zone_delay: Span::from_millis(1),
        limit: 32,
        reserve: 3,
        engine: ENGINE,
        report_delay: Span::from_millis(1_000),
        policy: Policy::Managed,
        batch: true,
        item_length: load::BATCH_LENGTH,
        warm_up: Time(5_000_000),
        end: Time(65_000_000),
        seed: 1,
        freeze: false,
        partition: false,
    }
}

/// Runs one simulation with `rate` online requests per second.
fn simulate(settings: &Settings, rate: f64, burst_interval: Option<Span>) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
    let arrivals = load::arrivals(&mut rng, settings.entries, rate, burst_interval, settings.end);
    Simulation::new(settings.clone(), &arrivals).run()
}

/// Batch tokens per second without online requests, under the policy of `base`.
fn batch_throughput(base: &Settings) -> f64 {
    simulate(base, 0.0, None).batch_tokens as f64 / seconds(base)
}

/// Tokens per second of all targets while every slot is used by items of `length` tokens.
fn capacity(base: &Settings, length: u32) -> f64 {
    let settings = Settings { policy: Policy::FirstCome, item_length: length, ..base.clone() };
    let outcome = simulate(&settings, 0.0, None);
    outcome.batch_tokens as f64 / seconds(base)
}

/// Duration of the measured part of a run.
fn seconds(settings: &Settings) -> f64 {
    settings.end.since(settings.warm_up).as_secs_f64()
}

fn main() -> io::Result<()> {
    let mut args = std::env::args().skip(1);
    let size = args.next().unwrap_or_else(|| "vpu".to_owned());
    let seeds: u64 = args.next().and_then(|text| text.parse().ok()).unwrap_or(3);
    let brief = args.next().is_some_and(|text| text == "brief");
    let mut base = settings(&size);
    base.reserve = args.next().and_then(|text| text.parse().ok()).unwrap_or(base.reserve);
    let seeds: Vec<u64> = (1..=seeds).collect();
    let mut rows = Vec::new();
    for parallel in seeds.chunks(THREADS) {
        rows.extend(run_seeds(&base, parallel, brief));
    }
    let mut out = io::stdout().lock();
    for row in &rows {
        writeln!(out, "{}", row.json())?;
    }
    report::table(&mut out, &rows)
}

fn run_seeds(base: &Settings, seeds: &[u64], brief: bool) -> Vec<Row> {
    let run = |seed: u64| run_seed(&Settings { seed, ..base.clone() }, brief);
    thread::scope(|scope| {
        let run = &run;
        let threads = seeds.iter().map(|&seed| scope.spawn(move || run(seed)));
        let threads: Vec<_> = threads.collect();
        threads.into_iter().flat_map(|t| t.join().expect("a run doesn't panic")).collect()
    })
}

/// Runs all scenarios and policies with one seed.
fn run_seed(base: &Settings, brief: bool) -> Vec<Row> {
    let mut rows = Vec::new();
    let batch_capacity = capacity(base, load::BATCH_LENGTH);
    let managed_batch = batch_throughput(base);
    let online_capacity = capacity(base, load::ONLINE_LENGTH);
    let max_rate = online_capacity / f64::from(load::ONLINE_LENGTH);
    let burst_interval = Some(Span::from_millis(2_000));
    let split = Policy::Split { batch_targets: (base.targets / 2) as u32 };
    let mut policies = vec![
        ("online-only", Policy::OnlineOnly),
        ("first-come", Policy::FirstCome),
        ("split", split),
        ("managed", Policy::Managed),
    ];
    policies.retain(|(name, _)| !brief || !matches!(*name, "first-come" | "split"));
    let mut add = |scenario, policy, settings: Settings, load: f64| {
        let outcome = simulate(&settings, max_rate * load, burst_interval);
        let per_second = |tokens: u64| tokens as f64 / seconds(base);
        let used = per_second(outcome.online_tokens) / online_capacity;
        let left = |capacity: f64| capacity - used * batch_capacity;
        let batch = per_second(outcome.batch_tokens);
        let share = batch / left(managed_batch);
        let full_share = batch / left(batch_capacity);
        let goodput = per_second(outcome.completed_tokens) / online_capacity;
        rows.push(Row { scenario, policy, seed: base.seed, outcome, share, full_share, goodput });
    };
    for &(name, policy) in &policies {
        add("steady", name, Settings { policy, ..base.clone() }, 0.3);
    }
    for &(name, policy) in &policies {
        add("busy", name, Settings { policy, ..base.clone() }, 0.6);
    }
    add("overload", "online-only", Settings { policy: Policy::OnlineOnly, ..base.clone() }, 2.0);
    add("overload", "managed", base.clone(), 2.0);
    let delay = Span::from_secs(5);
    add("lag-5s", "managed", Settings { report_delay: delay, ..base.clone() }, 0.3);
    add("cut", "managed", Settings { partition: true, ..base.clone() }, 0.3);
    rows
}
