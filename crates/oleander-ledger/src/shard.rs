//! The owner of one shard of online calls.
//!
//! The shard grants each call to one runner, joins resends to it, and answers with the recorded
//! outcome. A grant of a call that may not be repeated follows the commit of its intent. Two
//! owners at once are harmless: the first final record in the log counts, and the other owner
//! reads it when its own create fails.
//!
//! While the platform does not answer, calls that may be repeated go on: their outcomes are kept
//! here and copied to a second host, and are committed later.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    mem,
};

use oleander_core::{AttemptId, CallId, DigestId, HostId, Span, Time, value};

use crate::{
    call::{CallRecord, Claim, Outcome},
    log::{Log, LogAction, LogEvent, Ticket},
    segment::Segment,
    table::{CallState, CallTable},
};

/// Tunables of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardConfig {
    /// Least time between two commits.
    pub interval: Span,
    /// Time after which an unanswered platform counts as down.
    pub patience: Span,
    /// Age at which the end of the log is read again before a new call is granted.
    pub freshness: Span,
    /// Time after which a copy is committed by the host that holds it.
    pub copy_delay: Span,
    /// Longest wait of a new owner for what the other hosts hold.
    pub gather: Span,
    /// Time after which hosts that did not tell are asked again.
    pub gather_retry: Span,
    /// Bytes of outcomes kept in memory.
    pub memory: usize,
}

impl ShardConfig {
    /// The usual tunables.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            interval: Span::from_millis(40),
            patience: Span::from_millis(250),
            freshness: Span::from_secs(2),
            copy_delay: Span::from_secs(3),
            gather: Span::from_millis(800),
            gather_retry: Span::from_millis(250),
            memory: 4 << 20,
        }
    }

    /// Sets the least time between two commits.
    #[must_use]
    pub const fn interval(mut self, interval: Span) -> Self {
        self.interval = interval;
        self
    }
}

impl Default for ShardConfig {
    fn default() -> Self {
        Self::new()
    }
}

/// What the shard is told.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardEvent {
    /// A host asks to run a call.
    Claim(Ticket, Claim),
    /// A runner reports the outcome of a call.
    Record(Ticket, CallId, DigestId, Outcome),
    /// A runner gives up a run before a byte was sent.
    Withdraw(Ticket, CallId, AttemptId),
    /// Somebody reads a call.
    Lookup(Ticket, CallId),
    /// The view of the live hosts: its number, and whether it makes this host the first owner.
    View(u64, bool),
    /// Somebody asks for the outcomes that are not committed.
    Buffered(Ticket),
    /// What the other hosts hold uncommitted, and whether all live ones told it.
    Gathered(Vec<CallRecord>, bool),
    /// Outcomes that another owner could not commit yet.
    Copies(Vec<CallRecord>),
    /// The second host holds copies of these calls.
    Copied(Vec<CallId>),
    /// The platform's answer, or the passing of time.
    Log(LogEvent<CallRecord>),
}

value! {
    /// The answer to one ticket.
    pub enum ShardReply {
        /// Run the call.
        Run,
        /// The call is running there.
        Join {
            /// Host that runs it.
            runner: HostId,
            /// The run.
            attempt: AttemptId,
        },
        /// The call is at its end.
        Done(Outcome),
        /// The id stands for another body.
        Mismatch,
        /// Nothing is known of the call.
        Absent,
        /// The platform is needed and does not answer.
        Unavailable {
            /// Whether it is certain that the call was never sent to a target.
            clean: bool,
        },
        /// Outcomes that are not committed.
        Buffered(Vec<CallRecord>),
        /// The run is withdrawn.
        Withdrawn,
        /// The outcome that counts, and whether the platform holds it.
        Recorded {
            /// The outcome that counts.
            outcome: Outcome,
            /// Whether it is committed, not only copied.
            durable: bool,
        },
    }
}

