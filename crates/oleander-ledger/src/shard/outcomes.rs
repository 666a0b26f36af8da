//! Outcomes: those that are not committed yet, their copies, and who waits for them.

use std::mem;

use oleander_core::{CallId, DigestId, Time};

use super::{Purpose, Shard, ShardAction, ShardReply};
use crate::{
    call::{CallRecord, Outcome},
    log::Ticket,
    segment::Segment,
    table::CallState,
};

#[derive(Debug)]
pub(super) struct Buffered {
    pub(super) digest: DigestId,
    pub(super) outcome: Outcome,
    pub(super) waiters: Vec<Reader>,
    pub(super) copied: Copied,
    pub(super) since: Time,
}

impl Buffered {
    /// Whether a caller may have been told the outcome.
    pub(super) fn is_answered(&self) -> bool {
        matches!(self.copied, Copied::Yes | Copied::Foreign)
    }

    pub(super) fn record(&self, call: &CallId) -> CallRecord {
        let (digest, outcome) = (self.digest.clone(), self.outcome.clone());
        CallRecord::Final { call: call.clone(), digest, outcome }
    }
}

#[derive(Debug, PartialEq, Eq)]
pub(super) enum Copied {
    No,
    Asked(Time),
    Yes,
    /// This host holds the copy for another owner and has not appended it.
    Foreign,
}

/// Someone who waits for an outcome that must be read back.
#[derive(Debug)]
pub(super) struct Reader {
    pub(super) ticket: Ticket,
    pub(super) call: CallId,
    /// Whether it reported an outcome itself.
    pub(super) records: bool,
}

impl Reader {
    pub(super) fn reply(&self, outcome: Outcome, durable: bool) -> ShardAction {
        let reply = match self.records {
            true => ShardReply::Recorded { outcome, durable },
            false => ShardReply::Done(outcome),
        };
        ShardAction::Reply(self.ticket, reply)
    }
}

impl Shard {
    pub(super) fn record(
        &mut self,
        now: Time,
        ticket: Ticket,
        call: CallId,
        digest: DigestId,
        outcome: Outcome,
        actions: &mut Vec<ShardAction>,
    ) {
        if let Some(CallState::Final { sequence, .. }) = self.table.state(&call) {
            let sequence = *sequence;
            self.read_outcome(Reader { ticket, call, records: true }, sequence, actions);
            return;
        }
        let reader = Reader { ticket, call: call.clone(), records: true };
        let Some(reader) = self.wait_buffered(reader, actions) else { return };
        let buffered = Buffered {
            digest: digest.clone(),
            outcome: outcome.clone(),
            waiters: vec![reader],
            copied: Copied::No,
            since: now,
        };
        self.buffered.insert(call.clone(), buffered);
        let record = CallRecord::Final { call: call.clone(), digest, outcome };
        self.append(now, Purpose::Final(call), record, actions);
    }

    /// Answers a ticket whose call is at its end.
    pub(super) fn answer_known(
        &mut self,
        ticket: Ticket,
        call: &CallId,
        actions: &mut Vec<ShardAction>,
    ) -> bool {
        if let Some(CallState::Final { sequence, .. }) = self.table.state(call) {
            let sequence = *sequence;
            let reader = Reader { ticket, call: call.clone(), records: false };
            self.read_outcome(reader, sequence, actions);
            return true;
        }
        let reader = Reader { ticket, call: call.clone(), records: false };
        self.wait_buffered(reader, actions).is_none()
    }

    /// Answers once a buffered outcome is committed or copied; returns the reader if there is none.
    pub(super) fn wait_buffered(
        &mut self,
        reader: Reader,
        actions: &mut Vec<ShardAction>,
    ) -> Option<Reader> {
        let Some(buffered) = self.buffered.get_mut(&reader.call) else { return Some(reader) };
        match buffered.copied {
            Copied::Yes | Copied::Foreign => {
                actions.push(reader.reply(buffered.outcome.clone(), false));
            }
            Copied::No | Copied::Asked(_) => buffered.waiters.push(reader),
        }
        None
    }

