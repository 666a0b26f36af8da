//! The running batch and its FIFO queue.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

use crate::{
    engine::{
        Faults, Load, Options,
        cache::PrefixCache,
        load::LoadHistory,
        sequence::{Sequence, SequenceEvent},
    },
    record::{self, RecordEvent, Records},
};

#[derive(Debug)]
pub(super) struct Batch {
    pub(super) cache: PrefixCache,
    pub(super) load: LoadHistory,
    pub(super) generated_tokens: u64,
    slots: usize,
    kv_total: u64,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
}

/// Work of the next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StepPlan {
    pub(super) running: u64,
    pub(super) prefill_tokens: u64,
}

impl StepPlan {
    /// Duration of the step.
    pub(super) fn duration(self, options: &Options, faults: &Faults) -> Duration {
        let micros = options.step_base_us
            + options.step_per_seq_us * self.running
            + options.prefill_us_per_token * self.prefill_tokens;
        Duration::from_micros(micros).mul_f64(faults.duration_factor())
    }
}

impl Batch {
    pub(super) fn new(options: &Options, now: Instant) -> Self {
        let mut batch = Self {
            cache: PrefixCache::new(options.cache_gap),
            load: LoadHistory::default(),
            generated_tokens: 0,
            slots: options.slots,
            kv_total: options.kv_tokens,
            running: Vec::new(),
            waiting: VecDeque::new(),
        };
        batch.record_load(now);
        batch
    }

    pub(super) fn enqueue(&mut self, sequence: Sequence, now: Instant) {
        self.waiting.push_back(sequence);
        self.record_load(now);
    }

    /// Cancels all sequences of this request.
    pub(super) fn cancel(&mut self, request_id: &str, records: &Records, now: Instant) {
        self.remove_where(records, RecordEvent::Cancelled, |sequence| {
            let matches = sequence.request_id == request_id;
            if matches {
                sequence.send(SequenceEvent::Cancelled);
            }
            matches
        });
        self.record_load(now);
    }

    /// Removes abandoned sequences, admits waiting ones, and plans the step; `None` if idle.
    pub(super) fn plan_step(&mut self, records: &Records, now: Instant) -> Option<StepPlan> {
        self.remove_where(records, RecordEvent::Cancelled, Sequence::is_abandoned);
        let mut prefill_tokens = 0;
        while let Some(sequence) = self.pop_admissible() {
            records.add(&sequence.request_id, RecordEvent::Started, &sequence.digest);
            let cached = self.cache.cached_tokens(&sequence.hashes);
            prefill_tokens += sequence.kv_tokens().saturating_sub(cached);
            self.cache.insert(&sequence.hashes, now);
            self.running.push(sequence);
        }
        self.cache.evict_to(self.kv_total.saturating_sub(self.kv_used()), now);
        self.record_load(now);
        let running = self.running.len() as u64;
        (running > 0).then_some(StepPlan { running, prefill_tokens })
    }

    /// Each running sequence emits its next token; finished and broken ones are removed.
    pub(super) fn finish_step(&mut self, break_after: u32, records: &Records) {
        for sequence in &mut self.running {
            if sequence.next_token < sequence.length {
                sequence.send(SequenceEvent::Token(sequence.next_token));
                sequence.next_token += 1;
                self.generated_tokens += 1;
            }
        }
        self.remove_where(records, RecordEvent::Broken, |sequence| {
            let broken =
                break_after > 0 && sequence.next_token - sequence.first_token >= break_after;
            if broken {
                sequence.send(SequenceEvent::Broken);
            }
            broken
        });
        self.remove_where(records, RecordEvent::Finished, |sequence| {
            let finished = sequence.next_token >= sequence.length;
            if finished {
                sequence.send(SequenceEvent::Finished);
            }
            finished
        });
    }

    fn pop_admissible(&mut self) -> Option<Sequence> {
        let next = self.waiting.front()?;
        let reserved: u64 = self.running.iter().map(Sequence::max_kv_tokens).sum();
        if self.running.len() >= self.slots || reserved + next.max_kv_tokens() > self.kv_total {
            return None;
        }
        self.waiting.pop_front()
    }

    fn remove_where(
        &mut self,
        records: &Records,
        event: RecordEvent,
        mut should_remove: impl FnMut(&Sequence) -> bool,
    ) {
        let mut keep = |sequence: &Sequence| {
            let remove = should_remove(sequence);
            if remove {
                records.add(&sequence.request_id, event, &sequence.digest);
            }
            !remove
        };
        self.running.retain(&mut keep);
        if event == RecordEvent::Cancelled {
            self.waiting.retain(&mut keep);
        }
    }

    fn kv_used(&self) -> u64 {
        self.running.iter().map(Sequence::kv_tokens).sum()
    }

    fn record_load(&mut self, now: Instant) {
        let load = Load {
            running: self.running.len() as u64,
            waiting: self.waiting.len() as u64,
            kv_used: self.kv_used(),
            kv_total: self.kv_total,
            measured_at_us: record::unix_micros(),
        };
        self.load.record(load, now);
    }
}
