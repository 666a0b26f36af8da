//! Settings and measurements of a run.

use hdrhistogram::Histogram;
use oleander_core::{Span, Time};
use oleander_routing::Policy;

use crate::engine::EngineConfig;

/// Settings of one run.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    pub(crate) entries: usize,
    pub(crate) batch_hosts: usize,
    pub(crate) targets: usize,
    pub(crate) zones: usize,
    /// One-way delay between a caller and an entry.
    pub(crate) caller_delay: Span,
    /// One-way delay between two data centres.
    pub(crate) zone_delay: Span,
    pub(crate) limit: u32,
    pub(crate) reserve: u32,
    pub(crate) engine: EngineConfig,
    /// Delay of the engines' load reports.
    pub(crate) report_delay: Span,
    pub(crate) policy: Policy,
    /// Whether there is batch work.
    pub(crate) batch: bool,
    /// Mean length of a batch item, in tokens.
    pub(crate) item_length: u32,
    pub(crate) warm_up: Time,
    pub(crate) end: Time,
    pub(crate) seed: u64,
    /// Whether the first engine stops responding in the middle of the run.
    pub(crate) freeze: bool,
    /// Whether the hosts lose contact with each other in the middle of the run.
    pub(crate) partition: bool,
}

/// Measurements of one run.
pub(crate) struct Outcome {
    /// Times to first token.
    pub(crate) first_token: Histogram<u64>,
    /// Times to the complete response.
    pub(crate) response: Histogram<u64>,
    /// Times from the start of a burst until batch has made room.
    pub(crate) yield_time: Histogram<u64>,
    pub(crate) online_tokens: u64,
    pub(crate) batch_tokens: u64,
    /// Tokens of completed online responses.
    pub(crate) completed_tokens: u64,
    pub(crate) arrived: u64,
    pub(crate) refused: u64,
    pub(crate) cancels: u64,
    pub(crate) items: u64,
    /// Maximum number of sequences at an engine.
    pub(crate) max_at_engine: usize,
}
