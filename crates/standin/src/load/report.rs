//! The JSON report of a run.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Percentiles of a latency, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of values.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// 50 in 100 are at most this.
    pub p50: u64,
    /// 95 in 100 are at most this.
    pub p95: u64,
    /// 99 in 100 are at most this.
    pub p99: u64,
    /// 999 in 1,000 are at most this.
    pub p999: u64,
    /// Largest value.
    pub max: u64,
}

/// How often something happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountOf {
    /// What happened.
    pub name: String,
    /// How often.
    pub count: u64,
    /// How often after the first token.
    pub begun: u64,
}

/// Refusals of one kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RefusalCount {
    /// HTTP status.
    pub status: u16,
    /// Machine-readable code.
    pub code: String,
    /// Whether the request ran, as the answers say.
    pub ran: String,
    /// How many said when to come back.
    pub retry_told: u64,
    /// Time to the answer; its count is the number of refusals.
    pub latency: Summary,
}

/// Calls by the second of their arrival.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecondCounts {
    /// Second of the run.
    pub second: u64,
    /// Calls sent.
    pub sent: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refusals.
    pub refused: u64,
    /// Calls without a whole answer.
    pub failed: u64,
    /// Largest time to the first token, in microseconds.
    pub first_max: u64,
}

/// What a run of the load tool measured.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name given to the run.
    pub label: String,
    /// Seed of arrivals and prompts.
    pub seed: u64,
    /// Text before the number in each request id.
    pub run_id: String,
    /// Time from the first to the last planned arrival, in microseconds.
    pub window_us: u64,
    /// Time to the last answer, in microseconds.
    pub elapsed_us: u64,
    /// Calls planned.
    pub planned: u64,
    /// Calls sent.
    pub sent: u64,
    /// Sendings after the first of a call.
    #[serde(default)]
    pub resent: u64,
    /// Arrivals not sent because too many calls were open.
    pub skipped: u64,
    /// Whole answers.
    pub whole: u64,
    /// Whole answers within the targets for latency.
    pub good: u64,
    /// Error answers before any token.
    pub refused: u64,
    /// Calls without a whole answer.
    pub failed: u64,
    /// Answers that are not those of the request.
    pub wrong: u64,
    /// Tokens of whole answers.
    pub tokens: u64,
    /// Whole answers that came within the window, per second.
    pub whole_per_s: f64,
    /// Good answers that came within the window, per second.
    pub good_per_s: f64,
    /// Tokens of whole answers that came within the window, per second.
    pub tokens_per_s: f64,
    /// Time to the first token.
    pub first_token: Summary,
    /// Time between tokens.
    pub between_tokens: Summary,
    /// Time to the whole answer.
    pub whole_answer: Summary,
    /// How late the tool sent calls.
    pub send_lag: Summary,
    /// Refusals by kind.
    pub refusals: Vec<RefusalCount>,
    /// Failures by kind.
    pub failures: Vec<CountOf>,
    /// The first few wrong answers.
    pub wrong_samples: Vec<String>,
    /// Calls by the second of their arrival.
    pub seconds: Vec<SecondCounts>,
}

impl From<&Histogram<u64>> for Summary {
    fn from(values: &Histogram<u64>) -> Self {
        Self {
            count: values.len(),
            mean: values.mean(),
            p50: values.value_at_quantile(0.5),
            p95: values.value_at_quantile(0.95),
            p99: values.value_at_quantile(0.99),
            p999: values.value_at_quantile(0.999),
            max: values.max(),
        }
    }
}
