//! Faults that the engine stand-in injects.

use serde::{Deserialize, Serialize};

/// Faults that the engine injects; `PUT /_fault` replaces them all.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// No steps run, but calls are accepted.
    pub freeze: bool,
    /// Calls get no response, and open streams send nothing.
    pub silent: bool,
    /// Each completion call fails with this HTTP status without a run; 0 for none.
    pub fail_status: u16,
    /// Connections are closed after this number of generated tokens; 0 for never.
    pub break_after_tokens: u32,
    /// Responses have the id and the tokens of the previous request.
    pub cross_ids: bool,
    /// A prompt that contains this text ends the engine; empty for none.
    pub die_on: String,
    /// A prompt that contains this text is rejected with status 400; empty for none.
    pub reject_on: String,
    /// Lag of the load report, in milliseconds.
    pub load_lag_ms: u64,
    /// Orders with an outdated fencing number take effect.
    pub ignore_fence: bool,
    /// Factor on the duration of each step; 0 counts as 1.
    pub slow_factor: f64,
}

impl Faults {
    pub(super) fn ends_engine(&self, prompt: &str) -> bool {
        !self.die_on.is_empty() && prompt.contains(&self.die_on)
    }

    pub(super) fn rejects(&self, prompt: &str) -> bool {
        !self.reject_on.is_empty() && prompt.contains(&self.reject_on)
    }

    pub(super) fn duration_factor(&self) -> f64 {
        if self.slow_factor > 0.0 { self.slow_factor } else { 1.0 }
    }
}