/// What the shard asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardAction {
    /// Create the log object of this sequence number.
    Create(u64, Segment<CallRecord>),
    /// Read the log object of this sequence number.
    Fetch(u64),
    /// Answer a ticket.
    Reply(Ticket, ShardReply),
    /// Copy outcomes to the second host.
    Copy(Vec<CallRecord>),
    /// Ask the other hosts for outcomes that are not committed.
    Gather,
}

#[derive(Debug)]
struct Run {
    digest: DigestId,
    runner: HostId,
    attempt: AttemptId,
    repeatable: bool,
}

#[derive(Debug)]
struct Buffered {
    digest: DigestId,
    outcome: Outcome,
    waiters: Vec<Reader>,
    copied: Copied,
    since: Time,
}

impl Buffered {
    /// Whether a caller may have been told the outcome.
    fn is_answered(&self) -> bool {
        matches!(self.copied, Copied::Yes | Copied::Foreign)
    }

    fn record(&self, call: &CallId) -> CallRecord {
        let (digest, outcome) = (self.digest.clone(), self.outcome.clone());
        CallRecord::Final { call: call.clone(), digest, outcome }
    }
}

#[derive(Debug, PartialEq, Eq)]
enum Copied {
    No,
    Asked(Time),
    Yes,
    /// This host holds the copy for another owner and has not appended it.
    Foreign,
}

/// Someone who waits for an outcome that must be read back.
#[derive(Debug)]
struct Reader {
    ticket: Ticket,
    call: CallId,
    /// Whether it reported an outcome itself.
    records: bool,
}

impl Reader {
    fn reply(&self, outcome: Outcome, durable: bool) -> ShardAction {
        let reply = match self.records {
            true => ShardReply::Recorded { outcome, durable },
            false => ShardReply::Done(outcome),
        };
        ShardAction::Reply(self.ticket, reply)
    }
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
    held: Vec<(Time, ShardEvent)>,
    readers: BTreeMap<u64, Vec<Reader>>,
    owned: Option<Owned>,
    /// Runs that were refused before they were told, so that no target has seen them.
    abandoned: HashSet<AttemptId>,
}

/// Ownership under one view of the live hosts.
#[derive(Debug)]
struct Owned {
    view: u64,
    since: Time,
    gathering: bool,
    /// When the other hosts were asked last.
    asked: Time,
    /// When they had answered.
    gathered: Time,
    /// Whether all live hosts have told what they hold.
    complete: bool,
}

impl Shard {
    /// A shard that first replays its log.
    ///
    /// `incarnation` must differ between restarts of `host`.
    #[must_use]
    pub fn new(host: HostId, incarnation: u64, config: ShardConfig) -> Self {
        Self {
            config,
            log: Log::new(host, incarnation, config.interval),
            table: CallTable::new(config.memory),
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
        let patience = now + self.config.patience;
        let held = (!self.held.is_empty()).then_some(patience);
        let buffered = (!self.buffered.is_empty()).then_some(patience);
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
                if sequence < self.log.next() =>
            {
                self.answer_readers(sequence, &segment, actions);
            }
            ShardEvent::Log(event) => self.drive(now, event, actions),
        }
    }

    /// Whether decisions can't wait for the platform.
    fn is_degraded(&self, now: Time) -> bool {
        self.log.is_failing() || self.log.waited(now) > self.config.patience
    }

    /// Whether the end of the log must be read before a call counts as unknown.
    fn is_stale(&self, now: Time) -> bool {
        let read_at = self.log.read_at();
        // What another host committed just before it was asked is found only by a later read.
        let gathered = self.owned.as_ref().is_some_and(|owned| read_at < owned.gathered);
        !self.log.is_current() || gathered || now.since(read_at) > self.config.freshness
    }

    /// Whether other hosts may still hold outcomes that this new owner does not know.
    fn is_gathering(&self, now: Time) -> bool {
        let owned = self.owned.as_ref().filter(|owned| owned.gathering);
        owned.is_some_and(|owned| now.since(owned.since) < self.config.gather)
    }

    /// Whether a call that is not known here was certainly never granted.
    ///
    /// It holds if the log was read to its end since this host became the owner: later grants
    /// are its own.
    fn is_clean(&self) -> bool {
        self.owned.as_ref().is_some_and(|owned| owned.complete && self.log.read_at() >= owned.since)
    }

