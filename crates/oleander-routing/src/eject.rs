//! Temporary removal of targets that fail or are far slower than the others.
//!
//! A target is ejected when it can't be reached, after consecutive faults, or when the median of its times to the first
//! token is a multiple of the median over all targets. The time away doubles with each ejection
//! in a row, for faults to 4 s at most; afterwards single requests probe the target until one
//! succeeds. At most a third of
//! the targets is away or probing at a time, so that a fault that hits all of them ejects few.

use std::collections::BTreeMap;

use oleander_core::{Span, TargetId, Time};

use crate::latency::LatencyWindow;

/// Samples kept of each target.
const WINDOW: usize = 32;
/// Fewest samples before a target counts as slow.
const LEAST_SAMPLES: usize = 16;
/// Part of the targets that may be ejected, as a divisor.
const LARGEST_PART: usize = 3;
/// Most doublings of the time away of a slow target: a probe is a caller's slow request.
const SLOW_DOUBLINGS: u32 = 6;
/// Most doublings of the time away after faults: a probe costs one retry, and a target that
/// answers again must have work within 8 s.
const FAULT_DOUBLINGS: u32 = 1;

/// Settings of an [`Ejector`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EjectionConfig {
    fault_threshold: u32,
    slow_factor: u32,
    base_duration: Span,
}

impl EjectionConfig {
    /// Consecutive faults that eject a target.
    pub const FAULT_THRESHOLD: u32 = 3;
    /// Multiple of the median time to the first token that ejects a target.
    pub const SLOW_FACTOR: u32 = 4;
    /// Time away after a first ejection.
    pub const BASE_DURATION: Span = Span::from_secs(2);

    /// Default settings.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            fault_threshold: Self::FAULT_THRESHOLD,
            slow_factor: Self::SLOW_FACTOR,
            base_duration: Self::BASE_DURATION,
        }
    }

    /// Sets the consecutive faults that eject a target.
    #[must_use]
    pub const fn fault_threshold(mut self, faults: u32) -> Self {
        self.fault_threshold = faults;
        self
    }

    /// Sets the multiple of the median time to the first token that ejects a target.
    #[must_use]
    pub const fn slow_factor(mut self, factor: u32) -> Self {
        self.slow_factor = factor;
        self
    }

    /// Sets the time away after a first ejection.
    #[must_use]
    pub const fn base_duration(mut self, base_duration: Span) -> Self {
        self.base_duration = base_duration;
        self
    }
}

impl Default for EjectionConfig {
    fn default() -> Self {
        Self::new()
    }
}

/// Whether a target may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionState {
    /// In use.
    Active,
    /// Away until the given time.
    Ejected(Time),
    /// One request at a time.
    Probing,
}

#[derive(Debug, Clone)]
struct Record {
    faults: u32,
    ejections: u32,
    state: EjectionState,
    first_tokens: LatencyWindow,
    median: Option<Span>,
}

impl Record {
    fn new() -> Self {
        Self {
            faults: 0,
            ejections: 0,
            state: EjectionState::Active,
            first_tokens: LatencyWindow::new(WINDOW),
            median: None,
        }
    }
}

/// Decides which targets are ejected.
#[derive(Debug, Clone)]
pub struct Ejector {
    config: EjectionConfig,
    records: BTreeMap<TargetId, Record>,
}

impl Ejector {
    /// An ejector without targets.
    #[must_use]
    pub const fn new(config: EjectionConfig) -> Self {
        Self { config, records: BTreeMap::new() }
    }

    /// Adds a target; a known one keeps its record.
    pub fn add(&mut self, target: &TargetId) {
        if !self.records.contains_key(target) {
            self.records.insert(target.clone(), Record::new());
        }
    }

    /// Removes a target.
    pub fn remove(&mut self, target: &TargetId) {
        self.records.remove(target);
    }

    /// Whether `target` may be used.
    #[must_use]
    pub fn state(&self, now: Time, target: &TargetId) -> EjectionState {
        match self.records.get(target).map(|record| record.state) {
            Some(EjectionState::Ejected(until)) if until <= now => EjectionState::Probing,
            Some(state) => state,
            None => EjectionState::Active,
        }
    }

    /// The earliest end of a time away after `now`.
    #[must_use]
    pub fn next_expiry(&self, now: Time) -> Option<Time> {
        let ends = self.records.values().filter_map(|record| match record.state {
            EjectionState::Ejected(until) if until > now => Some(until),
            _ => None,
        });
        ends.min()
    }

    /// Number of targets that are away or probing.
    #[must_use]
    pub fn ejected_count(&self) -> usize {
        self.records.values().filter(|record| record.state != EjectionState::Active).count()
    }

    /// Takes a whole answer of `target` into account.
    pub fn record_success(&mut self, now: Time, target: &TargetId) {
        let probing = self.state(now, target) == EjectionState::Probing;
        let Some(record) = self.records.get_mut(target) else { return };
        record.faults = 0;
        if probing {
            record.state = EjectionState::Active;
            record.first_tokens.clear();
            record.median = None;
        } else if record.state == EjectionState::Active
            && record.first_tokens.len() >= LEAST_SAMPLES
        {
            record.ejections = 0;
        }
    }

    /// Takes a fault of `target` into account.
    pub fn record_fault(&mut self, now: Time, target: &TargetId) {
        let probing = self.state(now, target) == EjectionState::Probing;
        let Some(record) = self.records.get_mut(target) else { return };
        record.faults += 1;
        let due =
            record.state == EjectionState::Active && record.faults >= self.config.fault_threshold;
        if probing || due {
            self.eject(now, target, FAULT_DOUBLINGS);
        }
    }

    /// Takes into account that `target` could not be reached at all.
    pub fn record_unreachable(&mut self, now: Time, target: &TargetId) {
        self.eject(now, target, FAULT_DOUBLINGS);
    }

    /// Takes a time to the first token into account.
    pub fn record_first_token(&mut self, now: Time, target: &TargetId, took: Span) {
        let Some(record) = self.records.get_mut(target) else { return };
        record.first_tokens.record(took);
        let enough = record.first_tokens.len() >= LEAST_SAMPLES;
        record.median = if enough { record.first_tokens.median() } else { None };
        let Some(own) = record.median else { return };
        if record.state != EjectionState::Active {
            return;
        }
        let Some(typical) = self.typical(target) else { return };
        if own > typical * u64::from(self.config.slow_factor) {
            self.eject(now, target, SLOW_DOUBLINGS);
        }
    }

    /// Median over the medians of the other targets.
    fn typical(&self, except: &TargetId) -> Option<Span> {
        let others = self.records.iter().filter(|(name, _)| *name != except);
        let mut medians: Vec<Span> = others.filter_map(|(_, record)| record.median).collect();
        medians.sort_unstable();
        medians.get(medians.len() / 2).copied()
    }

    fn eject(&mut self, now: Time, target: &TargetId, most_doublings: u32) {
        let most = self.records.len() / LARGEST_PART;
        let ejected = self.ejected_count();
        let base_duration = self.config.base_duration;
        let Some(record) = self.records.get_mut(target) else { return };
        if record.state == EjectionState::Active && ejected >= most {
            return;
        }
        let doublings = record.ejections.min(most_doublings);
        record.state = EjectionState::Ejected(now + base_duration * (1 << doublings));
        record.ejections += 1;
        record.faults = 0;
        record.first_tokens.clear();
        record.median = None;
    }
}
