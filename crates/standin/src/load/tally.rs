//! Adds up the outcomes of a run.

use std::collections::BTreeMap;

use clap::Args;
use hdrhistogram::Histogram;

use crate::load::{
    outcome::{CallAnswer, Failure, FailureKind, Outcome, Refusal, Timing},
    report::{CountOf, RefusalCount, Report, SecondCounts, Summary},
};

const SIGNIFICANT_DIGITS: u8 = 3;
const LARGEST_LATENCY_US: u64 = 3_600_000_000;
const WRONG_SAMPLES: usize = 10;
const MICROS_PER_SECOND: u64 = 1_000_000;
const MICROS_PER_MILLI: u64 = 1_000;

/// Latencies that a good answer keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Args)]
pub struct Targets {
    /// Longest time to the first token of a good answer, in milliseconds.
    #[arg(long, default_value_t = 720)]
    pub good_first_ms: u64,
    /// Longest mean time between tokens of a good answer, in milliseconds.
    #[arg(long, default_value_t = 49)]
    pub good_between_ms: u64,
}

/// One call as the tally sees it, with times from the start of the run.
#[derive(Debug)]
pub(super) struct Ended {
    pub(super) planned_us: u64,
    pub(super) sent_us: u64,
    pub(super) ended_us: u64,
    pub(super) answer: CallAnswer,
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
    retry_told: u64,
}

#[derive(Debug, Default)]
struct FailureTally {
    count: u64,
    begun: u64,
}

/// Whole answers that came within the window of arrivals.
#[derive(Debug, Default)]
struct WindowTally {
    whole: u64,
    good: u64,
    tokens: u64,
}

/// Adds up the outcomes of a run.
#[derive(Debug)]
pub(super) struct Tally {
    targets: Targets,
    report: Report,
    window: WindowTally,
    first: Histogram<u64>,
    between: Histogram<u64>,
    whole: Histogram<u64>,
    lag: Histogram<u64>,
    refusals: BTreeMap<RefusalKind, RefusalTally>,
    failures: BTreeMap<FailureKind, FailureTally>,
    seconds: BTreeMap<u64, SecondCounts>,
}

impl Tally {
    /// An empty tally; `report` names the run.
    #[must_use]
    pub(super) fn new(targets: Targets, report: Report) -> Self {
        Self {
            targets,
            report,
            window: WindowTally::default(),
            first: histogram(),
            between: histogram(),
            whole: histogram(),
            lag: histogram(),
            refusals: BTreeMap::new(),
            failures: BTreeMap::new(),
            seconds: BTreeMap::new(),
        }
    }

    /// Counts an arrival that was not sent.
    pub(super) fn skip(&mut self) {
        self.report.skipped += 1;
    }

    pub(super) fn add(&mut self, ended: Ended) {
        self.report.sent += 1;
        self.report.elapsed_us = self.report.elapsed_us.max(ended.ended_us);
        self.lag.saturating_record(ended.sent_us.saturating_sub(ended.planned_us));
        let in_window = ended.ended_us <= self.report.window_us;
        let second = ended.planned_us / MICROS_PER_SECOND;
        self.second(second).sent += 1;
        self.report.resent += ended.answer.resends;
        match ended.answer.outcome {
            Outcome::Whole(timing) => self.add_whole(&timing, second, in_window),
            Outcome::Refused(refusal) => self.add_refusal(refusal, second),
            Outcome::Failed(failure) => self.add_failure(failure, second),
            Outcome::Wrong(what) => self.add_wrong(what),
        }
    }

    /// The report of all that was added.
    #[must_use]
    pub(super) fn report(self) -> Report {
        let window_s = self.report.window_us.max(1) as f64 / MICROS_PER_SECOND as f64;
        let refusals = self.refusals.into_iter().map(|(kind, tally)| RefusalCount {
            status: kind.status,
            code: kind.code,
            ran: kind.ran,
            retry_told: tally.retry_told,
            latency: Summary::from(&tally.latency),
        });
        let failures = self.failures.into_iter().map(|(kind, tally)| CountOf {
            name: kind.to_string(),
            count: tally.count,
            begun: tally.begun,
        });
        Report {
            whole_per_s: self.window.whole as f64 / window_s,
            good_per_s: self.window.good as f64 / window_s,
            tokens_per_s: self.window.tokens as f64 / window_s,
            first_token: Summary::from(&self.first),
            between_tokens: Summary::from(&self.between),
            whole_answer: Summary::from(&self.whole),
            send_lag: Summary::from(&self.lag),
            refusals: refusals.collect(),
            failures: failures.collect(),
            seconds: self.seconds.into_values().collect(),
            ..self.report
        }
    }

    fn add_whole(&mut self, timing: &Timing, second: u64, in_window: bool) {
        let good = self.is_good(timing);
        self.report.whole += 1;
        self.report.good += u64::from(good);
        self.report.tokens += timing.tokens;
        if in_window {
            self.window.whole += 1;
            self.window.good += u64::from(good);
            self.window.tokens += timing.tokens;
        }
        self.first.saturating_record(timing.first_us);
        self.whole.saturating_record(timing.whole_us);
        for gap in &timing.gaps_us {
            self.between.saturating_record(*gap);
        }
        let counts = self.second(second);
        counts.whole += 1;
        counts.first_max = counts.first_max.max(timing.first_us);
    }

    fn is_good(&self, timing: &Timing) -> bool {
        let gaps = timing.gaps_us.len().max(1) as u64;
        let mean = timing.gaps_us.iter().sum::<u64>() / gaps;
        timing.first_us <= self.targets.good_first_ms * MICROS_PER_MILLI
            && mean <= self.targets.good_between_ms * MICROS_PER_MILLI
    }

    fn add_refusal(&mut self, refusal: Refusal, second: u64) {
        self.report.refused += 1;
        self.second(second).refused += 1;
        let kind = RefusalKind { status: refusal.status, code: refusal.code, ran: refusal.ran };
        let tally = self
            .refusals
            .entry(kind)
            .or_insert_with(|| RefusalTally { latency: histogram(), retry_told: 0 });
        tally.latency.saturating_record(refusal.after_us);
        tally.retry_told += u64::from(refusal.retry_ms.is_some());
    }

    fn add_failure(&mut self, failure: Failure, second: u64) {
        self.report.failed += 1;
        self.second(second).failed += 1;
        let tally = self.failures.entry(failure.kind).or_default();
        tally.count += 1;
        tally.begun += u64::from(failure.begun);
    }

    fn add_wrong(&mut self, what: String) {
        self.report.wrong += 1;
        if self.report.wrong_samples.len() < WRONG_SAMPLES {
            self.report.wrong_samples.push(what);
        }
    }

    fn second(&mut self, second: u64) -> &mut SecondCounts {
        self.seconds.entry(second).or_insert(SecondCounts { second, ..SecondCounts::default() })
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LARGEST_LATENCY_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are valid"))
}
