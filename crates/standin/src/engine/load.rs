//! The lagging load report.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

const REPORTS_KEPT: usize = 20_000;

/// Load of an engine at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Sequences that run.
    pub running: u64,
    /// Sequences that wait.
    pub waiting: u64,
    /// KV cache tokens of running sequences.
    pub kv_used: u64,
    /// KV cache tokens in all.
    pub kv_total: u64,
    /// When it was measured, in microseconds since the Unix epoch.
    pub measured_at_us: u64,
}

#[derive(Debug)]
struct Measured {
    at: Instant,
    load: Load,
}

#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    reports: VecDeque<Measured>,
}

impl LoadHistory {
    pub(super) fn add(&mut self, load: Load, now: Instant) {
        if self.reports.len() == REPORTS_KEPT {
            self.reports.pop_front();
        }
        self.reports.push_back(Measured { at: now, load });
    }

    /// The newest report that is at least `lag` old, else the oldest.
    pub(super) fn read(&self, lag: Duration, now: Instant) -> Load {
        let old = self.reports.iter().rev().find(|measured| measured.at + lag <= now);
        old.or(self.reports.front()).map(|measured| measured.load).unwrap_or_default()
    }
}
