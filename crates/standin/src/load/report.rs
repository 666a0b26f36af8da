//! JSON report of a run.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Latency percentiles, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Number of samples.
    pub count: u64,
    /// Arithmetic mean.
    pub mean: f64,
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Maximum.
    pub max: u64,
}

/// Failures with the same cause.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureCount {
    /// Cause, as displayed by [`FailureKind`](crate::load::FailureKind).
    pub name: String,
    /// Number of failures.
    pub count: u64,
    /// Failures after the first token.
    pub begun: u64,
}

/// Refusals with the same status, code and `ran`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RefusalCount {
    /// HTTP status.
    pub status: u16,
    /// Machine-readable error code; `-` if absent.
    pub code: String,
    /// The response's `ran` field: whether the request was executed; `-` if absent.
    pub ran: String,
    /// Refusals that requested a retry delay.
    pub retry_told: u64,
    /// Time to the error response; its `count` is the number of refusals.
    pub latency: LatencySummary,
}

/// Calls by the second of their planned arrival.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecondCounts {
    /// Seconds since the start of the run.
    pub second: u64,
    /// Calls sent.
    pub sent: u64,
    /// Complete responses.
    pub whole: u64,
    /// Refusals.
    pub refused: u64,
    /// Calls without a complete response.
    pub failed: u64,
    /// Maximum time to the first token, in microseconds.
    pub first_max: u64,
}

/// Measurements of a run of the load tool.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the run.
    pub label: String,
    /// Seed of arrivals and prompts.
    pub seed: u64,
    /// Prefix of each request id, before the request number.
    pub run_id: String,
    /// Length of the measurement window, in microseconds from the start of the run.
    pub window_us: u64,
    /// Time from the start of the run to the end of the last call, in microseconds.
    pub elapsed_us: u64,
    /// Planned arrivals.
    pub planned: u64,
    /// Calls sent.
    pub sent: u64,
    /// Retries of all calls.
    #[serde(default)]
    pub resent: u64,
    /// Arrivals not sent because the limit on open calls was reached.
    pub skipped: u64,
    /// Complete responses.
    pub whole: u64,
    /// Complete responses that met the latency objectives.
    pub good: u64,
    /// Error responses before any token.
    pub refused: u64,
    /// Calls without a complete response, except refused and wrong ones.
    pub failed: u64,
    /// Responses that differ from the expected ones.
    pub wrong: u64,
    /// Tokens of complete responses.
    pub tokens: u64,
    /// Complete responses within the window, per second.
    pub whole_per_s: f64,
    /// Good responses within the window, per second.
    pub good_per_s: f64,
    /// Tokens of complete responses within the window, per second.
    pub tokens_per_s: f64,
    /// Time to the first token.
    pub first_token: LatencySummary,
    /// Time between successive tokens.
    pub between_tokens: LatencySummary,
    /// Time to the end of the response.
    pub whole_answer: LatencySummary,
    /// Delay from the planned arrival of a call to its start.
    pub send_lag: LatencySummary,
    /// Refusals by kind.
    pub refusals: Vec<RefusalCount>,
    /// Failures by kind.
    pub failures: Vec<FailureCount>,
    /// Descriptions of the first wrong responses.
    pub wrong_samples: Vec<String>,
    /// Calls by the second of their planned arrival.
    pub seconds: Vec<SecondCounts>,
}

impl From<&Histogram<u64>> for LatencySummary {
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
