//! Aggregates the outcomes of a run.

use std::collections::BTreeMap;

use clap::Args;
use hdrhistogram::Histogram;

use crate::load::{
    outcome::{CallResult, Failure, FailureKind, Outcome, Refusal, Timing},
    report::{FailureCount, LatencySummary, RefusalCount, Report, SecondCounts},
};

const SIGNIFICANT_DIGITS: u8 = 3;
const MAX_LATENCY_US: u64 = 3_600_000_000;
const MAX_WRONG_SAMPLES: usize = 10;
const MICROS_PER_SECOND: u64 = 1_000_000;
const MICROS_PER_MILLI: u64 = 1_000;

/// Latency objectives of a good response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Args)]
pub struct LatencyObjectives {
    /// Maximum time to the first token of a good response, in milliseconds.
    #[arg(long, default_value_t = 720)]
    pub good_first_ms: u64,
    /// Maximum mean time between tokens of a good response, in milliseconds.
    #[arg(long, default_value_t = 49)]
    pub good_between_ms: u64,
}

/// A finished call, with times from the start of the run.
#[derive(Debug)]
pub(super) struct FinishedCall {
    pub(super) planned_us: u64,
    pub(super) sent_us: u64,
    pub(super) ended_us: u64,
    pub(super) result: CallResult,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RefusalKind {
    status: u16,
    code: String,
    ran: String,
}

#[derive(Debug)]
struct RefusalTally {
    latency: Histogram<u64>,
    with_delay: u64,
}

#[derive(Debug, Default)]
struct FailureTally {
    count: u64,
    mid_stream: u64,
}

/// Complete responses within the measurement window.
#[derive(Debug, Default)]
struct WindowTally {
    complete: u64,
    good: u64,
    tokens: u64,
}

/// Aggregates the outcomes of a run.
#[derive(Debug)]
pub(super) struct Tally {
    objectives: LatencyObjectives,
    report: Report,
    window: WindowTally,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    total: Histogram<u64>,
    send_lag: Histogram<u64>,
    refusals: BTreeMap<RefusalKind, RefusalTally>,
    failures: BTreeMap<FailureKind, FailureTally>,
    seconds: BTreeMap<u64, SecondCounts>,
}

impl Tally {
    /// An empty tally; `report` holds the description of the run.
    #[must_use]
    pub(super) fn new(objectives: LatencyObjectives, report: Report) -> Self {
        Self {
            objectives,
            report,
            window: WindowTally::default(),
            first_token: histogram(),
            between_tokens: histogram(),
            total: histogram(),
            send_lag: histogram(),
            refusals: BTreeMap::new(),
            failures: BTreeMap::new(),
            seconds: BTreeMap::new(),
        }
    }

    /// Counts an arrival that was not sent.
    pub(super) fn record_skipped(&mut self) {
        self.report.skipped += 1;
    }

    pub(super) fn record_call(&mut self, call: FinishedCall) {
        self.report.sent += 1;
        self.report.elapsed_us = self.report.elapsed_us.max(call.ended_us);
        self.send_lag.saturating_record(call.sent_us.saturating_sub(call.planned_us));
        let in_window = call.ended_us <= self.report.window_us;
        let second = call.planned_us / MICROS_PER_SECOND;
        self.second_counts(second).sent += 1;
        self.report.resent += call.result.retries;
        match call.result.outcome {
            Outcome::Complete(timing) => self.record_complete(&timing, second, in_window),
            Outcome::Refused(refusal) => self.record_refusal(refusal, second),
            Outcome::Failed(failure) => self.record_failure(failure, second),
            Outcome::Wrong(detail) => self.record_wrong(detail),
        }
    }

    /// Report of all recorded calls.
    #[must_use]
    pub(super) fn report(self) -> Report {
        let window_s = self.report.window_us.max(1) as f64 / MICROS_PER_SECOND as f64;
        let refusals = self.refusals.into_iter().map(|(kind, tally)| RefusalCount {
            status: kind.status,
            code: kind.code,
            ran: kind.ran,
            retry_told: tally.with_delay,
            latency: LatencySummary::from(&tally.latency),
        });
        let failures = self.failures.into_iter().map(|(kind, tally)| FailureCount {
            name: kind.to_string(),
            count: tally.count,
            begun: tally.mid_stream,
        });
        Report {
            whole_per_s: self.window.complete as f64 / window_s,
            good_per_s: self.window.good as f64 / window_s,
            tokens_per_s: self.window.tokens as f64 / window_s,
            first_token: LatencySummary::from(&self.first_token),
            between_tokens: LatencySummary::from(&self.between_tokens),
            whole_answer: LatencySummary::from(&self.total),
            send_lag: LatencySummary::from(&self.send_lag),
            refusals: refusals.collect(),
            failures: failures.collect(),
            seconds: self.seconds.into_values().collect(),
            ..self.report
        }
    }

    fn record_complete(&mut self, timing: &Timing, second: u64, in_window: bool) {
        let good = self.is_good(timing);
        self.report.whole += 1;
        self.report.good += u64::from(good);
        self.report.tokens += timing.tokens;
        if in_window {
            self.window.complete += 1;
            self.window.good += u64::from(good);
            self.window.tokens += timing.tokens;
        }
        self.first_token.saturating_record(timing.first_token_us);
        self.total.saturating_record(timing.total_us);
        for gap in &timing.gaps_us {
            self.between_tokens.saturating_record(*gap);
        }
        let counts = self.second_counts(second);
        counts.whole += 1;
        counts.first_max = counts.first_max.max(timing.first_token_us);
    }

    fn is_good(&self, timing: &Timing) -> bool {
        let gaps = timing.gaps_us.len().max(1) as u64;
        let mean = timing.gaps_us.iter().sum::<u64>() / gaps;
        timing.first_token_us <= self.objectives.good_first_ms * MICROS_PER_MILLI
            && mean <= self.objectives.good_between_ms * MICROS_PER_MILLI
    }

    fn record_refusal(&mut self, refusal: Refusal, second: u64) {
        self.report.refused += 1;
        self.second_counts(second).refused += 1;
        let kind = RefusalKind { status: refusal.status, code: refusal.code, ran: refusal.ran };
        let tally = self
            .refusals
            .entry(kind)
            .or_insert_with(|| RefusalTally { latency: histogram(), with_delay: 0 });
        tally.latency.saturating_record(refusal.latency_us);
        tally.with_delay += u64::from(refusal.retry_after_ms.is_some());
    }

    fn record_failure(&mut self, failure: Failure, second: u64) {
        self.report.failed += 1;
        self.second_counts(second).failed += 1;
        let tally = self.failures.entry(failure.kind).or_default();
        tally.count += 1;
        tally.mid_stream += u64::from(failure.mid_stream);
    }

    fn record_wrong(&mut self, detail: String) {
        self.report.wrong += 1;
        if self.report.wrong_samples.len() < MAX_WRONG_SAMPLES {
            self.report.wrong_samples.push(detail);
        }
    }

    fn second_counts(&mut self, second: u64) -> &mut SecondCounts {
        self.seconds.entry(second).or_insert(SecondCounts { second, ..SecondCounts::default() })
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are valid"))
}
