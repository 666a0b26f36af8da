//! Temporary ejection of targets that fail or are far slower than the others.
//!
//! A target is ejected when it can't be reached, after consecutive faults, or when its median time
//! to first token exceeds a multiple of the median over the other targets. The duration doubles
//! with each consecutive ejection, for faults up to 4 s. Afterwards the target is probed with one
//! request at a time until one succeeds. At most a third of the targets is ejected or probing at a
//! time, so that a fault common to all targets ejects only a few.

use std::collections::BTreeMap;

use oleander_core::{Span, TargetId, Time};

use crate::latency::LatencyWindow;

/// Samples kept per target.
const WINDOW_SAMPLES: usize = 32;
/// Minimum number of samples before a target can count as slow.
const MIN_SAMPLES: usize = 16;
/// Maximum share of the targets that may be ejected, as a divisor.
const MAX_EJECTED_DIVISOR: usize = 3;
/// Maximum number of doublings for a slow target: each probe is a slow request of a caller.
const MAX_SLOW_DOUBLINGS: u32 = 6;
/// Maximum number of doublings after faults: a probe costs one retry, and a target that answers
/// again must have work within 8 s.
const MAX_FAULT_DOUBLINGS: u32 = 1;

/// Settings of an [`Ejector`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EjectionConfig {
    fault_threshold: u32,
    slow_factor: u32,
    base_duration: Span,
}

impl EjectionConfig {
    /// Default number of consecutive faults that ejects a target.
    pub const FAULT_THRESHOLD: u32 = 3;
    /// Default multiple of the median time to first token above which a target is ejected.
    pub const SLOW_FACTOR: u32 = 4;
    /// Default duration of the first ejection.
    pub const BASE_DURATION: Span = Span::from_secs(2);

    /// Creates default settings.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            fault_threshold: Self::FAULT_THRESHOLD,
            slow_factor: Self::SLOW_FACTOR,
            base_duration: Self::BASE_DURATION,
        }
    }

    /// Sets the number of consecutive faults that ejects a target.
    #[must_use]
    pub const fn fault_threshold(mut self, faults: u32) -> Self {
        self.fault_threshold = faults;
        self
    }

    /// Sets the multiple of the median time to first token above which a target is ejected.
    #[must_use]
    pub const fn slow_factor(mut self, factor: u32) -> Self {
        self.slow_factor = factor;
        self
    }

    /// Sets the duration of the first ejection.
    #[must_use]
    pub const fn base_duration(mut self, duration: Span) -> Self {
        self.base_duration = duration;
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
    /// Takes requests.
    Active,
    /// Takes no requests until the given time.
    Ejected(Time),
    /// Takes one request at a time.
    Probing,
}

#[derive(Debug, Clone)]
struct Health {
    faults: u32,
    ejections: u32,
    state: EjectionState,
    first_tokens: LatencyWindow,
    median: Option<Span>,
}

impl Health {
    fn new() -> Self {
        Self {
            faults: 0,
            ejections: 0,
            state: EjectionState::Active,
            first_tokens: LatencyWindow::new(WINDOW_SAMPLES),
            median: None,
        }
    }
}

/// Decides which targets are ejected.
#[derive(Debug, Clone)]
pub struct Ejector {
    config: EjectionConfig,
    targets: BTreeMap<TargetId, Health>,
}

impl Ejector {
    /// Creates an ejector without targets.
    #[must_use]
    pub const fn new(config: EjectionConfig) -> Self {
        Self { config, targets: BTreeMap::new() }
    }

    /// Adds a target; a known one keeps its state.
    pub fn add(&mut self, target: &TargetId) {
        if !self.targets.contains_key(target) {
            self.targets.insert(target.clone(), Health::new());
        }
    }

    /// Removes a target.
    pub fn remove(&mut self, target: &TargetId) {
        self.targets.remove(target);
    }

