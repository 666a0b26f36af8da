//! Faults that the platform stand-in injects.

use serde::{Deserialize, Serialize};

/// Faults that the platform injects; `PUT /_fault` replaces them all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Each call fails with status 503 and has no effect, and watches end.
    pub down: bool,
    /// Calls get no response and have no effect, and watches send nothing.
    pub silent: bool,
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Number of further writes that take effect but return status 503, or nothing if `silent`.
    pub lose_answers: u64,
    /// Delay of changes on a watch, in milliseconds.
    pub watch_delay_ms: u64,
    /// Number of further changes that watches omit.
    pub watch_gap: u64,
    /// Lag of the list of hosts behind changes, in milliseconds.
    pub hosts_lag_ms: u64,
}
