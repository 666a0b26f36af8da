//! State machine of one lot at one host.
//!
//! It replays the lot's log at the platform, and claims the lot if no host holds it or if the log
//! has not grown for [`LotConfig::claim_timeout`]. The claim is a record in the log, so that the
//! next write of a paused former holder fails and shows it the new claim. Results and failed tries
//! count once their record is committed, so that all hosts agree on them.
//!
//! Items that ran at a target when it was lost become suspects. A suspect runs alone at its target;
//! if the target is lost again, that counts as a try of the item. Faults of a target that are not
//! due to the item use up no try.

mod action;
mod claim;
mod item;
mod run;

use oleander_core::{AttemptId, HostId, ItemIndex, Span, Time};
use oleander_ledger::{Log, LogAction, LogEvent, Segment, Ticket};

pub use self::action::{LotAction, LotEnd, LotEvent, PartialOutput, RunId, RunOutcome};
use self::item::{Item, ItemState};
use crate::{
    plan::LotRange,
    record::{Counts, ItemResult, LotRecord},
};

/// Number of trials with an unknown end, because their host lost the claim, after which an item
/// fails.
const MAX_UNRESOLVED_TRIALS: u32 = 12;

/// Settings of a lot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LotConfig {
    /// Number of lost targets, or of failures at healthy targets, after which an item fails.
    pub max_tries: u32,
    /// Number of targets of the service.
    pub target_count: u32,
    /// Time between two commits of results; a claim is renewed after this time without a commit.
    pub checkpoint_interval: Span,
    /// Time after which a claim expires if the log does not grow.
    pub claim_timeout: Span,
    /// Time at which unfinished items fail.
    pub deadline: Time,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Following the log; another host may hold the lot. The log has ended before the sequence
    /// number `end` since `since`; `end` is unknown until the log was read to its end.
    Watching { since: Time, end: Option<u64> },
    /// The claim of this host is not committed yet.
    Claiming,
    /// This host holds the claim and runs the items.
    Holding,
    /// All items have a result; the `Closed` record is not committed yet.
    Closing,
    /// The `Released` record is not committed yet.
    Releasing,
    /// This host is done with the lot.
    Ended,
}

/// Holder of the claim.
#[derive(Debug)]
struct Holder {
    runner: HostId,
    attempt: AttemptId,
}

/// State machine of one lot.
#[derive(Debug)]
pub struct Lot {
    host: HostId,
    attempt: AttemptId,
    config: LotConfig,
    /// Index of the lot's first item in the job.
    first: ItemIndex,
    log: Log<LotRecord>,
    phase: Phase,
    holder: Option<Holder>,
    items: Vec<Item>,
    counts: Counts,
    closed: Option<Counts>,
    last_ticket: u64,
    last_run: u32,
    /// Time of the last request to read further segments.
    refreshed_at: Time,
    /// Time at which the log was last known to be read to its end, as of the last check.
    synced_at: Time,
    /// Time at which a segment, of any host, was last applied.
    committed_at: Time,
    /// Time at which this host got the claim, or a run last ended with a response or a failure at a
    /// healthy target.
    progress_at: Time,
}

impl Lot {
    /// Creates the state machine; it replays the log first.
    ///
    /// `incarnation` must be different each time this host opens the lot.
    #[must_use]
    pub fn new(
        host: HostId,
        incarnation: u64,
        range: LotRange,
        config: LotConfig,
        now: Time,
    ) -> Self {
        let attempt = AttemptId::try_from(format!("{host}:{incarnation}"))
            .unwrap_or_else(|_| unreachable!("a host id and a number fit into an attempt id"));
        Self {
            log: Log::new(host.clone(), incarnation, config.checkpoint_interval),
            host,
            attempt,
            config,
            first: range.first,
            phase: Phase::Watching { since: now, end: None },
            holder: None,
            items: vec![Item::new(); range.count as usize],
            counts: Counts::default(),
            closed: None,
            last_ticket: 0,
            last_run: 0,
            refreshed_at: now,
            synced_at: now,
            committed_at: now,
            progress_at: now,
        }
    }

    /// Whether this host holds the claim and runs the items.
    #[must_use]
    pub const fn is_held(&self) -> bool {
        matches!(self.phase, Phase::Holding)
    }

    /// Whether this host follows the log while another may hold the claim.
    #[must_use]
    pub const fn is_watching(&self) -> bool {
        matches!(self.phase, Phase::Watching { .. })
    }

    /// Whether it is still unknown which host holds the claim.
    #[must_use]
    pub const fn is_pending(&self) -> bool {
        matches!(self.phase, Phase::Watching { end: None, .. } | Phase::Claiming)
    }

