//! The running batch and the queue before it, first come, first served.

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
    pub(super) tokens: u64,
    slots: usize,
    kv_total: u64,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
}

/// What the next step has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StepPlan {
    pub(super) running: u64,
    pub(super) prefill: u64,
}

impl StepPlan {
    /// Time that the step takes.
    pub(super) fn duration(self, options: &Options, faults: &Faults) -> Duration {
        let micros = options.step_base_us
            + options.step_per_seq_us * self.running
            + options.prefill_us_per_token * self.prefill;
        Duration::from_micros(micros).mul_f64(faults.step_factor())
    }
}

impl Batch {
    pub(super) fn new(options: &Options, now: Instant) -> Self {
        let mut batch = Self {
            cache: PrefixCache::new(options.cache_gap),
            load: LoadHistory::default(),
            tokens: 0,
            slots: options.slots,
            kv_total: options.kv_tokens,
            running: Vec::new(),
            waiting: VecDeque::new(),
        };
        batch.log_load(now);
        batch
    }

    pub(super) fn push(&mut self, sequence: Sequence, now: Instant) {
        self.waiting.push_back(sequence);
        self.log_load(now);
    }

    /// Ends all sequences of this request.
    pub(super) fn cancel(&mut self, request_id: &str, records: &Records, now: Instant) {
        self.end_where(records, RecordEvent::Cancelled, |sequence| {
            let found = sequence.request_id == request_id;
            if found {
                sequence.tell(SequenceEvent::Cancelled);
            }
            found
        });
        self.log_load(now);
    }

    /// Drops abandoned sequences, admits waiting ones, and plans the step; `None` if idle.
    pub(super) fn plan(&mut self, records: &Records, now: Instant) -> Option<StepPlan> {
        self.end_where(records, RecordEvent::Cancelled, Sequence::is_dropped);
        let mut prefill = 0;
        while let Some(sequence) = self.next_admitted() {
            records.add(&sequence.request_id, RecordEvent::Started, &sequence.digest);
            let cached = self.cache.cached_tokens(&sequence.hashes);
            prefill += sequence.kv_tokens().saturating_sub(cached);
            self.cache.store(&sequence.hashes, now);
            self.running.push(sequence);
        }
        self.cache.shrink(self.kv_total.saturating_sub(self.kv_used()), now);
        self.log_load(now);
        let running = self.running.len() as u64;
        (running > 0).then_some(StepPlan { running, prefill })
    }

    /// Every running sequence emits its next token or ends.
    pub(super) fn step(&mut self, break_after: u32, records: &Records) {
        for sequence in &mut self.running {
            if sequence.next < sequence.length {
                sequence.tell(SequenceEvent::Token(sequence.next));
                sequence.next += 1;
                self.tokens += 1;
            }
        }
        self.end_where(records, RecordEvent::Broken, |sequence| {
            let broken = break_after > 0 && sequence.next - sequence.first >= break_after;
            if broken {
                sequence.tell(SequenceEvent::Broken);
            }
            broken
        });
        self.end_where(records, RecordEvent::Finished, |sequence| {
            let finished = sequence.next >= sequence.length;
            if finished {
                sequence.tell(SequenceEvent::Finished);
            }
            finished
        });
    }

    fn next_admitted(&mut self) -> Option<Sequence> {
        let next = self.waiting.front()?;
        let bound: u64 = self.running.iter().map(Sequence::kv_bound).sum();
        if self.running.len() >= self.slots || bound + next.kv_bound() > self.kv_total {
            return None;
        }
        self.waiting.pop_front()
    }

    fn end_where(
        &mut self,
        records: &Records,
        event: RecordEvent,
        mut ends: impl FnMut(&Sequence) -> bool,
    ) {
        let mut keep = |sequence: &Sequence| {
            let ended = ends(sequence);
            if ended {
                records.add(&sequence.request_id, event, &sequence.digest);
            }
            !ended
        };
        self.running.retain(&mut keep);
        if event == RecordEvent::Cancelled {
            self.waiting.retain(&mut keep);
        }
    }

    fn kv_used(&self) -> u64 {
        self.running.iter().map(Sequence::kv_tokens).sum()
    }

    fn log_load(&mut self, now: Instant) {
        let load = Load {
            running: self.running.len() as u64,
            waiting: self.waiting.len() as u64,
            kv_used: self.kv_used(),
            kv_total: self.kv_total,
            measured_at_us: record::unix_micros(),
        };
        self.load.add(load, now);
    }
}
