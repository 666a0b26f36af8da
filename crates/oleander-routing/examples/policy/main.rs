//! Compares policies: harm to online requests against throughput of batch.
//!
//! An experiment on a small model of routers and engines in virtual time, not a measurement of
//! processes. Usage: `cargo run --release -p oleander-routing --example policy -- [vpu|ht] [SEEDS] [all|brief] [RESERVE]`.
//! With `brief`, of the baselines only the one without batch is run. Prints a JSON line a run,
//! then a table over all seeds; see the column names in `report.rs`.

mod engine;
mod load;
mod report;
mod world;

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
use world::{Outcome, Setting, World};

/// Seeds that run at the same time.
const THREADS: usize = 3;

const ENGINE: EngineConfig = EngineConfig {
    slots: 48,
    step_base: Span(20_000),
    step_each: Span(300),
    prefill_each: Span(50),
};

/// A deployment and how long it is run.
fn setting(size: &str) -> Setting {
    let vpu = size != "ht";
    Setting {
        entries: 8,
        runners: 4,
        targets: if vpu { 20 } else { 12 },
        zones: if vpu { 4 } else { 3 },
        caller: Span::from_millis(if vpu { 3 } else { 1 }),
        between: Span::from_millis(1),
        limit: 32,
        reserve: 3,
        engine: ENGINE,
        report_lag: Span::from_millis(1_000),
        policy: Policy::Managed,
        batch: true,
        item_length: load::BATCH_LENGTH,
        warm_up: Time(5_000_000),
        end: Time(65_000_000),
        seed: 1,
        freeze: false,
        cut: false,
    }
}

fn simulate(setting: &Setting, rate: f64, bursts: Option<Span>) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(setting.seed);
    let arrivals = load::arrivals(&mut rng, setting.entries, rate, bursts, setting.end);
    World::new(setting.clone(), &arrivals).run()
}

/// Tokens a second of batch alone under the policy of the setting.
fn idle(base: &Setting) -> f64 {
    simulate(base, 0.0, None).batch_tokens as f64 / seconds(base)
}

/// Tokens a second of all targets when every slot is used by items of `length` tokens.
fn capacity(base: &Setting, length: u32) -> f64 {
    let setting = Setting { policy: Policy::FirstCome, item_length: length, ..base.clone() };
    let outcome = simulate(&setting, 0.0, None);
    outcome.batch_tokens as f64 / seconds(base)
}

fn seconds(setting: &Setting) -> f64 {
    setting.end.since(setting.warm_up).as_secs_f64()
}

fn main() -> io::Result<()> {
    let mut args = std::env::args().skip(1);
    let size = args.next().unwrap_or_else(|| "vpu".to_owned());
    let seeds: u64 = args.next().and_then(|text| text.parse().ok()).unwrap_or(3);
    let brief = args.next().is_some_and(|text| text == "brief");
    let mut base = setting(&size);
    base.reserve = args.next().and_then(|text| text.parse().ok()).unwrap_or(base.reserve);
    let seeds: Vec<u64> = (1..=seeds).collect();
    let mut rows = Vec::new();
    for together in seeds.chunks(THREADS) {
        rows.extend(run_seeds(&base, together, brief));
    }
    let mut out = io::stdout().lock();
    for row in &rows {
        writeln!(out, "{}", row.json())?;
    }
    report::table(&mut out, &rows)
}

fn run_seeds(base: &Setting, seeds: &[u64], brief: bool) -> Vec<Row> {
    let run = |seed: u64| run_seed(&Setting { seed, ..base.clone() }, brief);
    thread::scope(|scope| {
        let run = &run;
        let threads = seeds.iter().map(|&seed| scope.spawn(move || run(seed)));
        let threads: Vec<_> = threads.collect();
        threads.into_iter().flat_map(|t| t.join().expect("a run doesn't panic")).collect()
    })
}

fn run_seed(base: &Setting, brief: bool) -> Vec<Row> {
    let mut rows = Vec::new();
    let batch_capacity = capacity(base, load::BATCH_LENGTH);
    let managed_idle = idle(base);
    let online_capacity = capacity(base, load::ONLINE_LENGTH);
    let full = online_capacity / f64::from(load::ONLINE_LENGTH);
    let burst = Some(Span::from_millis(2_000));
    let split = Policy::Split { batch_targets: (base.targets / 2) as u32 };
    let mut policies = vec![
        ("online-only", Policy::OnlineOnly),
        ("first-come", Policy::FirstCome),
        ("split", split),
        ("managed", Policy::Managed),
    ];
    policies.retain(|(name, _)| !brief || !matches!(*name, "first-come" | "split"));
    let mut add = |scenario, policy, setting: Setting, load: f64| {
        let outcome = simulate(&setting, full * load, burst);
        let per_second = |tokens: u64| tokens as f64 / seconds(base);
        let used = per_second(outcome.online_tokens) / online_capacity;
        let idle = |capacity: f64| capacity - used * batch_capacity;
        let batch = per_second(outcome.batch_tokens);
        let share = batch / idle(managed_idle);
        let full_share = batch / idle(batch_capacity);
        let goodput = per_second(outcome.in_time) / online_capacity;
        rows.push(Row { scenario, policy, seed: base.seed, outcome, share, full_share, goodput });
    };
    for &(name, policy) in &policies {
        add("steady", name, Setting { policy, ..base.clone() }, 0.3);
    }
    for &(name, policy) in &policies {
        add("busy", name, Setting { policy, ..base.clone() }, 0.6);
    }
    add("overload", "online-only", Setting { policy: Policy::OnlineOnly, ..base.clone() }, 2.0);
    add("overload", "managed", base.clone(), 2.0);
    let lag = Span::from_secs(5);
    add("lag-5s", "managed", Setting { report_lag: lag, ..base.clone() }, 0.3);
    add("cut", "managed", Setting { cut: true, ..base.clone() }, 0.3);
    rows
}
