//! Prints the runs as JSON lines and as a table over all seeds.

use std::io::{self, Write};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::settings::Outcome;

/// Result of one run.
pub(crate) struct Row {
    pub(crate) scenario: &'static str,
    pub(crate) policy: &'static str,
    pub(crate) seed: u64,
    pub(crate) outcome: Outcome,
    /// Batch throughput as a share of the throughput without online requests, less the capacity
    /// that online requests used.
    pub(crate) share: f64,
    /// The same, relative to the throughput with every slot in use and without reserve.
    pub(crate) full_share: f64,
    /// Throughput of completed online responses, as a share of the capacity.
    pub(crate) goodput: f64,
}

impl Row {
    pub(crate) fn json(&self) -> Value {
        let outcome = &self.outcome;
        json!({
            "scenario": self.scenario,
            "policy": self.policy,
            "seed": self.seed,
            "first_token": quantiles(&outcome.first_token),
            "whole_answer": quantiles(&outcome.response),
            "give_way": quantiles(&outcome.yield_time),
            "bursts": outcome.yield_time.len(),
            "batch_share": self.share,
            "batch_full_share": self.full_share,
            "goodput": self.goodput,
            "arrived": outcome.arrived,
            "answered": outcome.response.len(),
            "refused": outcome.refused,
            "items": outcome.items,
            "cancels": outcome.cancels,
            "most_at_engine": outcome.max_at_engine,
        })
    }
}

fn quantiles(histogram: &Histogram<u64>) -> Value {
    let at = |quantile| histogram.value_at_quantile(quantile);
    json!({ "p50_us": at(0.5), "p95_us": at(0.95), "p99_us": at(0.99), "p999_us": at(0.999),
        "max_us": histogram.max() })
}

/// All seeds of one scenario and policy.
struct Group<'a> {
    rows: Vec<&'a Row>,
}

impl<'a> Group<'a> {
    fn of(rows: &'a [Row], scenario: &str, policy: &str) -> Self {
        let wanted = |row: &&Row| row.scenario == scenario && row.policy == policy;
        Self { rows: rows.iter().filter(wanted).collect() }
    }

    /// Merged histogram of all seeds.
    fn merged(&self, field: impl Fn(&Outcome) -> &Histogram<u64>) -> Histogram<u64> {
        let mut all = self.rows.first().map(|row| field(&row.outcome).clone());
        for row in self.rows.iter().skip(1) {
            if let Some(all) = &mut all {
                *all += field(&row.outcome);
            }
        }
        all.expect("a group has a run")
    }

    fn mean(&self, value: impl Fn(&Row) -> f64) -> f64 {
        self.rows.iter().map(|row| value(row)).sum::<f64>() / self.rows.len() as f64
    }

    /// Lowest and highest value of a seed.
    fn range(&self, value: impl Fn(&Row) -> f64) -> (f64, f64) {
        let values = self.rows.iter().map(|row| value(row));
        values.fold((f64::MAX, f64::MIN), |(low, high), value| (low.min(value), high.max(value)))
    }
}

/// Scenario whose runs without batch are the baseline of `scenario`.
fn baseline(scenario: &str) -> &str {
    if matches!(scenario, "lag-5s" | "cut") { "steady" } else { scenario }
}

/// Prints a table with a row for each scenario and policy, over all seeds.
///
/// - `f99 ms`: p99 of the time to first token, in milliseconds
/// - `f50` to `f999`: quantiles of the time to first token, as ratios to the run without batch
/// - `f99 by seed`: lowest and highest ratio `f99` of a seed
/// - `w99`: p99 of the time to the complete response, as a ratio to the run without batch
/// - `share`, `full` and `good`: means of `share`, `full_share` and `goodput` of [`Row`]
/// - `way p50` and `way p99`: time after a burst until batch has made room, in milliseconds
/// - `cancels`: mean number of cancelled batch items
pub(crate) fn table(out: &mut impl Write, rows: &[Row]) -> io::Result<()> {
    writeln!(
        out,
        "{:9} {:12} {:>7} {:>6} {:>6} {:>6} {:>13} {:>6} {:>6} {:>6} {:>6} {:>6} {:>8} {:>8} {:>8}",
        "scenario",
        "policy",
        "f99 ms",
        "f50",
        "f95",
        "f99",
        "f99 by seed",
        "f999",
        "w99",
        "share",
        "full",
        "good",
        "way p50",
        "way p99",
        "cancels"
    )?;
    let mut printed: Vec<(&str, &str)> = Vec::new();
    for row in rows {
        if !printed.contains(&(row.scenario, row.policy)) {
            printed.push((row.scenario, row.policy));
            write_line(out, rows, row)?;
        }
    }
    Ok(())
}

fn write_line(out: &mut impl Write, rows: &[Row], row: &Row) -> io::Result<()> {
    let group = Group::of(rows, row.scenario, row.policy);
    let base = Group::of(rows, baseline(row.scenario), "online-only");
    let first_token = group.merged(|outcome| &outcome.first_token);
    let base_first_token = base.merged(|outcome| &outcome.first_token);
    let response = group.merged(|outcome| &outcome.response);
    let base_response = base.merged(|outcome| &outcome.response);
    let yield_time = group.merged(|outcome| &outcome.yield_time);
    let (low, high) = group.range(|row| {
        let base = base.rows.iter().find(|base| base.seed == row.seed);
        let base = base.map_or(0, |base| base.outcome.first_token.value_at_quantile(0.99));
        row.outcome.first_token.value_at_quantile(0.99) as f64 / base as f64
    });
    let ms = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q) as f64 / 1e3;
    writeln!(
        out,
        "{:9} {:12} {:>7.1} {:>6.3} {:>6.3} {:>6.3} {:>6.3}-{:>6.3} {:>6.3} {:>6.3} {:>6.3} {:>6.3} {:>6.3} {:>8.1} {:>8.1} {:>8.0}",
        row.scenario,
        row.policy,
        ms(&first_token, 0.99),
        ratio(&first_token, &base_first_token, 0.5),
        ratio(&first_token, &base_first_token, 0.95),
        ratio(&first_token, &base_first_token, 0.99),
        low,
        high,
        ratio(&first_token, &base_first_token, 0.999),
        ratio(&response, &base_response, 0.99),
        group.mean(|row| row.share),
        group.mean(|row| row.full_share),
        group.mean(|row| row.goodput),
        ms(&yield_time, 0.5),
        ms(&yield_time, 0.99),
        group.mean(|row| row.outcome.cancels as f64)
    )
}

fn ratio(one: &Histogram<u64>, other: &Histogram<u64>, quantile: f64) -> f64 {
    one.value_at_quantile(quantile) as f64 / other.value_at_quantile(quantile) as f64
}
