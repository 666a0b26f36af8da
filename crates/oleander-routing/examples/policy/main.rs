//! Compares policies: harm to online requests against throughput of batch.
//!
//! An experiment on a small model of routers and engines in virtual time, not a measurement of
//! processes. Usage: `cargo run --release -p oleander-routing --example policy -- [vpu|ht] [SEEDS] [brief]`.
//! With `brief`, of the baselines only the one without batch is run. Prints a JSON line a run, then a table.

mod engine;
mod load;
mod world;

use std::io::{self, Write};

use oleander_core::{Span, Time};
use oleander_routing::Policy;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use engine::EngineConfig;
use world::{Outcome, Setting, World};

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
        reserve: 2,
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

/// Tokens a second of all targets when every slot is used by items of `length` tokens.
fn capacity(base: &Setting, length: u32) -> f64 {
    let setting = Setting { policy: Policy::FirstCome, item_length: length, ..base.clone() };
    let outcome = simulate(&setting, 0.0, None);
    outcome.batch_tokens as f64 / seconds(base)
}

fn seconds(setting: &Setting) -> f64 {
    setting.end.since(setting.warm_up).as_secs_f64()
}

struct Row {
    scenario: &'static str,
    policy: &'static str,
    seed: u64,
    outcome: Outcome,
    share: f64,
    goodput: f64,
}

impl Row {
    fn json(&self) -> serde_json::Value {
        let o = &self.outcome;
        let quantiles = |h: &hdrhistogram::Histogram<u64>| {
            serde_json::json!({
                "p50_us": h.value_at_quantile(0.5), "p95_us": h.value_at_quantile(0.95),
                "p99_us": h.value_at_quantile(0.99), "p999_us": h.value_at_quantile(0.999),
            })
        };
        serde_json::json!({
            "scenario": self.scenario, "policy": self.policy, "seed": self.seed,
            "first": quantiles(&o.first), "whole": quantiles(&o.whole),
            "give_way_p50_us": o.give_way.value_at_quantile(0.5), "give_way_max_us": o.give_way.max(),
            "bursts": o.give_way.len(), "batch_share": self.share, "goodput": self.goodput,
            "arrived": o.arrived, "answered": o.whole.len(), "refused": o.refused,
            "items": o.items, "cancels": o.cancels, "most_at_engine": o.most,
        })
    }
}

fn main() -> io::Result<()> {
    let mut args = std::env::args().skip(1);
    let size = args.next().unwrap_or_else(|| "vpu".to_owned());
    let seeds: u64 = args.next().and_then(|text| text.parse().ok()).unwrap_or(3);
    let brief = args.next().is_some_and(|text| text == "brief");
    let mut out = io::stdout().lock();
    let mut rows = Vec::new();
    for seed in 1..=seeds {
        run_seed(&Setting { seed, ..setting(&size) }, brief, &mut rows);
    }
    for row in &rows {
        writeln!(out, "{}", row.json())?;
    }
    table(&mut out, &rows)
}

fn run_seed(base: &Setting, brief: bool, rows: &mut Vec<Row>) {
    let batch_capacity = capacity(base, load::BATCH_LENGTH);
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
        let idle = 1.0 - per_second(outcome.online_tokens) / online_capacity;
        let share = per_second(outcome.batch_tokens) / batch_capacity / idle;
        let goodput = per_second(outcome.in_time) / online_capacity;
        rows.push(Row { scenario, policy, seed: base.seed, outcome, share, goodput });
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
}

fn table(out: &mut impl Write, rows: &[Row]) -> io::Result<()> {
    writeln!(
        out,
        "{:9} {:12} {:>4} {:>8} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>8} {:>8} {:>7} {:>5}",
        "scenario",
        "policy",
        "seed",
        "p99 ms",
        "r50",
        "r95",
        "r99",
        "r999",
        "share",
        "good",
        "way p50",
        "way max",
        "cancels",
        "most"
    )?;
    for row in rows {
        let base = rows.iter().find(|other| {
            let scenario =
                if matches!(row.scenario, "lag-5s" | "cut") { "steady" } else { row.scenario };
            other.seed == row.seed && other.policy == "online-only" && other.scenario == scenario
        });
        let first = &row.outcome.first;
        let ratio = |q: f64| {
            let baseline = base.map_or(0, |b| b.outcome.first.value_at_quantile(q));
            first.value_at_quantile(q) as f64 / baseline as f64
        };
        let ms = |us: u64| us as f64 / 1e3;
        writeln!(
            out,
            "{:9} {:12} {:>4} {:>8.1} {:>6.3} {:>6.3} {:>6.3} {:>6.3} {:>6.3} {:>6.3} {:>8.1} {:>8.1} {:>7} {:>5}",
            row.scenario,
            row.policy,
            row.seed,
            ms(first.value_at_quantile(0.99)),
            ratio(0.5),
            ratio(0.95),
            ratio(0.99),
            ratio(0.999),
            row.share,
            row.goodput,
            ms(row.outcome.give_way.value_at_quantile(0.5)),
            ms(row.outcome.give_way.max()),
            row.outcome.cancels,
            row.outcome.most
        )?;
    }
    Ok(())
}
