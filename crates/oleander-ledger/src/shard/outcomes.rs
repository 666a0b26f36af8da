//! Outcomes that are not committed yet, their copies, and the requests that wait for outcomes.

use std::mem;

use oleander_core::{CallId, DigestId, Time};

use super::{Append, Shard, ShardAction, ShardReply};
use crate::{
    call::{CallRecord, Outcome},
    log::Ticket,
    segment::Segment,
    table::CallState,
};

/// An outcome that is not committed yet.
#[derive(Debug)]
pub(super) struct BufferedOutcome {
    pub(super) digest: DigestId,
    pub(super) outcome: Outcome,
    pub(super) waiters: Vec<Waiter>,
    pub(super) copy: CopyState,
    pub(super) buffered_at: Time,
}

impl BufferedOutcome {
    /// Whether a caller may have received the outcome.
    pub(super) fn may_be_delivered(&self) -> bool {
        matches!(self.copy, CopyState::Stored | CopyState::Foreign)
    }

    pub(super) fn final_record(&self, call: &CallId) -> CallRecord {
        let (digest, outcome) = (self.digest.clone(), self.outcome.clone());
        CallRecord::Final { call: call.clone(), digest, outcome }
    }
}

/// Where an uncommitted outcome is stored.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum CopyState {
    /// At this host only.
    Missing,
    /// At this host; a copy was requested at this time.
    Requested(Time),
    /// At this host and at another one.
    Stored,
    /// At this host as a copy for another owner, and not appended here.
    Foreign,
}

/// A request that waits for the outcome of a call.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) ticket: Ticket,
    pub(super) call: CallId,
    /// Whether the request reported an outcome, and did not just ask for it.
    pub(super) reported: bool,
}

impl Waiter {
    pub(super) fn reply(&self, outcome: Outcome, durable: bool) -> ShardAction {
        let reply = match self.reported {
            true => ShardReply::Recorded { outcome, durable },
            false => ShardReply::Done(outcome),
        };
        ShardAction::Reply(self.ticket, reply)
    }
}

