//! One lot of a job, as one host sees it.
//!
//! The lot replays its log and claims the lot if nobody holds it, or if the holder's log stands
//! still for a stated time. The claim is a record of the log, so that a paused former holder
//! learns of it with its next create. All that counts over hosts is decided when its record is
//! committed: strikes, refusals, outcomes.
//!
//! Items that ran at a target when it broke off are suspects. A suspect runs alone; if its target
//! is lost again, the item gets a strike. Faults of targets use up no try.

mod action;
mod claim;
mod item;
mod run;

use oleander_core::{AttemptId, HostId, ItemIndex, Span, Time};
use oleander_ledger::{Log, LogAction, LogEvent, Segment, Ticket};

pub use self::action::{LotAction, LotEnd, LotEvent, PartialOutput, RunId, RunOutcome};
use self::item::{Item, State};
use crate::{
    plan::LotRange,
    record::{Counts, ItemResult, LotRecord},
};

/// Trials without a known end after which an item fails: the runner was lost each time.
const MAX_LOST_TRIALS: u32 = 12;

/// Tunables of a lot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LotConfig {
    /// Strikes or refusals after which an item fails.
    pub max_tries: u32,
    /// Number of targets of the service.
    pub target_count: u32,
    /// Time between progress records.
    pub checkpoint_interval: Span,
    /// Time without progress after which a claim lapses.
    pub claim_timeout: Span,
    /// When remaining items fail.
    pub deadline: Time,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Reading the log; another host may hold the lot. The end of the log was first seen `since`.
    Watching { since: Time, next: Option<u64> },
    /// The own claim is not committed yet.
    Claiming,
    /// This host runs the lot.
    Holding,
    /// All items ended; that is not committed yet.
    Closing,
    /// The lot is being given back.
    Releasing,
    /// Nothing more to do here.
    Ended,
}

#[derive(Debug)]
struct Holder {
    runner: HostId,
    attempt: AttemptId,
}

/// The lot state machine.
#[derive(Debug)]
pub struct Lot {
    host: HostId,
    attempt: AttemptId,
    config: LotConfig,
    first: ItemIndex,
    log: Log<LotRecord>,
    phase: Phase,
    holder: Option<Holder>,
    items: Vec<Item>,
    counts: Counts,
    closed: Option<Counts>,
    tickets: u64,
    runs: u32,
    refreshed: Time,
    seen: Time,
    committed: Time,
    progress: Time,
}

impl Lot {
    /// A lot that will first replay its log.
    ///
    /// `incarnation` must differ between the times that this host opens the lot.
    #[must_use]
    pub fn new(
        host: HostId,
        incarnation: u64,
        range: LotRange,
        config: LotConfig,
        now: Time,
    ) -> Self {
        let attempt = AttemptId::try_from(format!("{host}:{incarnation}"))
            .unwrap_or_else(|_| unreachable!("host ids leave room"));
        Self {
            log: Log::new(host.clone(), incarnation, config.checkpoint_interval),
            host,
            attempt,
            config,
            first: range.first,
            phase: Phase::Watching { since: now, next: None },
            holder: None,
            items: vec![Item::new(); range.count as usize],
            counts: Counts::default(),
            closed: None,
            tickets: 0,
            runs: 0,
            refreshed: now,
            seen: now,
            committed: now,
            progress: now,
        }
    }

    /// Whether this host runs the lot.
    #[must_use]
    pub const fn is_held(&self) -> bool {
        matches!(self.phase, Phase::Holding)
    }

    /// Whether another host may hold the lot.
    #[must_use]
    pub const fn is_watching(&self) -> bool {
        matches!(self.phase, Phase::Watching { .. })
    }

    /// Whether it will soon show if this host holds the lot.
    #[must_use]
    pub const fn is_pending(&self) -> bool {
        matches!(self.phase, Phase::Watching { next: None, .. } | Phase::Claiming)
    }

    /// Whether nothing more is to be done here.
    #[must_use]
    pub const fn is_ended(&self) -> bool {
        matches!(self.phase, Phase::Ended)
    }

    /// Items that could start now, together with others.
    #[must_use]
    pub fn ready_count(&self, now: Time) -> usize {
        if !self.is_held() {
            return 0;
        }
        self.items.iter().filter(|item| item.is_ready(now) && !item.suspect).count()
    }

    /// Whether a suspect could start now, alone.
    #[must_use]
    pub fn has_ready_suspect(&self, now: Time) -> bool {
        self.is_held() && self.find_suspect(now, None).is_some()
    }

