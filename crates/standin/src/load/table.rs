//! Formats the report as a text table.

use std::fmt;

use crate::load::report::{LatencySummary, Report};

const MICROS_PER_MILLI: f64 = 1_000.0;
const MICROS_PER_SECOND: f64 = 1e6;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "run {} seed {} ids {}-*", self.label, self.seed, self.run_id)?;
        writeln!(
            f,
            "window {:.1} s, last call ended at {:.1} s",
            self.window_us as f64 / MICROS_PER_SECOND,
            self.elapsed_us as f64 / MICROS_PER_SECOND,
        )?;
        writeln!(
            f,
            "planned {} sent {} resent {} skipped {} whole {} good {} refused {} failed {} wrong {}",
            self.planned,
            self.sent,
            self.resent,
            self.skipped,
            self.whole,
            self.good,
            self.refused,
            self.failed,
            self.wrong,
        )?;
        writeln!(
            f,
            "per second: whole {:.1} good {:.1} tokens {:.0}",
            self.whole_per_s, self.good_per_s, self.tokens_per_s,
        )?;
        self.write_latencies(f)?;
        self.write_failures(f)
    }
}

impl Report {
    fn write_latencies(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<28}{:>9}{:>10}{:>10}{:>10}{:>10}{:>10}",
            "latency, ms", "count", "p50", "p95", "p99", "p99.9", "max",
        )?;
        write_row(f, "first token", &self.first_token)?;
        write_row(f, "between tokens", &self.between_tokens)?;
        write_row(f, "whole answer", &self.whole_answer)?;
        write_row(f, "send lag of the tool", &self.send_lag)?;
        for refusal in &self.refusals {
            let name = format!("refused {} {} ran={}", refusal.status, refusal.code, refusal.ran);
            write_row(f, &name, &refusal.latency)?;
        }
        Ok(())
    }

    fn write_failures(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for failure in &self.failures {
            writeln!(
                f,
                "failed {}: {}, {} of them after the first token",
                failure.name, failure.count, failure.begun,
            )?;
        }
        for sample in &self.wrong_samples {
            writeln!(f, "wrong {sample}")?;
        }
        Ok(())
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, name: &str, values: &LatencySummary) -> fmt::Result {
    let millis = |micros: u64| micros as f64 / MICROS_PER_MILLI;
    writeln!(
        f,
        "{name:<28}{:>9}{:>10.2}{:>10.2}{:>10.2}{:>10.2}{:>10.2}",
        values.count,
        millis(values.p50),
        millis(values.p95),
        millis(values.p99),
        millis(values.p999),
        millis(values.max),
    )
}