    /// Whether `target` may be used; an unknown one may.
    #[must_use]
    pub fn state(&self, now: Time, target: &TargetId) -> EjectionState {
        match self.targets.get(target).map(|health| health.state) {
            Some(EjectionState::Ejected(until)) if until <= now => EjectionState::Probing,
            Some(state) => state,
            None => EjectionState::Active,
        }
    }

    /// The earliest end of an ejection after `now`.
    #[must_use]
    pub fn next_expiry(&self, now: Time) -> Option<Time> {
        let ends = self.targets.values().filter_map(|health| match health.state {
            EjectionState::Ejected(until) if until > now => Some(until),
            _ => None,
        });
        ends.min()
    }

    /// Number of targets that are ejected or probing.
    #[must_use]
    pub fn ejected_count(&self) -> usize {
        self.targets.values().filter(|health| health.state != EjectionState::Active).count()
    }

    /// Records a complete response of `target`; a successful probe ends the ejection.
    pub fn record_success(&mut self, now: Time, target: &TargetId) {
        let probing = self.state(now, target) == EjectionState::Probing;
        let Some(health) = self.targets.get_mut(target) else { return };
        health.faults = 0;
        if probing {
            health.state = EjectionState::Active;
            health.first_tokens.clear();
            health.median = None;
        } else if health.state == EjectionState::Active && health.first_tokens.len() >= MIN_SAMPLES
        {
            health.ejections = 0;
        }
    }

    /// Records a fault of `target`; ejects it at the threshold or when it was a probe.
    pub fn record_fault(&mut self, now: Time, target: &TargetId) {
        let probing = self.state(now, target) == EjectionState::Probing;
        let Some(health) = self.targets.get_mut(target) else { return };
        health.faults += 1;
        let due =
            health.state == EjectionState::Active && health.faults >= self.config.fault_threshold;
        if probing || due {
            self.eject(now, target, MAX_FAULT_DOUBLINGS);
        }
    }

    /// Ejects `target` because it could not be reached.
    pub fn record_unreachable(&mut self, now: Time, target: &TargetId) {
        self.eject(now, target, MAX_FAULT_DOUBLINGS);
    }

    /// Records a time to first token of `target`; ejects it if it is far slower than the others.
    pub fn record_first_token(&mut self, now: Time, target: &TargetId, took: Span) {
        let Some(health) = self.targets.get_mut(target) else { return };
        health.first_tokens.record(took);
        let has_samples = health.first_tokens.len() >= MIN_SAMPLES;
        health.median = if has_samples { health.first_tokens.median() } else { None };
        let Some(own) = health.median else { return };
        if health.state != EjectionState::Active {
            return;
        }
        let Some(others) = self.others_median(target) else { return };
        if own > others * u64::from(self.config.slow_factor) {
            self.eject(now, target, MAX_SLOW_DOUBLINGS);
        }
    }

    /// Median of the medians of the other targets.
    fn others_median(&self, except: &TargetId) -> Option<Span> {
        let others = self.targets.iter().filter(|(name, _)| *name != except);
        let mut medians: Vec<Span> = others.filter_map(|(_, health)| health.median).collect();
        medians.sort_unstable();
        medians.get(medians.len() / 2).copied()
    }

    /// Ejects `target` unless too many targets are ejected already.
    fn eject(&mut self, now: Time, target: &TargetId, max_doublings: u32) {
        let max_ejected = self.targets.len() / MAX_EJECTED_DIVISOR;
        let ejected = self.ejected_count();
        let base = self.config.base_duration;
        let Some(health) = self.targets.get_mut(target) else { return };
        if health.state == EjectionState::Active && ejected >= max_ejected {
            return;
        }
        let doublings = health.ejections.min(max_doublings);
        health.state = EjectionState::Ejected(now + base * (1 << doublings));
        health.ejections += 1;
        health.faults = 0;
        health.first_tokens.clear();
        health.median = None;
    }
}
