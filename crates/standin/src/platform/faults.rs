//! Faults of the platform stand-in.

use serde::{Deserialize, Serialize};

/// Faults that the platform shows; a `PUT /_fault` replaces them all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Each call answers 503 without effect, and watches end.
    pub down: bool,
    /// Calls get no answer and have no effect; watches go silent.
    pub silent: bool,
    /// Delay of each call.
    pub delay_ms: u64,
    /// Number of coming writes that take effect and answer 503, or nothing if `silent`.
    pub lose_answers: u64,
    /// Delay of each change on a watch.
    pub watch_delay_ms: u64,
    /// Number of coming changes that watches leave out.
    pub watch_gap: u64,
    /// Lag of the list of hosts.
    pub hosts_lag_ms: u64,
}
