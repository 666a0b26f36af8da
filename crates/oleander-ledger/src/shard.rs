//! The owner of one shard of online calls.
//!
//! The shard grants each call to one runner, joins resends to it, and answers with the recorded
//! outcome. A grant of a call that may not be repeated follows the commit of its intent. Two
//! owners at once are harmless: the first final record in the log counts, and the other owner
//! reads it when its own create fails.
//!
//! While the platform does not answer, calls that may be repeated go on: their outcomes are kept
//! here and copied to a second host, and are committed later.

mod api;
mod claims;
mod outcomes;
mod view;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    mem,
};

use oleander_core::{AttemptId, CallId, DigestId, HostId, Time};

use crate::{
    call::{CallRecord, Claim},
    log::{Log, LogAction, LogEvent, Ticket},
    segment::Segment,
    table::CallTable,
};

pub use api::{ShardAction, ShardConfig, ShardEvent, ShardReply};

use outcomes::{Buffered, Reader};
use view::Owned;

#[derive(Debug)]
struct Run {
    digest: DigestId,
    runner: HostId,
    attempt: AttemptId,
    repeatable: bool,
}

#[derive(Debug)]
enum Purpose {
    Grant(Ticket, Claim),
    Abandoned(CallId, AttemptId),
    Reclaim(Ticket, Claim),
    Final(CallId),
    Withdraw(Option<Ticket>),
}

/// The shard state machine.
#[derive(Debug)]
pub struct Shard {
    config: ShardConfig,
    log: Log<CallRecord>,
    table: CallTable,
    running: HashMap<CallId, Run>,
    buffered: HashMap<CallId, Buffered>,
    purposes: BTreeMap<Ticket, Purpose>,
    appended: u64,
    held: Vec<ShardEvent>,
    readers: BTreeMap<u64, Vec<Reader>>,
    owned: Option<Owned>,
    /// Runs that were refused before they were told, so that no target has seen them.
    abandoned: HashSet<AttemptId>,
}

impl Shard {
    /// A shard that first replays its log.
    ///
    /// `incarnation` must differ between restarts of `host`.
    #[must_use]
    pub fn new(host: HostId, incarnation: u64, config: ShardConfig) -> Self {
        Self {
            config,
            log: Log::new(host, incarnation, config.commit_interval),
            table: CallTable::new(config.cache_bytes),
            running: HashMap::new(),
            buffered: HashMap::new(),
            purposes: BTreeMap::new(),
            appended: 0,
            held: Vec::new(),
            readers: BTreeMap::new(),
            owned: None,
            abandoned: HashSet::new(),
        }
    }

