//! A model engine that batches continuously and knows no priorities.

use std::collections::VecDeque;

use oleander_core::Span;
use oleander_routing::Class;

/// Costs and size of an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EngineConfig {
    /// Sequences that run at once.
    pub(crate) slots: usize,
    /// Base time of a step.
    pub(crate) step_base: Span,
    /// Time that each running sequence adds to a step.
    pub(crate) step_each: Span,
    /// Prefill time of each prompt token.
    pub(crate) prefill_each: Span,
}

/// One request or item at an engine.
#[derive(Debug, Clone)]
pub(crate) struct Sequence {
    pub(crate) run: u64,
    pub(crate) class: Class,
    /// Tokens to read before the first output.
    pub(crate) prompt: u32,
    /// Tokens to produce.
    pub(crate) length: u32,
    pub(crate) produced: u32,
}

/// What a step produced of one sequence.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Emitted {
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
    fresh: usize,
    pub(crate) busy: bool,
    pub(crate) frozen: bool,
}

impl Engine {
    pub(crate) fn submit(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
    }

    /// Cancels a run; it leaves before the next step. Returns what it had produced.
    pub(crate) fn cancel(&mut self, run: u64) -> Option<u32> {
        let known = self.running.iter().chain(&self.waiting).find(|s| s.run == run);
        let produced = known.map(|sequence| sequence.produced);
        self.cancelled.push(run);
        produced
    }

    /// Admits what waits and returns the time of the next step; `None` if there is nothing to do.
    pub(crate) fn start(&mut self, config: &EngineConfig) -> Option<Span> {
        let cancelled = std::mem::take(&mut self.cancelled);
        self.running.retain(|sequence| !cancelled.contains(&sequence.run));
        self.waiting.retain(|sequence| !cancelled.contains(&sequence.run));
        let room = config.slots.saturating_sub(self.running.len());
        let admitted = room.min(self.waiting.len());
        self.fresh = self.running.len();
        self.running.extend(self.waiting.drain(..admitted));
        let prefill = self.running[self.fresh..].iter();
        let prefill: u32 = prefill.map(|sequence| sequence.prompt + sequence.produced).sum();
        self.busy = !self.running.is_empty() && !self.frozen;
        self.busy.then(|| {
            config.step_base
                + config.step_each * self.running.len() as u64
                + config.prefill_each * u64::from(prefill)
        })
    }

    /// Ends a step: each running sequence produced a token.
    pub(crate) fn finish(&mut self) -> Vec<Emitted> {
        self.busy = false;
        let fresh = self.fresh;
        let emitted = self.running.iter_mut().enumerate().map(|(index, sequence)| {
            sequence.produced += 1;
            Emitted {
                run: sequence.run,
                class: sequence.class,
                first: index >= fresh,
                done: sequence.produced >= sequence.length,
                produced: sequence.produced,
            }
        });
        let emitted = emitted.collect();
        self.running.retain(|sequence| sequence.produced < sequence.length);
        emitted
    }

    /// Running and waiting sequences of a class, cancelled ones aside.
    pub(crate) fn count(&self, class: Class) -> usize {
        let all = self.running.iter().chain(&self.waiting);
        all.filter(|s| s.class == class && !self.cancelled.contains(&s.run)).count()
    }

    pub(crate) fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }
}