    /// Asks the other hosts again if some did not answer.
    fn gather_again(&mut self, now: Time, actions: &mut Vec<ShardAction>) {
        let Some(owned) = &mut self.owned else { return };
        if !owned.complete && now.since(owned.asked) >= self.config.gather_retry {
            owned.asked = now;
            actions.push(ShardAction::Gather);
        }
    }

    fn set_view(&mut self, now: Time, view: u64, owned: bool, actions: &mut Vec<ShardAction>) {
        if !owned {
            self.owned = None;
        } else if self.owned.as_ref().is_none_or(|owned| owned.view != view) {
            let (since, asked) = (now, now);
            let gathered = Time(0);
            self.owned =
                Some(Owned { view, since, gathering: true, asked, gathered, complete: false });
            actions.push(ShardAction::Gather);
            self.drive(now, LogEvent::Refresh, actions);
        }
    }

    /// Outcomes that were answered on the strength of a copy and are not committed.
    fn uncommitted(&self) -> Vec<CallRecord> {
        let answered = self.buffered.iter().filter(|(_, buffered)| buffered.is_answered());
        answered.map(|(call, buffered)| buffered.record(call)).collect()
    }

    /// Takes what other hosts answered; it goes before own outcomes that nobody was told of.
    fn gathered(
        &mut self,
        now: Time,
        records: Vec<CallRecord>,
        complete: bool,
        actions: &mut Vec<ShardAction>,
    ) {
        for record in &records {
            let CallRecord::Final { call, outcome, .. } = record else { continue };
            let Some(own) = self.buffered.get_mut(call) else { continue };
            if own.is_answered() {
                continue;
            }
            own.outcome = outcome.clone();
            own.copied = Copied::Yes;
            for reader in mem::take(&mut own.waiters) {
                actions.push(reader.reply(outcome.clone(), false));
            }
        }
        self.keep_copies(now, records);
        if let Some(owned) = &mut self.owned {
            owned.gathering &= !complete;
            owned.complete |= complete;
            owned.gathered = now;
        }
        self.log.set_paused(self.is_gathering(now));
        let pending = self.log.take_pending();
        self.decide_again(now, pending, actions);
        self.drive(now, LogEvent::Refresh, actions);
    }

    /// Keeps an event until what is recorded is known; false if it need not or can't wait.
    fn hold(&mut self, now: Time, event: ShardEvent, actions: &mut Vec<ShardAction>) -> bool {
        let waits_for_log = self.is_stale(now) && !self.is_degraded(now);
        if !waits_for_log && !self.is_gathering(now) {
            return false;
        }
        self.held.push((now, event));
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
        for (_, event) in mem::take(&mut self.held) {
            self.take(now, event, actions);
        }
    }

    fn claim(&mut self, now: Time, ticket: Ticket, claim: Claim, actions: &mut Vec<ShardAction>) {
        if let Some(digest) = self.known_digest(&claim.call)
            && *digest != claim.digest
        {
            actions.push(ShardAction::Reply(ticket, ShardReply::Mismatch));
            return;
        }
        if self.answer_known(ticket, &claim.call, actions) {
            return;
        }
        if let Some(CallState::Intent { runner, attempt, .. }) = self.table.state(&claim.call) {
            let (runner, attempt) = (runner.clone(), attempt.clone());
            self.claim_intent(now, ticket, claim, runner, attempt, actions);
            return;
        }
        if let Some(run) = self.running.get(&claim.call)
            && claim.gone.as_ref() != Some(&run.attempt)
        {
            let same = run.attempt == claim.attempt;
            let reply = match same {
                true => ShardReply::Run,
                false => {
                    ShardReply::Join { runner: run.runner.clone(), attempt: run.attempt.clone() }
                }
            };
            // A run that may not be repeated still needs its intent.
            if !same || run.repeatable {
                actions.push(ShardAction::Reply(ticket, reply));
                return;
            }
        }
        if self.hold(now, ShardEvent::Claim(ticket, claim.clone()), actions) {
            return;
        }
        self.grant(now, ticket, claim, actions);
    }