    /// Items that run.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.items.iter().filter(|item| item.is_running()).count()
    }

    /// Takes one event and returns what to do, in order.
    pub fn handle(&mut self, now: Time, event: LotEvent) -> Vec<LotAction> {
        let mut actions = Vec::new();
        match event {
            LotEvent::Log(event) => self.feed(now, event, &mut actions),
            LotEvent::OfferSlot { target, alone } => self.start(now, target, alone, &mut actions),
            LotEvent::RunEnded { run, outcome } => self.end_run(now, run, outcome, &mut actions),
            LotEvent::Release => self.release(now, &mut actions),
            LotEvent::Tick => self.feed(now, LogEvent::Tick, &mut actions),
        }
        self.advance(now, &mut actions);
        actions
    }

    fn feed(&mut self, now: Time, event: LogEvent<LotRecord>, actions: &mut Vec<LotAction>) {
        for action in self.log.handle(now, event) {
            match action {
                LogAction::Create(sequence, segment) => {
                    actions.push(LotAction::Create(sequence, segment));
                }
                LogAction::Fetch(sequence) => actions.push(LotAction::Fetch(sequence)),
                LogAction::Apply(_, segment, tickets) => {
                    self.apply(now, segment, !tickets.is_empty(), actions);
                }
                LogAction::Return(records) => self.append_again(now, records, actions),
            }
        }
    }

    fn append(&mut self, now: Time, record: LotRecord, actions: &mut Vec<LotAction>) {
        self.tickets += 1;
        self.feed(now, LogEvent::Append(Ticket(self.tickets), record), actions);
    }

    /// Appends records again that met a foreign segment, unless that one took the lot.
    fn append_again(
        &mut self,
        now: Time,
        records: Vec<(Ticket, LotRecord)>,
        actions: &mut Vec<LotAction>,
    ) {
        if self.is_ended() {
            return;
        }
        for (ticket, record) in records {
            self.feed(now, LogEvent::Append(ticket, record), actions);
        }
    }

    fn apply(
        &mut self,
        now: Time,
        segment: Segment<LotRecord>,
        own: bool,
        actions: &mut Vec<LotAction>,
    ) {
        self.committed = now;
        for record in segment.records {
            self.apply_record(now, record, own, actions);
        }
    }

    fn apply_record(
        &mut self,
        now: Time,
        record: LotRecord,
        own: bool,
        actions: &mut Vec<LotAction>,
    ) {
        match record {
            LotRecord::Claimed { runner, attempt } => {
                self.on_claimed(now, runner, attempt, actions);
            }
            LotRecord::Released { attempt } => self.on_released(&attempt, actions),
            LotRecord::Suspect { item } => self.with_item(item, Item::add_suspicion),
            LotRecord::Trial { item, .. } => self.with_item(item, |item| item.open_trial(own)),
            LotRecord::TargetLost { item } => self.with_item(item, Item::add_strike),
            LotRecord::TargetFailed { item, target } => {
                self.with_item(item, |item| item.add_refusal(target));
            }
            LotRecord::Outcome { item, result } => self.on_outcome(item, &result),
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

    fn position(&self, index: ItemIndex) -> Option<usize> {
        index.0.checked_sub(self.first.0).map(|at| at as usize)
    }

    fn index(&self, position: usize) -> ItemIndex {
        ItemIndex(self.first.0 + position as u32)
    }

    fn on_outcome(&mut self, index: ItemIndex, result: &ItemResult) {
        let Some(item) = self.position(index).and_then(|at| self.items.get_mut(at)) else { return };
        if item.state != State::Done {
            item.state = State::Done;
            item.end_trial();
            self.counts.add(result);
        }
    }

    fn finish(&mut self, end: LotEnd, actions: &mut Vec<LotAction>) {
        if self.is_ended() {
            return;
        }
        self.stop_runs(actions);
        self.phase = Phase::Ended;
        actions.push(LotAction::Finished(end));
    }

    fn stop_runs(&mut self, actions: &mut Vec<LotAction>) {
        for item in &mut self.items {
            if let State::Running { run, .. } = item.state {
                item.state = State::Queued;
                actions.push(LotAction::CancelRun(run));
            }
        }
    }

    fn advance(&mut self, now: Time, actions: &mut Vec<LotAction>) {
        match self.phase {
            Phase::Watching { since, next } => self.watch(now, since, next, actions),
            Phase::Holding => self.hold(now, actions),
            Phase::Claiming | Phase::Closing | Phase::Releasing | Phase::Ended => {}
        }
    }

    fn hold(&mut self, now: Time, actions: &mut Vec<LotAction>) {
        self.fail_lost_items(now, actions);
        self.ask_trials(now, actions);
        if self.items.iter().all(|item| item.state == State::Done) {
            self.phase = Phase::Closing;
            self.append(now, LotRecord::Closed { counts: self.counts }, actions);
        } else if self.log.backlog() == 0
            && now.since(self.committed) >= self.config.checkpoint_interval
        {
            self.renew(now, actions);
        }
    }
}
