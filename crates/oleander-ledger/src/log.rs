//! An append-only log of objects that are written by create-if-absent.
//!
//! The log groups appended records into segments and creates one object at a time, under the next
//! sequence number. If another writer's object exists there, the log applies that object and
//! rejects all appends that are not committed, so that its user can decide on them again. After a
//! create without a response, the log reads the object: if it is absent, the appends are rejected
//! as well, and may be appended again in a segment of another attempt. The create without a
//! response may still take effect later; the next create then finds its object like that of another
//! writer.

use std::mem;

use oleander_core::{HostId, Span, Time};
use serde::{Deserialize, Serialize};

use crate::segment::Segment;

mod event;
mod queue;

pub use event::{LogAction, LogEvent, Ticket};
use queue::AppendQueue;

const MIN_BACKOFF: Span = Span::from_millis(50);
const MAX_BACKOFF: Span = Span::from_secs(2);

#[derive(Debug)]
enum Phase<R> {
    /// Reading the log up to its end.
    Replaying,
    /// All known segments are applied, and none is being written.
    Idle,
    /// The create of the segment is due or in flight.
    Writing { segment: Segment<R>, tickets: Vec<Ticket> },
    /// Reading the object after the create found one or got no response.
    Resolving { segment: Segment<R>, tickets: Vec<Ticket> },
}

/// The log state machine.
#[derive(Debug)]
pub struct Log<R> {
    commit_interval: Span,
    next_sequence: u64,
    queue: AppendQueue<R>,
    phase: Phase<R>,
    /// Whether a create or fetch has no response yet.
    in_flight: bool,
    retry_at: Option<Time>,
    backoff: Span,
    /// Earliest time of the next create.
    next_create: Time,
    /// When the last create or fetch was sent.
    sent_at: Time,
    synced_at: Time,
    paused: bool,
}

impl<R: Clone + Serialize + for<'de> Deserialize<'de>> Log<R> {
    /// A log that first replays the existing segments.
    ///
    /// `incarnation` must differ between restarts of a host; `commit_interval` is the minimum time
    /// between two creates.
    #[must_use]
    pub fn new(writer: HostId, incarnation: u64, commit_interval: Span) -> Self {
        Self {
            commit_interval,
            next_sequence: 0,
            queue: AppendQueue::new(writer, incarnation),
            phase: Phase::Replaying,
            in_flight: false,
            retry_at: Some(Time(0)),
            backoff: MIN_BACKOFF,
            next_create: Time(0),
            sent_at: Time(0),
            synced_at: Time(0),
            paused: false,
        }
    }

    /// Sequence number of the next segment.
    #[must_use]
    pub const fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Whether all segments found by the last replay are applied, and no replay is under way.
    #[must_use]
    pub const fn is_synced(&self) -> bool {
        !matches!(self.phase, Phase::Replaying)
    }