    /// Whether this host is done with the lot.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended)
    }

    /// Number of items that could start now, at a target shared with others.
    #[must_use]
    pub fn ready_count(&self, now: Time) -> usize {
        if !self.is_held() {
            return 0;
        }
        self.items.iter().filter(|item| item.is_ready(now) && !item.suspect).count()
    }

    /// Whether a suspect could start now, alone at a target.
    #[must_use]
    pub fn has_ready_suspect(&self, now: Time) -> bool {
        self.is_held() && self.find_suspect(now, None).is_some()
    }

    /// Number of running items.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.items.iter().filter(|item| item.is_running()).count()
    }

    /// Handles an event; returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Time, event: LotEvent) -> Vec<LotAction> {
        let mut actions = Vec::new();
        match event {
            LotEvent::Log(event) => self.handle_log(now, event, &mut actions),
            LotEvent::OfferSlot { target, alone } => self.start(now, target, alone, &mut actions),
            LotEvent::RunEnded { run, outcome } => self.finish_run(now, run, outcome, &mut actions),
            LotEvent::Release => self.release(now, &mut actions),
            LotEvent::Tick => self.handle_log(now, LogEvent::Tick, &mut actions),
        }
        self.advance(now, &mut actions);
        actions
    }

    fn handle_log(&mut self, now: Time, event: LogEvent<LotRecord>, actions: &mut Vec<LotAction>) {
        for action in self.log.handle(now, event) {
            match action {
                LogAction::Create(sequence, segment) => {
                    actions.push(LotAction::Create(sequence, segment));
                }
                LogAction::Fetch(sequence) => actions.push(LotAction::Fetch(sequence)),
                LogAction::Apply(_, segment, tickets) => {
                    self.apply(now, segment, !tickets.is_empty(), actions);
                }
                LogAction::Reject(records) => self.reappend(now, records, actions),
            }
        }
    }

    fn append(&mut self, now: Time, record: LotRecord, actions: &mut Vec<LotAction>) {
        self.last_ticket += 1;
        self.handle_log(now, LogEvent::Append(Ticket(self.last_ticket), record), actions);
    }

    /// Appends records again whose segment lost against that of another host, unless the other
    /// segment ended this host's claim.
    fn reappend(
        &mut self,
        now: Time,
        records: Vec<(Ticket, LotRecord)>,
        actions: &mut Vec<LotAction>,
    ) {
        if self.is_ended() {
            return;
        }
        for (ticket, record) in records {
            self.handle_log(now, LogEvent::Append(ticket, record), actions);
        }
    }

    /// Applies a committed segment.
    fn apply(
        &mut self,
        now: Time,
        segment: Segment<LotRecord>,
        is_own: bool,
        actions: &mut Vec<LotAction>,
    ) {
        self.committed_at = now;
        for record in segment.records {
            self.apply_record(now, record, is_own, actions);
        }
    }

    fn apply_record(
        &mut self,
        now: Time,
        record: LotRecord,
        is_own: bool,
        actions: &mut Vec<LotAction>,
    ) {
        match record {
            LotRecord::Claimed { runner, attempt } => {
                self.apply_claim(now, runner, attempt, actions);
            }
            LotRecord::Released { attempt } => self.apply_release(&attempt, actions),
            LotRecord::Suspect { item } => self.with_item(item, Item::mark_suspect),
            LotRecord::Trial { item, .. } => self.with_item(item, |item| item.start_trial(is_own)),
            LotRecord::TargetLost { item } => self.with_item(item, Item::add_loss),
            LotRecord::TargetFailed { item, target } => {
                self.with_item(item, |item| item.add_failure(target));
            }
            LotRecord::Outcome { item, result } => self.apply_outcome(item, &result),
            LotRecord::Closed { counts } => {
                self.closed = Some(counts);
                self.finish(LotEnd::Closed(counts), actions);
            }
        }
    }

    fn with_item(&mut self, index: ItemIndex, change: impl FnOnce(&mut Item)) {
        if let Some(item) = self.position(index).and_then(|at| self.items.get_mut(at)) {
            change(item);
        }
    }

    /// Position in `items` of an item of the job.
    fn position(&self, index: ItemIndex) -> Option<usize> {
        index.0.checked_sub(self.first.0).map(|at| at as usize)
    }

    /// Index in the job of the item at a position in `items`.
    fn index(&self, position: usize) -> ItemIndex {
        ItemIndex(self.first.0 + position as u32)
    }

    fn apply_outcome(&mut self, index: ItemIndex, result: &ItemResult) {
        let Some(item) = self.position(index).and_then(|at| self.items.get_mut(at)) else { return };
        if item.state != ItemState::Done {
            item.state = ItemState::Done;
            item.end_trial();
            self.counts.add(result);
        }
    }

    fn finish(&mut self, end: LotEnd, actions: &mut Vec<LotAction>) {
        if self.is_ended() {
            return;
        }
        self.cancel_runs(actions);
        self.phase = Phase::Ended;
        actions.push(LotAction::Finished(end));
    }

    /// Cancels all runs and requeues their items.
    fn cancel_runs(&mut self, actions: &mut Vec<LotAction>) {
        for item in &mut self.items {
            if let ItemState::Running { run, .. } = item.state {
                item.state = ItemState::Queued;
                actions.push(LotAction::CancelRun(run));
            }
        }
    }

    fn advance(&mut self, now: Time, actions: &mut Vec<LotAction>) {
        match self.phase {
            Phase::Watching { since, end } => self.advance_watching(now, since, end, actions),
            Phase::Holding => self.advance_held(now, actions),
            Phase::Claiming | Phase::Closing | Phase::Releasing | Phase::Ended => {}
        }
    }

    /// Commits what is due while this host holds the claim.
    fn advance_held(&mut self, now: Time, actions: &mut Vec<LotAction>) {
        self.fail_items(now, actions);
        self.request_trials(now, actions);
        if self.items.iter().all(|item| item.state == ItemState::Done) {
            self.phase = Phase::Closing;
            self.append(now, LotRecord::Closed { counts: self.counts }, actions);
        } else if self.log.backlog() == 0
            && now.since(self.committed_at) >= self.config.checkpoint_interval
        {
            self.renew_claim(now, actions);
        }
    }
}
