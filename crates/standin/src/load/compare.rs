//! Compares two reports.

use std::fmt;

use crate::load::report::{LatencySummary, Report};

/// One metric of two reports.
#[derive(Debug, Clone, PartialEq)]
struct Row {
    name: String,
    first: f64,
    second: f64,
}

/// Metrics of two reports side by side; `Display` prints a table with ratios.
#[derive(Debug, Clone, PartialEq)]
pub struct Comparison {
    labels: [String; 2],
    rows: Vec<Row>,
}

/// Compares two reports; each ratio is `second / first`.
#[must_use]
pub fn compare(first: &Report, second: &Report) -> Comparison {
    let mut rows = vec![
        row("sent", first.sent as f64, second.sent as f64),
        row("whole", first.whole as f64, second.whole as f64),
        row("good", first.good as f64, second.good as f64),
        row("refused", first.refused as f64, second.refused as f64),
        row("failed", first.failed as f64, second.failed as f64),
        row("wrong", first.wrong as f64, second.wrong as f64),
        row("good_per_s", first.good_per_s, second.good_per_s),
        row("tokens_per_s", first.tokens_per_s, second.tokens_per_s),
    ];
    rows.extend(latency_rows("first_token", &first.first_token, &second.first_token));
    rows.extend(latency_rows("between_tokens", &first.between_tokens, &second.between_tokens));
    rows.extend(latency_rows("whole_answer", &first.whole_answer, &second.whole_answer));
    Comparison { labels: [first.label.clone(), second.label.clone()], rows }
}

impl Comparison {
    /// Ratio of the second report to the first for the metric `name`.
    ///
    /// `None` if the metric is unknown or is 0 in the first report.
    #[must_use]
    pub fn ratio(&self, name: &str) -> Option<f64> {
        self.rows.iter().find(|row| row.name == name).and_then(Row::ratio)
    }
}

impl Row {
    fn ratio(&self) -> Option<f64> {
        (self.first != 0.0).then(|| self.second / self.first)
    }
}

fn row(name: &str, first: f64, second: f64) -> Row {
    Row { name: name.to_owned(), first, second }
}

fn latency_rows(name: &str, first: &LatencySummary, second: &LatencySummary) -> [Row; 4] {
    let named = |part: &str, first: u64, second: u64| {
        row(&format!("{name}_{part}_us"), first as f64, second as f64)
    };
    [
        named("p50", first.p50, second.p50),
        named("p95", first.p95, second.p95),
        named("p99", first.p99, second.p99),
        named("p999", first.p999, second.p999),
    ]
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second] = &self.labels;
        writeln!(f, "{:<26}{first:>14}{second:>14}{:>9}", "measure", "ratio")?;
        for row in &self.rows {
            let ratio = row.ratio().map_or_else(|| "-".to_owned(), |ratio| format!("{ratio:.3}"));
            writeln!(f, "{:<26}{:>14.1}{:>14.1}{ratio:>9}", row.name, row.first, row.second)?;
        }
        Ok(())
    }
}