    /// Whether the last create or fetch failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.backoff > MIN_BACKOFF
    }

    /// Time since the create or fetch in flight was sent; zero if there is none.
    #[must_use]
    pub const fn wait_time(&self, now: Time) -> Span {
        if self.in_flight { now.since(self.sent_at) } else { Span::ZERO }
    }

    /// Time as of which all segments are known to be applied.
    #[must_use]
    pub const fn synced_at(&self) -> Time {
        self.synced_at
    }

    /// Number of appends that are not committed.
    #[must_use]
    pub fn backlog(&self) -> usize {
        let writing = match &self.phase {
            Phase::Writing { tickets, .. } | Phase::Resolving { tickets, .. } => tickets.len(),
            Phase::Replaying | Phase::Idle => 0,
        };
        writing + self.queue.len()
    }

    /// Latest time of the next tick; `None` while a create or fetch is in flight or
    /// nothing is due.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        if self.in_flight {
            return None;
        }
        match self.phase {
            Phase::Idle if self.queue.is_empty() || self.paused => None,
            Phase::Idle => Some(self.next_create),
            _ => self.retry_at,
        }
    }

    /// While paused, the log starts no new segment, but continues to read.
    pub const fn set_paused(&mut self, paused: bool) {
        self.paused = paused;
    }

    /// Removes and returns the appends that are not part of a segment yet.
    pub fn take_pending(&mut self) -> Vec<(Ticket, R)> {
        self.queue.take()
    }

    /// Handles an event and returns the resulting actions, in order.
    pub fn handle(&mut self, now: Time, event: LogEvent<R>) -> Vec<LogAction<R>> {
        let mut actions = Vec::new();
        match event {
            LogEvent::Append(ticket, record) => self.queue.push(ticket, record),
            LogEvent::Created(sequence) => self.handle_created(sequence, &mut actions),
            LogEvent::Exists(sequence) => self.handle_exists(now, sequence),
            LogEvent::Failed(sequence) => self.handle_failed(now, sequence),
            LogEvent::Fetched(sequence, segment) => {
                self.handle_fetched(now, sequence, segment, &mut actions);
            }
            LogEvent::Refresh => self.handle_refresh(now),
            LogEvent::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    fn handle_refresh(&mut self, now: Time) {
        if matches!(self.phase, Phase::Idle) {
            self.phase = Phase::Replaying;
            self.retry_at = Some(now);
        }
    }

    fn handle_created(&mut self, sequence: u64, actions: &mut Vec<LogAction<R>>) {
        if sequence != self.next_sequence {
            return;
        }
        if let Phase::Writing { segment, tickets } = mem::replace(&mut self.phase, Phase::Idle) {
            self.handle_response();
            self.schedule_create();
            self.synced_at = self.sent_at;
            self.commit(segment, tickets, actions);
        }
    }

    fn handle_exists(&mut self, now: Time, sequence: u64) {
        if sequence != self.next_sequence {
            return;
        }
        match mem::replace(&mut self.phase, Phase::Replaying) {
            Phase::Writing { segment, tickets } => {
                self.phase = Phase::Resolving { segment, tickets };
                self.handle_response();
                self.schedule_create();
                self.retry_at = Some(now);
            }
            other => self.phase = other,
        }
    }

    fn handle_failed(&mut self, now: Time, sequence: u64) {
        if sequence != self.next_sequence || !self.in_flight {
            return;
        }
        self.in_flight = false;
        self.retry_at = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.phase = match mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Writing { segment, tickets } => Phase::Resolving { segment, tickets },
            other => other,
        };
    }

    fn handle_fetched(
        &mut self,
        now: Time,
        sequence: u64,
        segment: Option<Segment<R>>,
        actions: &mut Vec<LogAction<R>>,
    ) {
        let is_reading = matches!(self.phase, Phase::Replaying | Phase::Resolving { .. });
        if sequence != self.next_sequence || !self.in_flight || !is_reading {
            return;
        }
        self.handle_response();
        self.retry_at = Some(now);
        match (mem::replace(&mut self.phase, Phase::Replaying), segment) {
            (Phase::Resolving { segment, tickets }, Some(stored)) => {
                self.resolve(segment, tickets, stored, actions);
            }
            (Phase::Resolving { segment, tickets }, None) => {
                self.phase = Phase::Idle;
                self.reject(segment, tickets, actions);
            }
            (Phase::Replaying, Some(stored)) => self.commit(stored, Vec::new(), actions),
            (Phase::Replaying, None) => {
                self.synced_at = self.sent_at;
                self.phase = Phase::Idle;
            }
            (other, _) => self.phase = other,
        }
    }

    /// Applies the stored object, which is this log's own segment if its create took effect.
    fn resolve(
        &mut self,
        own: Segment<R>,
        tickets: Vec<Ticket>,
        stored: Segment<R>,
        actions: &mut Vec<LogAction<R>>,
    ) {
        if own.attempt == stored.attempt {
            self.phase = Phase::Idle;
            self.commit(own, tickets, actions);
            return;
        }
        self.commit(stored, Vec::new(), actions);
        self.reject(own, tickets, actions);
    }

    /// Rejects all appends that are not committed.
    fn reject(&mut self, own: Segment<R>, tickets: Vec<Ticket>, actions: &mut Vec<LogAction<R>>) {
        let mut rejected: Vec<_> = tickets.into_iter().zip(own.records).collect();
        rejected.append(&mut self.queue.take());
        actions.push(LogAction::Reject(rejected));
    }

    fn commit(
        &mut self,
        segment: Segment<R>,
        tickets: Vec<Ticket>,
        actions: &mut Vec<LogAction<R>>,
    ) {
        actions.push(LogAction::Apply(self.next_sequence, segment, tickets));
        self.next_sequence += 1;
    }

    const fn handle_response(&mut self) {
        self.in_flight = false;
        self.backoff = MIN_BACKOFF;
    }

    /// Delays the next create until the commit interval has passed since the last one.
    fn schedule_create(&mut self) {
        self.next_create = self.sent_at + self.commit_interval;
    }

    fn advance(&mut self, now: Time, actions: &mut Vec<LogAction<R>>) {
        if self.in_flight {
            return;
        }
        let may_write = !self.paused && now >= self.next_create;
        if matches!(self.phase, Phase::Idle) && !self.queue.is_empty() && may_write {
            let (segment, tickets) = self.queue.next_segment();
            self.phase = Phase::Writing { segment, tickets };
            self.retry_at = Some(now);
        }
        if self.retry_at.is_none_or(|at| now < at) {
            return;
        }
        match &self.phase {
            Phase::Idle => return,
            Phase::Replaying | Phase::Resolving { .. } => {
                actions.push(LogAction::Fetch(self.next_sequence));
            }
            Phase::Writing { segment, .. } => {
                actions.push(LogAction::Create(self.next_sequence, segment.clone()));
            }
        }
        self.in_flight = true;
        self.sent_at = now;
    }
}
