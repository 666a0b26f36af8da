//! The owner of one shard of online calls.
//!
//! The shard grants each call to one runner, joins resends to that run, and answers with the
//! recorded outcome. A call that may not be repeated is granted only once its intent is committed.
//! Two owners at the same time are safe: the first final record of a call in the log counts, and
//! the other owner reads it when its own create fails.
//!
//! While the platform does not answer, repeatable calls continue: their outcomes are buffered
//! here, copied to a second host, and committed later.

mod api;
mod claims;
mod outcomes;
mod ownership;

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

use outcomes::{BufferedOutcome, Waiter};
use ownership::Ownership;

/// A granted run of a call.
#[derive(Debug)]
struct Run {
    digest: DigestId,
    runner: HostId,
    attempt: AttemptId,
    repeatable: bool,
}

/// Why a record was appended, which decides what follows its commit or rejection.
#[derive(Debug)]
enum Append {
    /// Intent of a claim, which is answered after the commit.
    Grant(Ticket, Claim),
    /// Intent of a claim that was refused meanwhile; it is withdrawn after the commit.
    Refused(CallId, AttemptId),
    /// Withdrawal of a refused intent, to decide on a later claim of the call.
    Reclaim(Ticket, Claim),
    /// Outcome of a call.
    Final(CallId),
    /// Withdrawal of a run, with the ticket of the request if there was one.
    Withdraw(Option<Ticket>),
}

