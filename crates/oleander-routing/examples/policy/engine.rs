//! A simulated engine with continuous batching and without priorities.

use std::collections::VecDeque;

use oleander_core::Span;
use oleander_routing::Class;

/// Size and step times of an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineConfig {
    /// Maximum number of running sequences.
    pub(crate) slots: usize,
    /// Base time of a step.
    pub(crate) step_base: Span,
    /// Time that each running sequence adds to a step.
    pub(crate) step_per_sequence: Span,
    /// Prefill time of each prompt token.
    pub(crate) prefill_per_token: Span,
}

/// One online request or batch item at an engine.
#[derive(Debug, Clone)]
pub(crate) struct Sequence {
    pub(crate) run: u64,
    pub(crate) class: Class,
    /// Prompt tokens, which are prefilled before the first output.
    pub(crate) prompt: u32,
    /// Output tokens to produce.
    pub(crate) length: u32,
    pub(crate) produced: u32,
}

/// Output of one sequence in one step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StepOutput {
    pub(crate) run: u64,
    pub(crate) class: Class,
    pub(crate) first: bool,
    pub(crate) done: bool,
    pub(crate) produced: u32,
}

/// The state of an engine between its steps.
#[derive(Debug, Default)]
pub(crate) struct Engine {
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    cancelled: Vec<u64>,
    /// Index of the first running sequence that was admitted for the current step.
    first_admitted: usize,
    pub(crate) busy: bool,
    pub(crate) frozen: bool,
}

impl Engine {
    pub(crate) fn submit(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
    }

    /// Cancels a run before the next step; returns the number of tokens it had produced.
    pub(crate) fn cancel(&mut self, run: u64) -> Option<u32> {
        let known = self.running.iter().chain(&self.waiting).find(|s| s.run == run);
        let produced = known.map(|sequence| sequence.produced);
        self.cancelled.push(run);
        produced
    }

    /// Admits waiting sequences and returns the duration of the next step; `None` if there is
    /// nothing to do.
    pub(crate) fn start_step(&mut self, config: &EngineConfig) -> Option<Span> {
        let cancelled = std::mem::take(&mut self.cancelled);
        self.running.retain(|sequence| !cancelled.contains(&sequence.run));
        self.waiting.retain(|sequence| !cancelled.contains(&sequence.run));
        let free = config.slots.saturating_sub(self.running.len());
        let admitted = free.min(self.waiting.len());
        self.first_admitted = self.running.len();
        self.running.extend(self.waiting.drain(..admitted));
        let prefill = self.running[self.first_admitted..].iter();
        let prefill: u32 = prefill.map(|sequence| sequence.prompt + sequence.produced).sum();
        self.busy = !self.running.is_empty() && !self.frozen;
        self.busy.then(|| {
            config.step_base
                + config.step_per_sequence * self.running.len() as u64
                + config.prefill_per_token * u64::from(prefill)
        })
    }

    /// Ends a step, in which each running sequence produced one token.
    pub(crate) fn finish_step(&mut self) -> Vec<StepOutput> {
        self.busy = false;
        let first_admitted = self.first_admitted;
        let outputs = self.running.iter_mut().enumerate().map(|(index, sequence)| {
            sequence.produced += 1;
            StepOutput {
                run: sequence.run,
                class: sequence.class,
                first: index >= first_admitted,
                done: sequence.produced >= sequence.length,
                produced: sequence.produced,
            }
        });
        let outputs = outputs.collect();
        self.running.retain(|sequence| sequence.produced < sequence.length);
        outputs
    }

    /// Number of running and waiting sequences of a class, without cancelled ones.
    pub(crate) fn count(&self, class: Class) -> usize {
        let all = self.running.iter().chain(&self.waiting);
        all.filter(|s| s.class == class && !self.cancelled.contains(&s.run)).count()
    }

    /// Number of running and of waiting sequences.
    pub(crate) fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }
}