    /// Answers a claim of a call that has an intent and no outcome.
    fn claim_intent(
        &mut self,
        now: Time,
        ticket: Ticket,
        claim: Claim,
        runner: HostId,
        attempt: AttemptId,
        actions: &mut Vec<ShardAction>,
    ) {
        if attempt == claim.attempt {
            actions.push(ShardAction::Reply(ticket, ShardReply::Run));
        } else if self.abandoned.contains(&attempt) {
            let record = CallRecord::Withdrawn { call: claim.call.clone(), attempt };
            self.append(now, Purpose::Reclaim(ticket, claim), record, actions);
        } else if claim.gone.as_ref() == Some(&attempt) {
            let Claim { call, digest, .. } = claim;
            self.record(now, ticket, call, digest, Outcome::Unknown, actions);
        } else {
            actions.push(ShardAction::Reply(ticket, ShardReply::Join { runner, attempt }));
        }
    }

    fn grant(&mut self, now: Time, ticket: Ticket, claim: Claim, actions: &mut Vec<ShardAction>) {
        if !claim.repeatable && self.is_degraded(now) {
            let reply = ShardReply::Unavailable { clean: self.is_clean() };
            actions.push(ShardAction::Reply(ticket, reply));
            return;
        }
        let run = Run {
            digest: claim.digest.clone(),
            runner: claim.runner.clone(),
            attempt: claim.attempt.clone(),
            repeatable: claim.repeatable,
        };
        self.running.insert(claim.call.clone(), run);
        if claim.repeatable {
            actions.push(ShardAction::Reply(ticket, ShardReply::Run));
            return;
        }
        let record = CallRecord::Intent {
            call: claim.call.clone(),
            digest: claim.digest.clone(),
            runner: claim.runner.clone(),
            attempt: claim.attempt.clone(),
        };
        self.append(now, Purpose::Grant(ticket, claim), record, actions);
    }