/// The shard state machine.
#[derive(Debug)]
pub struct Shard {
    config: ShardConfig,
    log: Log<CallRecord>,
    table: CallTable,
    running: HashMap<CallId, Run>,
    /// Outcomes that are not committed yet.
    buffered: HashMap<CallId, BufferedOutcome>,
    /// Appends that are not committed yet, by their ticket at the log.
    appends: BTreeMap<Ticket, Append>,
    last_ticket: u64,
    /// Requests that wait for the log or the other hosts before they are decided.
    deferred: Vec<ShardEvent>,
    /// Requests that wait for a segment to be read back, by its sequence number.
    waiters: BTreeMap<u64, Vec<Waiter>>,
    /// `None` while another host owns the shard.
    ownership: Option<Ownership>,
    /// Runs whose claim was refused before their intent was committed. No target has received
    /// them, but their intents may still be committed.
    refused: HashSet<AttemptId>,
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
            appends: BTreeMap::new(),
            last_ticket: 0,
            deferred: Vec::new(),
            waiters: BTreeMap::new(),
            ownership: None,
            refused: HashSet::new(),
        }
    }

    /// Number of calls with an outcome that is not committed yet.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.buffered.len()
    }

    /// Number of calls with a granted run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of calls that are recorded in the log.
    #[must_use]
    pub fn recorded(&self) -> usize {
        self.table.len()
    }

    /// Latest time of the next tick.
    #[must_use]
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let deadline = now + self.config.platform_timeout;
        let deferred = (!self.deferred.is_empty()).then_some(deadline);
        let buffered = (!self.buffered.is_empty()).then_some(deadline);
        [self.log.next_wake(), deferred, buffered].into_iter().flatten().min()
    }

    /// Handles an event and returns the resulting actions, in order.
    pub fn handle(&mut self, now: Time, event: ShardEvent) -> Vec<ShardAction> {
        let mut actions = Vec::new();
        self.log.set_paused(self.is_gathering(now));
        self.dispatch(now, event, &mut actions);
        self.retry_deferred(now, &mut actions);
        self.retry_gather(now, &mut actions);
        self.request_copies(now, &mut actions);
        self.append_copies(now, &mut actions);
        self.refuse_grants(now, &mut actions);
        actions
    }

    fn dispatch(&mut self, now: Time, event: ShardEvent, actions: &mut Vec<ShardAction>) {
        match event {
            ShardEvent::Claim(ticket, claim) => self.claim(now, ticket, claim, actions),
            ShardEvent::Record(ticket, call, digest, outcome) => {
                self.record_outcome(now, ticket, call, digest, outcome, actions);
            }
            ShardEvent::Withdraw(ticket, call, attempt) => {
                self.withdraw(now, ticket, call, attempt, actions);
            }
            ShardEvent::Lookup(ticket, call) => self.lookup(now, ticket, call, actions),
            ShardEvent::View(view, owned) => self.set_view(now, view, owned, actions),
            ShardEvent::Buffered(ticket) => {
                let reply = ShardReply::Buffered(self.uncommitted_delivered());
                actions.push(ShardAction::Reply(ticket, reply));
            }
            ShardEvent::Gathered(records, complete) => {
                self.handle_gathered(now, records, complete, actions);
            }
            ShardEvent::Copies(records) => self.store_copies(now, records),
            ShardEvent::Copied(calls) => self.handle_copied(&calls, actions),
            ShardEvent::Log(LogEvent::Fetched(sequence, Some(segment)))
                if sequence < self.log.next_sequence() =>
            {
                self.reply_to_waiters(sequence, &segment, actions);
            }
            ShardEvent::Log(event) => self.feed_log(now, event, actions),
        }
    }

    /// Whether the platform fails or is too slow to wait for.
    fn is_degraded(&self, now: Time) -> bool {
        self.log.is_failing() || self.log.wait_time(now) > self.config.platform_timeout
    }

    /// Whether the log must be read to its end before a call counts as unknown.
    fn is_stale(&self, now: Time) -> bool {
        let synced_at = self.log.synced_at();
        // Records that a host committed just before it replied to a gather request are found only
        // by a later read.
        let predates_gather = self.ownership.as_ref().is_some_and(|it| synced_at < it.gathered_at);
        !self.log.is_synced() || predates_gather || now.since(synced_at) > self.config.max_staleness
    }

    /// Defers a request until the log is read and the other hosts have replied; false if there
    /// is nothing to wait for or the platform is unavailable.
    fn defer(&mut self, now: Time, event: ShardEvent, actions: &mut Vec<ShardAction>) -> bool {
        let waits_for_log = self.is_stale(now) && !self.is_degraded(now);
        if !waits_for_log && !self.is_gathering(now) {
            return false;
        }
        self.deferred.push(event);
        self.feed_log(now, LogEvent::Refresh, actions);
        true
    }

    /// Handles the deferred requests again once they need not wait any more.
    fn retry_deferred(&mut self, now: Time, actions: &mut Vec<ShardAction>) {
        let waits_for_log = self.is_stale(now) && !self.is_degraded(now);
        if self.deferred.is_empty() || self.is_gathering(now) {
            return;
        }
        if waits_for_log {
            return self.feed_log(now, LogEvent::Refresh, actions);
        }
        for event in mem::take(&mut self.deferred) {
            self.dispatch(now, event, actions);
        }
    }

    fn append(
        &mut self,
        now: Time,
        append: Append,
        record: CallRecord,
        actions: &mut Vec<ShardAction>,
    ) {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.appends.insert(ticket, append);
        self.feed_log(now, LogEvent::Append(ticket, record), actions);
    }

    fn feed_log(&mut self, now: Time, event: LogEvent<CallRecord>, actions: &mut Vec<ShardAction>) {
        for action in self.log.handle(now, event) {
            match action {
                LogAction::Create(sequence, segment) => {
                    actions.push(ShardAction::Create(sequence, segment));
                }
                LogAction::Fetch(sequence) => actions.push(ShardAction::Fetch(sequence)),
                LogAction::Apply(sequence, segment, tickets) => {
                    self.apply(now, sequence, &segment, tickets, actions);
                }
                LogAction::Reject(records) => self.retry_appends(now, records, actions),
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
                self.refused.remove(attempt);
            }
            self.complete_call(record.call(), actions);
        }
        for ticket in tickets {
            if let Some(append) = self.appends.remove(&ticket) {
                self.handle_committed(now, append, actions);
            }
        }
    }

    fn handle_committed(&mut self, now: Time, append: Append, actions: &mut Vec<ShardAction>) {
        match append {
            Append::Grant(ticket, claim) | Append::Reclaim(ticket, claim) => {
                self.claim(now, ticket, claim, actions);
            }
            Append::Refused(call, attempt) => {
                self.withdraw_refused(now, call, attempt, actions);
            }
            Append::Withdraw(Some(ticket)) => {
                actions.push(ShardAction::Reply(ticket, ShardReply::Withdrawn));
            }
            Append::Withdraw(None) | Append::Final(_) => {}
        }
    }

    /// Decides again on appends that were not committed: another writer's segment may have changed
    /// the state of their calls.
    fn retry_appends(
        &mut self,
        now: Time,
        records: Vec<(Ticket, CallRecord)>,
        actions: &mut Vec<ShardAction>,
    ) {
        for (ticket, record) in records {
            let Some(append) = self.appends.remove(&ticket) else { continue };
            match append {
                Append::Grant(ticket, claim) => {
                    self.running.remove(&claim.call);
                    self.claim(now, ticket, claim, actions);
                }
                Append::Refused(call, attempt) => {
                    if self.running.get(&call).is_some_and(|run| run.attempt == attempt) {
                        self.running.remove(&call);
                    }
                }
                Append::Reclaim(ticket, claim) => self.claim(now, ticket, claim, actions),
                Append::Final(call) => {
                    let buffered = self.buffered.get(&call);
                    if let Some(record) = buffered.map(|buffered| buffered.final_record(&call)) {
                        self.append(now, Append::Final(call), record, actions);
                    }
                }
                Append::Withdraw(ticket) => {
                    self.append(now, Append::Withdraw(ticket), record, actions);
                }
            }
        }
    }
}
