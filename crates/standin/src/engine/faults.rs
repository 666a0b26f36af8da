//! Faults of the engine stand-in.

use serde::{Deserialize, Serialize};

/// Faults that the engine shows; a `PUT /_fault` replaces them all.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// No steps are made; calls are still accepted.
    pub freeze: bool,
    /// No call gets an answer, and open streams go silent.
    pub silent: bool,
    /// Status that answers each completion without a run; 0 for none.
    pub fail_status: u16,
    /// Streams are cut after so many tokens; 0 for never.
    pub break_after_tokens: u32,
    /// Answers carry id and tokens of the request before.
    pub cross_ids: bool,
    /// A prompt that holds this text ends the engine; empty for none.
    pub die_on: String,
    /// A prompt that holds this text is answered 400; empty for none.
    pub reject_on: String,
    /// Lag of the load report.
    pub load_lag_ms: u64,
    /// Orders with an old fencing number take effect.
    pub ignore_fence: bool,
    /// Factor on the time of each step; 0 counts as 1.
    pub slow_factor: f64,
}

impl Faults {
    pub(super) fn kills(&self, prompt: &str) -> bool {
        !self.die_on.is_empty() && prompt.contains(&self.die_on)
    }

    pub(super) fn rejects(&self, prompt: &str) -> bool {
        !self.reject_on.is_empty() && prompt.contains(&self.reject_on)
    }

    pub(super) fn step_factor(&self) -> f64 {
        if self.slow_factor > 0.0 { self.slow_factor } else { 1.0 }
    }
}