impl Shard {
    pub(super) fn record_outcome(
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
            self.read_outcome(Waiter { ticket, call, reported: true }, sequence, actions);
            return;
        }
        let waiter = Waiter { ticket, call: call.clone(), reported: true };
        let Some(waiter) = self.wait_for_buffered(waiter, actions) else { return };
        let buffered = BufferedOutcome {
            digest: digest.clone(),
            outcome: outcome.clone(),
            waiters: vec![waiter],
            copy: CopyState::Missing,
            buffered_at: now,
        };
        self.buffered.insert(call.clone(), buffered);
        let record = CallRecord::Final { call: call.clone(), digest, outcome };
        self.append(now, Append::Final(call), record, actions);
    }

    /// Replies with the outcome of a call that has ended, once it is available; false if the call
    /// has not ended.
    pub(super) fn reply_final(
        &mut self,
        ticket: Ticket,
        call: &CallId,
        actions: &mut Vec<ShardAction>,
    ) -> bool {
        if let Some(CallState::Final { sequence, .. }) = self.table.state(call) {
            let sequence = *sequence;
            let waiter = Waiter { ticket, call: call.clone(), reported: false };
            self.read_outcome(waiter, sequence, actions);
            return true;
        }
        let waiter = Waiter { ticket, call: call.clone(), reported: false };
        self.wait_for_buffered(waiter, actions).is_none()
    }

    /// Replies once the buffered outcome is committed or copied; returns the waiter if none is
    /// buffered.
    pub(super) fn wait_for_buffered(
        &mut self,
        waiter: Waiter,
        actions: &mut Vec<ShardAction>,
    ) -> Option<Waiter> {
        let Some(buffered) = self.buffered.get_mut(&waiter.call) else { return Some(waiter) };
        match buffered.copy {
            CopyState::Stored | CopyState::Foreign => {
                actions.push(waiter.reply(buffered.outcome.clone(), false));
            }
            CopyState::Missing | CopyState::Requested(_) => buffered.waiters.push(waiter),
        }
        None
    }

    /// Replies with a committed outcome, from the cache or from its segment.
    pub(super) fn read_outcome(
        &mut self,
        waiter: Waiter,
        sequence: u64,
        actions: &mut Vec<ShardAction>,
    ) {
        if let Some(outcome) = self.table.cached_outcome(&waiter.call) {
            actions.push(waiter.reply(outcome.clone(), true));
            return;
        }
        self.waiters.entry(sequence).or_default().push(waiter);
        actions.push(ShardAction::Fetch(sequence));
    }

    /// Replies to the requests that wait for a segment that was read back.
    pub(super) fn reply_to_waiters(
        &mut self,
        sequence: u64,
        segment: &Segment<CallRecord>,
        actions: &mut Vec<ShardAction>,
    ) {
        for waiter in self.waiters.remove(&sequence).unwrap_or_default() {
            let found = segment.records.iter().find_map(|record| match record {
                CallRecord::Final { call, outcome, .. } if *call == waiter.call => Some(outcome),
                _ => None,
            });
            if let Some(outcome) = found {
                self.table.cache_outcome(&waiter.call, outcome);
                actions.push(waiter.reply(outcome.clone(), true));
            }
        }
    }

    /// Replies to all requests that wait for the outcome of a call, if it is committed now.
    pub(super) fn complete_call(&mut self, call: &CallId, actions: &mut Vec<ShardAction>) {
        let Some(CallState::Final { .. }) = self.table.state(call) else { return };
        self.running.remove(call);
        let Some(buffered) = self.buffered.remove(call) else { return };
        let outcome = self.table.cached_outcome(call).cloned().unwrap_or(buffered.outcome);
        for waiter in buffered.waiters {
            actions.push(waiter.reply(outcome.clone(), true));
        }
    }

    /// Requests copies of the uncommitted outcomes while the platform is unavailable.
    pub(super) fn request_copies(&mut self, now: Time, actions: &mut Vec<ShardAction>) {
        if !self.is_degraded(now) {
            return;
        }
        let mut records = Vec::new();
        for (call, buffered) in &mut self.buffered {
            let due = match buffered.copy {
                CopyState::Missing => true,
                CopyState::Requested(at) => now.since(at) > self.config.platform_timeout,
                CopyState::Stored | CopyState::Foreign => false,
            };
            if due {
                buffered.copy = CopyState::Requested(now);
                records.push(buffered.final_record(call));
            }
        }
        if !records.is_empty() {
            actions.push(ShardAction::Copy(records));
        }
    }

    pub(super) fn handle_copied(&mut self, calls: &[CallId], actions: &mut Vec<ShardAction>) {
        for call in calls {
            let Some(buffered) = self.buffered.get_mut(call) else { continue };
            buffered.copy = CopyState::Stored;
            for waiter in mem::take(&mut buffered.waiters) {
                actions.push(waiter.reply(buffered.outcome.clone(), false));
            }
        }
    }

    pub(super) fn store_copies(&mut self, now: Time, records: Vec<CallRecord>) {
        for record in records {
            let CallRecord::Final { call, digest, outcome } = record else { continue };
            if matches!(self.table.state(&call), Some(CallState::Final { .. })) {
                continue;
            }
            self.buffered.entry(call).or_insert_with(|| BufferedOutcome {
                digest,
                outcome,
                waiters: Vec::new(),
                copy: CopyState::Foreign,
                buffered_at: now,
            });
        }
    }

    /// Appends the copies that their owner has not committed within the copy delay.
    pub(super) fn append_copies(&mut self, now: Time, actions: &mut Vec<ShardAction>) {
        let delay = self.config.copy_delay;
        let mut due = Vec::new();
        for (call, buffered) in &mut self.buffered {
            if buffered.copy == CopyState::Foreign && now.since(buffered.buffered_at) >= delay {
                buffered.copy = CopyState::Stored;
                due.push((call.clone(), buffered.final_record(call)));
            }
        }
        for (call, record) in due {
            self.append(now, Append::Final(call), record, actions);
        }
    }

    /// Outcomes that callers may have received and that are not committed.
    pub(super) fn uncommitted_delivered(&self) -> Vec<CallRecord> {
        let delivered = self.buffered.iter().filter(|(_, buffered)| buffered.may_be_delivered());
        delivered.map(|(call, buffered)| buffered.final_record(call)).collect()
    }
}
