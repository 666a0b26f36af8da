//! Quantiles of the most recent latencies.

use std::collections::VecDeque;

use oleander_core::Span;

/// A sliding window of the most recent samples.
#[derive(Debug, Clone)]
pub struct LatencyWindow {
    samples: VecDeque<Span>,
    capacity: usize,
}

impl LatencyWindow {
    /// Creates an empty window of at most `capacity` samples.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { samples: VecDeque::new(), capacity: capacity.max(1) }
    }

    /// Adds a sample; a full window drops the oldest one.
    pub fn record(&mut self, sample: Span) {
        if self.samples.len() == self.capacity {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// Number of samples in the window.
    #[must_use]
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Whether the window has no samples.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    /// Removes all samples.
    pub fn clear(&mut self) {
        self.samples.clear();
    }

    /// The nearest-rank quantile at `per_mille`, such as 950 for p95; `None` without samples.
    #[must_use]
    pub fn quantile(&self, per_mille: u32) -> Option<Span> {
        let mut sorted: Vec<Span> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        let last = sorted.len().checked_sub(1)?;
        let rank = (sorted.len() * per_mille as usize).div_ceil(1_000);
        sorted.get(rank.saturating_sub(1).min(last)).copied()
    }

    /// The median; `None` without samples.
    #[must_use]
    pub fn median(&self) -> Option<Span> {
        self.quantile(500)
    }
}