    /// Number of calls whose outcome is not committed yet.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.buffered.len()
    }

    /// Number of calls that are known to run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of calls that the log names.
    #[must_use]
    pub fn recorded(&self) -> usize {
        self.table.len()
    }

    /// When to send the next tick at the latest.
    #[must_use]
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let timeout = now + self.config.platform_timeout;
        let held = (!self.held.is_empty()).then_some(timeout);
        let buffered = (!self.buffered.is_empty()).then_some(timeout);
        [self.log.next_wake(), held, buffered].into_iter().flatten().min()
    }

    /// Takes one event and returns what to do, in order.
    pub fn handle(&mut self, now: Time, event: ShardEvent) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        self.log.set_paused(self.is_gathering(now));
        self.take(now, event, &mut actions);
        self.release_held(now, &mut actions);
        self.gather_again(now, &mut actions);
        self.copy_out(now, &mut actions);
        self.append_copies(now, &mut actions);
        self.refuse_grants(now, &mut actions);
        actions
    }

    fn take(&mut self, now: Time, event: ShardEvent, actions: &mut Vec<ShardAction>) {
        match event {
            ShardEvent::Claim(ticket, claim) => self.claim(now, ticket, claim, actions),
            ShardEvent::Record(ticket, call, digest, outcome) => {
                self.record(now, ticket, call, digest, outcome, actions);
            }
            ShardEvent::Withdraw(ticket, call, attempt) => {
                self.withdraw(now, ticket, call, attempt, actions);
            }
            ShardEvent::Lookup(ticket, call) => self.lookup(now, ticket, call, actions),
            ShardEvent::View(view, owned) => self.set_view(now, view, owned, actions),
            ShardEvent::Buffered(ticket) => {
                let reply = ShardReply::Buffered(self.uncommitted());
                actions.push(ShardAction::Reply(ticket, reply));
            }
            ShardEvent::Gathered(records, complete) => {
                self.gathered(now, records, complete, actions);
            }
            ShardEvent::Copies(records) => self.keep_copies(now, records),
            ShardEvent::Copied(calls) => self.copied(&calls, actions),
            ShardEvent::Log(LogEvent::Fetched(sequence, Some(segment)))
                if sequence < self.log.next_sequence() =>
            {
                self.answer_readers(sequence, &segment, actions);
            }
            ShardEvent::Log(event) => self.drive(now, event, actions),
        }
    }

    /// Whether decisions can't wait for the platform.
    fn is_degraded(&self, now: Time) -> bool {
        self.log.is_failing() || self.log.wait_time(now) > self.config.platform_timeout
    }

    /// Whether the end of the log must be read before a call counts as unknown.
    fn is_stale(&self, now: Time) -> bool {
        let synced_at = self.log.synced_at();
        // What another host committed just before it was asked is found only by a later read.
        let gathered = self.owned.as_ref().is_some_and(|owned| synced_at < owned.gathered);
        !self.log.is_synced() || gathered || now.since(synced_at) > self.config.max_staleness
    }

    /// Keeps an event until what is recorded is known; false if it need not or can't wait.
    fn hold(&mut self, now: Time, event: ShardEvent, actions: &mut Vec<ShardAction>) -> bool {
        let waits_for_log = self.is_stale(now) && !self.is_degraded(now);
        if !waits_for_log && !self.is_gathering(now) {
            return false;
        }
        self.held.push(event);
        self.drive(now, LogEvent::Refresh, actions);
        true
    }

    fn release_held(&mut self, now: Time, actions: &mut Vec<ShardAction>) {
        let waits_for_log = self.is_stale(now) && !self.is_degraded(now);
        if self.held.is_empty() || self.is_gathering(now) {
            return;
        }
        if waits_for_log {
            return self.drive(now, LogEvent::Refresh, actions);
        }
        for event in mem::take(&mut self.held) {
            self.take(now, event, actions);
        }
    }

    fn append(
        &mut self,
        now: Time,
        purpose: Purpose,
        record: CallRecord,
        actions: &mut Vec<ShardAction>,
    ) {
        self.appended += 1;
        let ticket = Ticket(self.appended);
        self.purposes.insert(ticket, purpose);
        self.drive(now, LogEvent::Append(ticket, record), actions);
    }

    fn drive(&mut self, now: Time, event: LogEvent<CallRecord>, actions: &mut Vec<ShardAction>) {
        for action in self.log.handle(now, event) {
            match action {
                LogAction::Create(sequence, segment) => {
                    actions.push(ShardAction::Create(sequence, segment));
                }
                LogAction::Fetch(sequence) => actions.push(ShardAction::Fetch(sequence)),
                LogAction::Apply(sequence, segment, tickets) => {
                    self.apply(now, sequence, &segment, tickets, actions);
                }
                LogAction::Reject(records) => self.decide_again(now, records, actions),
            }
        }
    }

    fn apply(
        &mut self,
        now: Time,
        sequence: u64,
        segment: &Segment<CallRecord>,
        tickets: Vec<Ticket>,
        actions: &mut Vec<ShardAction>,
    ) {
        for record in &segment.records {
            self.table.apply(sequence, record);
            if let CallRecord::Withdrawn { attempt, .. } = record {
                self.abandoned.remove(attempt);
            }
            self.settle_final(record.call(), actions);
        }
        for ticket in tickets {
            if let Some(purpose) = self.purposes.remove(&ticket) {
                self.committed(now, purpose, actions);
            }
        }
    }

    fn committed(&mut self, now: Time, purpose: Purpose, actions: &mut Vec<ShardAction>) {
        match purpose {
            Purpose::Grant(ticket, claim) | Purpose::Reclaim(ticket, claim) => {
                self.claim(now, ticket, claim, actions);
            }
            Purpose::Abandoned(call, attempt) => {
                self.withdraw_abandoned(now, call, attempt, actions);
            }
            Purpose::Withdraw(Some(ticket)) => {
                actions.push(ShardAction::Reply(ticket, ShardReply::Withdrawn));
            }
            Purpose::Withdraw(None) | Purpose::Final(_) => {}
        }
    }

    /// Decides again on records that a foreign segment came before.
    fn decide_again(
        &mut self,
        now: Time,
        records: Vec<(Ticket, CallRecord)>,
        actions: &mut Vec<ShardAction>,
    ) {
        for (ticket, record) in records {
            let Some(purpose) = self.purposes.remove(&ticket) else { continue };
            match purpose {
                Purpose::Grant(ticket, claim) => {
                    self.running.remove(&claim.call);
                    self.claim(now, ticket, claim, actions);
                }
                Purpose::Abandoned(call, attempt) => {
                    if self.running.get(&call).is_some_and(|run| run.attempt == attempt) {
                        self.running.remove(&call);
                    }
                }
                Purpose::Reclaim(ticket, claim) => self.claim(now, ticket, claim, actions),
                Purpose::Final(call) => {
                    let buffered = self.buffered.get(&call);
                    if let Some(record) = buffered.map(|buffered| buffered.record(&call)) {
                        self.append(now, Purpose::Final(call), record, actions);
                    }
                }
                Purpose::Withdraw(ticket) => {
                    self.append(now, Purpose::Withdraw(ticket), record, actions);
                }
            }
        }
    }
}