    /// Answers with a committed outcome, from memory or from its segment.
    pub(super) fn read_outcome(
        &mut self,
        reader: Reader,
        sequence: u64,
        actions: &mut Vec<ShardAction>,
    ) {
        if let Some(outcome) = self.table.cached_outcome(&reader.call) {
            actions.push(reader.reply(outcome.clone(), true));
            return;
        }
        self.readers.entry(sequence).or_default().push(reader);
        actions.push(ShardAction::Fetch(sequence));
    }

    pub(super) fn answer_readers(
        &mut self,
        sequence: u64,
        segment: &Segment<CallRecord>,
        actions: &mut Vec<ShardAction>,
    ) {
        for reader in self.readers.remove(&sequence).unwrap_or_default() {
            let found = segment.records.iter().find_map(|record| match record {
                CallRecord::Final { call, outcome, .. } if *call == reader.call => Some(outcome),
                _ => None,
            });
            if let Some(outcome) = found {
                self.table.cache_outcome(&reader.call, outcome);
                actions.push(reader.reply(outcome.clone(), true));
            }
        }
    }

    /// Answers everybody who waits for the outcome of a call that is now committed.
    pub(super) fn settle_final(&mut self, call: &CallId, actions: &mut Vec<ShardAction>) {
        let Some(CallState::Final { .. }) = self.table.state(call) else { return };
        self.running.remove(call);
        let Some(buffered) = self.buffered.remove(call) else { return };
        let outcome = self.table.cached_outcome(call).cloned().unwrap_or(buffered.outcome);
        for reader in buffered.waiters {
            actions.push(reader.reply(outcome.clone(), true));
        }
    }

    /// Asks for copies of outcomes that the platform does not take.
    pub(super) fn copy_out(&mut self, now: Time, actions: &mut Vec<ShardAction>) {
        if !self.is_degraded(now) {
            return;
        }
        let mut records = Vec::new();
        for (call, buffered) in &mut self.buffered {
            let due = match buffered.copied {
                Copied::No => true,
                Copied::Asked(at) => now.since(at) > self.config.platform_timeout,
                Copied::Yes | Copied::Foreign => false,
            };
            if due {
                buffered.copied = Copied::Asked(now);
                records.push(buffered.record(call));
            }
        }
        if !records.is_empty() {
            actions.push(ShardAction::Copy(records));
        }
    }

    pub(super) fn copied(&mut self, calls: &[CallId], actions: &mut Vec<ShardAction>) {
        for call in calls {
            let Some(buffered) = self.buffered.get_mut(call) else { continue };
            buffered.copied = Copied::Yes;
            for reader in mem::take(&mut buffered.waiters) {
                actions.push(reader.reply(buffered.outcome.clone(), false));
            }
        }
    }

    pub(super) fn keep_copies(&mut self, now: Time, records: Vec<CallRecord>) {
        for record in records {
            let CallRecord::Final { call, digest, outcome } = record else { continue };
            if matches!(self.table.state(&call), Some(CallState::Final { .. })) {
                continue;
            }
            self.buffered.entry(call).or_insert_with(|| Buffered {
                digest,
                outcome,
                waiters: Vec::new(),
                copied: Copied::Foreign,
                since: now,
            });
        }
    }

    /// Commits copies that their owner has had time to commit.
    pub(super) fn append_copies(&mut self, now: Time, actions: &mut Vec<ShardAction>) {
        let delay = self.config.copy_delay;
        let mut due = Vec::new();
        for (call, buffered) in &mut self.buffered {
            if buffered.copied == Copied::Foreign && now.since(buffered.since) >= delay {
                buffered.copied = Copied::Yes;
                due.push((call.clone(), buffered.record(call)));
            }
        }
        for (call, record) in due {
            self.append(now, Purpose::Final(call), record, actions);
        }
    }

    /// Outcomes that were answered on the strength of a copy and are not committed.
    pub(super) fn uncommitted(&self) -> Vec<CallRecord> {
        let answered = self.buffered.iter().filter(|(_, buffered)| buffered.is_answered());
        answered.map(|(call, buffered)| buffered.record(call)).collect()
    }
}
