//! The runs as JSON lines, and a table over all seeds.

use std::io::{self, Write};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::world::Outcome;

/// One run.
pub(crate) struct Row {
    pub(crate) scenario: &'static str,
    pub(crate) policy: &'static str,
    pub(crate) seed: u64,
    pub(crate) outcome: Outcome,
    /// Batch throughput as a share of a run without online load less what online used.
    pub(crate) share: f64,
    /// The same against a run that uses every slot, without reserve.
    pub(crate) full_share: f64,
    /// Tokens of whole online answers, as a share of the capacity.
    pub(crate) goodput: f64,
}

impl Row {
    pub(crate) fn json(&self) -> Value {
        let outcome = &self.outcome;
        json!({
            "scenario": self.scenario,
            "policy": self.policy,
            "seed": self.seed,
            "first_token": quantiles(&outcome.first),
            "whole_answer": quantiles(&outcome.whole),
            "give_way": quantiles(&outcome.give_way),
            "bursts": outcome.give_way.len(),
            "batch_share": self.share,
            "batch_full_share": self.full_share,
            "goodput": self.goodput,
            "arrived": outcome.arrived,
            "answered": outcome.whole.len(),
            "refused": outcome.refused,
            "items": outcome.items,
            "cancels": outcome.cancels,
            "most_at_engine": outcome.most,
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

    fn merged(&self, pick: impl Fn(&Outcome) -> &Histogram<u64>) -> Histogram<u64> {
        let mut all = self.rows.first().map(|row| pick(&row.outcome).clone());
        for row in self.rows.iter().skip(1) {
            if let Some(all) = &mut all {
                *all += pick(&row.outcome);
            }
        }
        all.expect("a group has a run")
    }

    fn mean(&self, pick: impl Fn(&Row) -> f64) -> f64 {
        self.rows.iter().map(|row| pick(row)).sum::<f64>() / self.rows.len() as f64
    }

    fn spread(&self, pick: impl Fn(&Row) -> f64) -> (f64, f64) {
        let values = self.rows.iter().map(|row| pick(row));
        values.fold((f64::MAX, f64::MIN), |(low, high), value| (low.min(value), high.max(value)))
    }
}

/// Scenario whose run without batch is the baseline of `scenario`.
fn baseline(scenario: &str) -> &str {
    if matches!(scenario, "lag-5s" | "cut") { "steady" } else { scenario }
}

/// Prints first-token (`f`) and whole-answer (`w`) quantiles as ratios to no batch over all
/// seeds, with the lowest and highest `f99` of a seed, and means of the shares.
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
    let mut done: Vec<(&str, &str)> = Vec::new();
    for row in rows {
        if !done.contains(&(row.scenario, row.policy)) {
            done.push((row.scenario, row.policy));
            line(out, rows, row)?;
        }
    }
    Ok(())
}

fn line(out: &mut impl Write, rows: &[Row], row: &Row) -> io::Result<()> {
    let group = Group::of(rows, row.scenario, row.policy);
    let base = Group::of(rows, baseline(row.scenario), "online-only");
    let first = group.merged(|outcome| &outcome.first);
    let base_first = base.merged(|outcome| &outcome.first);
    let whole = group.merged(|outcome| &outcome.whole);
    let base_whole = base.merged(|outcome| &outcome.whole);
    let way = group.merged(|outcome| &outcome.give_way);
    let (low, high) = group.spread(|row| {
        let base = base.rows.iter().find(|base| base.seed == row.seed);
        let base = base.map_or(0, |base| base.outcome.first.value_at_quantile(0.99));
        row.outcome.first.value_at_quantile(0.99) as f64 / base as f64
    });
    let ms = |histogram: &Histogram<u64>, q| histogram.value_at_quantile(q) as f64 / 1e3;
    writeln!(
        out,
        "{:9} {:12} {:>7.1} {:>6.3} {:>6.3} {:>6.3} {:>6.3}-{:>6.3} {:>6.3} {:>6.3} {:>6.3} {:>6.3} {:>6.3} {:>8.1} {:>8.1} {:>8.0}",
        row.scenario,
        row.policy,
        ms(&first, 0.99),
        ratio(&first, &base_first, 0.5),
        ratio(&first, &base_first, 0.95),
        ratio(&first, &base_first, 0.99),
        low,
        high,
        ratio(&first, &base_first, 0.999),
        ratio(&whole, &base_whole, 0.99),
        group.mean(|row| row.share),
        group.mean(|row| row.full_share),
        group.mean(|row| row.goodput),
        ms(&way, 0.5),
        ms(&way, 0.99),
        group.mean(|row| row.outcome.cancels as f64)
    )
}

fn ratio(one: &Histogram<u64>, other: &Histogram<u64>, quantile: f64) -> f64 {
    one.value_at_quantile(quantile) as f64 / other.value_at_quantile(quantile) as f64
}
