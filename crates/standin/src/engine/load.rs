//! History of the engine's load, so that `GET /v1/load` can report it with a lag.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

const MAX_SAMPLES: usize = 20_000;

/// Load of an engine at a point in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of running sequences.
    pub running: u64,
    /// Number of waiting sequences.
    pub waiting: u64,
    /// KV cache tokens used by running sequences.
    pub kv_used: u64,
    /// Size of the KV cache, in tokens.
    pub kv_total: u64,
    /// Time of the measurement, in microseconds since the Unix epoch.
    pub measured_at_us: u64,
}

#[derive(Debug)]
struct LoadSample {
    at: Instant,
    load: Load,
}

#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<LoadSample>,
}

impl LoadHistory {
    pub(super) fn record(&mut self, load: Load, now: Instant) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(LoadSample { at: now, load });
    }

    /// The newest load that is at least `lag` old, or else the oldest.
    pub(super) fn load_at(&self, lag: Duration, now: Instant) -> Load {
        let sample = self.samples.iter().rev().find(|sample| sample.at + lag <= now);
        sample.or(self.samples.front()).map(|sample| sample.load).unwrap_or_default()
    }
}