    fn record(
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

    fn withdraw(
        &mut self,
        now: Time,
        ticket: Ticket,
        call: CallId,
        attempt: AttemptId,
        actions: &mut Vec<ShardAction>,
    ) {
        let repeatable = match self.running.get(&call) {
            Some(run) if run.attempt == attempt => run.repeatable,
            _ => false,
        };
        if repeatable {
            self.running.remove(&call);
            actions.push(ShardAction::Reply(ticket, ShardReply::Withdrawn));
            return;
        }
        let record = CallRecord::Withdrawn { call, attempt };
        self.append(now, Purpose::Withdraw(Some(ticket)), record, actions);
    }

    fn lookup(&mut self, now: Time, ticket: Ticket, call: CallId, actions: &mut Vec<ShardAction>) {
        if self.answer_known(ticket, &call, actions) {
            return;
        }
        if let Some(CallState::Intent { runner, attempt, .. }) = self.table.state(&call) {
            let reply = ShardReply::Join { runner: runner.clone(), attempt: attempt.clone() };
            actions.push(ShardAction::Reply(ticket, reply));
            return;
        }
        if let Some(run) = self.running.get(&call) {
            let (runner, attempt) = (run.runner.clone(), run.attempt.clone());
            actions.push(ShardAction::Reply(ticket, ShardReply::Join { runner, attempt }));
            return;
        }
        if self.hold(now, ShardEvent::Lookup(ticket, call), actions) {
            return;
        }
        let knows_all = self.owned.as_ref().is_some_and(|owned| owned.complete);
        let reply = match self.is_stale(now) || !knows_all {
            true => ShardReply::Unavailable { clean: false },
            false => ShardReply::Absent,
        };
        actions.push(ShardAction::Reply(ticket, reply));
    }

    /// Answers a ticket whose call is at its end.
    fn answer_known(
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
    fn wait_buffered(&mut self, reader: Reader, actions: &mut Vec<ShardAction>) -> Option<Reader> {
        let Some(buffered) = self.buffered.get_mut(&reader.call) else { return Some(reader) };
        match buffered.copied {
            Copied::Yes | Copied::Foreign => {
                actions.push(reader.reply(buffered.outcome.clone(), false));
            }
            Copied::No | Copied::Asked(_) => buffered.waiters.push(reader),
        }
        None
    }

    fn known_digest(&self, call: &CallId) -> Option<&DigestId> {
        match self.table.state(call) {
            Some(CallState::Intent { digest, .. } | CallState::Final { digest, .. }) => {
                return Some(digest);
            }
            None => {}
        }
        let buffered = self.buffered.get(call).map(|buffered| &buffered.digest);
        buffered.or_else(|| self.running.get(call).map(|run| &run.digest))
    }

    /// Answers with a committed outcome, from memory or from its segment.
    fn read_outcome(&mut self, reader: Reader, sequence: u64, actions: &mut Vec<ShardAction>) {
        if let Some(outcome) = self.table.outcome(&reader.call) {
            actions.push(reader.reply(outcome.clone(), true));
            return;
        }
        self.readers.entry(sequence).or_default().push(reader);
        actions.push(ShardAction::Fetch(sequence));
    }

    fn answer_readers(
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
                self.table.remember(&reader.call, outcome);
                actions.push(reader.reply(outcome.clone(), true));
            }
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
                LogAction::Return(records) => self.decide_again(now, records, actions),
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

    /// Answers everybody who waits for the outcome of a call that is now committed.
    fn settle_final(&mut self, call: &CallId, actions: &mut Vec<ShardAction>) {
        let Some(CallState::Final { .. }) = self.table.state(call) else { return };
        self.running.remove(call);
        let Some(buffered) = self.buffered.remove(call) else { return };
        let outcome = self.table.outcome(call).cloned().unwrap_or(buffered.outcome);
        for reader in buffered.waiters {
            actions.push(reader.reply(outcome.clone(), true));
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

    /// Withdraws the committed intent of a grant that was refused before it was told.
    fn withdraw_abandoned(
        &mut self,
        now: Time,
        call: CallId,
        attempt: AttemptId,
        actions: &mut Vec<ShardAction>,
    ) {
        if self.running.get(&call).is_some_and(|run| run.attempt == attempt) {
            self.running.remove(&call);
        }
        let record = CallRecord::Withdrawn { call, attempt };
        self.append(now, Purpose::Withdraw(None), record, actions);
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

    /// Asks for copies of outcomes that the platform does not take.
    fn copy_out(&mut self, now: Time, actions: &mut Vec<ShardAction>) {
        if !self.is_degraded(now) {
            return;
        }
        let mut records = Vec::new();
        for (call, buffered) in &mut self.buffered {
            let due = match buffered.copied {
                Copied::No => true,
                Copied::Asked(at) => now.since(at) > self.config.patience,
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

    fn copied(&mut self, calls: &[CallId], actions: &mut Vec<ShardAction>) {
        for call in calls {
            let Some(buffered) = self.buffered.get_mut(call) else { continue };
            buffered.copied = Copied::Yes;
            for reader in mem::take(&mut buffered.waiters) {
                actions.push(reader.reply(buffered.outcome.clone(), false));
            }
        }
    }

    fn keep_copies(&mut self, now: Time, records: Vec<CallRecord>) {
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
    fn append_copies(&mut self, now: Time, actions: &mut Vec<ShardAction>) {
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

    /// Refuses grants that wait for a platform that does not answer.
    ///
    /// The intent may still be committed; it is withdrawn when it is.
    fn refuse_grants(&mut self, now: Time, actions: &mut Vec<ShardAction>) {
        if !self.is_degraded(now) {
            return;
        }
        let clean = self.is_clean();
        for purpose in self.purposes.values_mut() {
            if let Purpose::Grant(ticket, claim) = purpose {
                let reply = ShardReply::Unavailable { clean };
                actions.push(ShardAction::Reply(*ticket, reply));
                self.abandoned.insert(claim.attempt.clone());
                *purpose = Purpose::Abandoned(claim.call.clone(), claim.attempt.clone());
            }
        }
    }
}
