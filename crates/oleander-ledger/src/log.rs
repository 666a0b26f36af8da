//! A log of named creates.
//!
//! The writer appends records; the log groups them into one segment at a time and creates the
//! object of the next sequence number. A create that meets a foreign object applies that object
//! first and returns the records that were not committed, so that the caller decides again. A
//! create without an answer is settled by reading the object: if it is not there, its records
//! are returned too and go into a segment of another attempt. The former create may still take
//! effect later; the next one then meets it like a foreign object.

use std::mem;

use oleander_core::{AttemptId, HostId, Span, Time};
use serde::{Deserialize, Serialize};

use crate::segment::{MAX_SEGMENT_BYTES, Segment};

const FIRST_BACKOFF: Span = Span::from_millis(50);
const MAX_BACKOFF: Span = Span::from_secs(2);
/// Bytes of a segment that are not records, rounded up.
const SEGMENT_OVERHEAD: usize = 512;

/// Names an append towards its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What the log is told.
#[derive(Debug, Clone, PartialEq)]
pub enum LogEvent<R> {
    /// Commit a record.
    Append(Ticket, R),
    /// The create of this sequence number was answered: it is new.
    Created(u64),
    /// The create of this sequence number met an object.
    Exists(u64),
    /// The create or fetch of this sequence number has no answer.
    Failed(u64),
    /// The object of this sequence number, if any.
    Fetched(u64, Option<Segment<R>>),
    /// Read on from the end of what is known.
    Refresh,
    /// Time has passed.
    Tick,
}

/// What the log asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum LogAction<R> {
    /// Create the object of this sequence number.
    Create(u64, Segment<R>),
    /// Read the object of this sequence number.
    Fetch(u64),
    /// A segment is committed; the tickets name the own appends in it, in record order.
    Apply(u64, Segment<R>, Vec<Ticket>),
    /// Appends that were not committed because a foreign segment came first.
    Reject(Vec<(Ticket, R)>),
}

#[derive(Debug)]
enum Phase<R> {
    /// Reading what others wrote, up to the end.
    Replaying,
    /// All known segments are applied.
    Idle,
    /// A create is under way or must be repeated.
    Writing { segment: Segment<R>, tickets: Vec<Ticket> },
    /// Reading the object that a create met.
    Settling { segment: Segment<R>, tickets: Vec<Ticket> },
}

/// The log state machine.
#[derive(Debug)]
pub struct Log<R> {
    writer: HostId,
    incarnation: u64,
    interval: Span,
    next_sequence: u64,
    pending: Vec<(Ticket, R)>,
    phase: Phase<R>,
    waiting: bool,
    retry_at: Option<Time>,
    backoff: Span,
    earliest: Time,
    asked_at: Time,
    synced_at: Time,
    writes: u64,
    paused: bool,
}

impl<R: Clone + Serialize + for<'de> Deserialize<'de>> Log<R> {
    /// A log that will first replay what stands.
    ///
    /// `incarnation` must differ between restarts of a host; `interval` is the least time between
    /// two creates.
    #[must_use]
    pub fn new(writer: HostId, incarnation: u64, interval: Span) -> Self {
        Self {
            writer,
            incarnation,
            interval,
            next_sequence: 0,
            pending: Vec::new(),
            phase: Phase::Replaying,
            waiting: false,
            retry_at: Some(Time(0)),
            backoff: FIRST_BACKOFF,
            earliest: Time(0),
            asked_at: Time(0),
            synced_at: Time(0),
            writes: 0,
            paused: false,
        }
    }

    /// The next sequence number.
    #[must_use]
    pub const fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Whether all that stood when the log was opened is applied.
    #[must_use]
    pub const fn is_synced(&self) -> bool {
        !matches!(self.phase, Phase::Replaying)
    }

    /// Whether the last call of the platform failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.backoff > FIRST_BACKOFF
    }

    /// How long the platform has owed an answer.
    #[must_use]
    pub const fn wait_time(&self, now: Time) -> Span {
        if self.waiting { now.since(self.asked_at) } else { Span::ZERO }
    }

    /// When the end of the log was last known for sure.
    #[must_use]
    pub const fn synced_at(&self) -> Time {
        self.synced_at
    }

    /// Number of appends that are not committed.
    #[must_use]
    pub fn backlog(&self) -> usize {
        let writing = match &self.phase {
            Phase::Writing { tickets, .. } | Phase::Settling { tickets, .. } => tickets.len(),
            Phase::Replaying | Phase::Idle => 0,
        };
        writing + self.pending.len()
    }

    /// When to send the next tick at the latest; `None` while waiting for an answer or idle.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        if self.waiting {
            return None;
        }
        match self.phase {
            Phase::Idle if self.pending.is_empty() || self.paused => None,
            Phase::Idle => Some(self.earliest),
            _ => self.retry_at,
        }
    }

    /// Starts no new create while paused; reading goes on.
    pub const fn set_paused(&mut self, paused: bool) {
        self.paused = paused;
    }

    /// Takes back the appends that no create holds.
    pub fn take_pending(&mut self) -> Vec<(Ticket, R)> {
        mem::take(&mut self.pending)
    }

    /// Takes one event and returns what to do, in order.
    pub fn handle(&mut self, now: Time, event: LogEvent<R>) -> Vec<LogAction<R>> {
        let mut actions = Vec::new();
        match event {
            LogEvent::Append(ticket, record) => self.pending.push((ticket, record)),
            LogEvent::Created(sequence) => self.on_created(sequence, &mut actions),
            LogEvent::Exists(sequence) => self.on_exists(now, sequence),
            LogEvent::Failed(sequence) => self.on_failed(now, sequence),
            LogEvent::Fetched(sequence, segment) => {
                self.on_fetched(now, sequence, segment, &mut actions);
            }
            LogEvent::Refresh => self.on_refresh(now),
            LogEvent::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    fn on_refresh(&mut self, now: Time) {
        if matches!(self.phase, Phase::Idle) {
            self.phase = Phase::Replaying;
            self.retry_at = Some(now);
        }
    }

    fn on_created(&mut self, sequence: u64, actions: &mut Vec<LogAction<R>>) {
        if sequence != self.next_sequence {
            return;
        }
        if let Phase::Writing { segment, tickets } = mem::replace(&mut self.phase, Phase::Idle) {
            self.answered();
            self.space_creates();
            self.synced_at = self.asked_at;
            self.commit(segment, tickets, actions);
        }
    }

    fn on_exists(&mut self, now: Time, sequence: u64) {
        if sequence != self.next_sequence {
            return;
        }
        match mem::replace(&mut self.phase, Phase::Replaying) {
            Phase::Writing { segment, tickets } => {
                self.phase = Phase::Settling { segment, tickets };
                self.answered();
                self.space_creates();
                self.retry_at = Some(now);
            }
            other => self.phase = other,
        }
    }

    fn on_failed(&mut self, now: Time, sequence: u64) {
        if sequence != self.next_sequence || !self.waiting {
            return;
        }
        self.waiting = false;
        self.retry_at = Some(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.phase = match mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Writing { segment, tickets } => Phase::Settling { segment, tickets },
            other => other,
        };
    }

    fn on_fetched(
        &mut self,
        now: Time,
        sequence: u64,
        segment: Option<Segment<R>>,
        actions: &mut Vec<LogAction<R>>,
    ) {
        let is_reading = matches!(self.phase, Phase::Replaying | Phase::Settling { .. });
        if sequence != self.next_sequence || !self.waiting || !is_reading {
            return;
        }
        self.answered();
        self.retry_at = Some(now);
        match (mem::replace(&mut self.phase, Phase::Replaying), segment) {
            (Phase::Settling { segment, tickets }, Some(stored)) => {
                self.settle(segment, tickets, stored, actions);
            }
            (Phase::Settling { segment, tickets }, None) => {
                self.phase = Phase::Idle;
                self.give_back(segment, tickets, actions);
            }
            (Phase::Replaying, Some(stored)) => self.commit(stored, Vec::new(), actions),
            (Phase::Replaying, None) => {
                self.synced_at = self.asked_at;
                self.phase = Phase::Idle;
            }
            (other, _) => self.phase = other,
        }
    }

    /// Decides who wrote the object that a create met.
    fn settle(
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
        self.give_back(own, tickets, actions);
    }

    /// Returns all appends that are not committed.
    fn give_back(
        &mut self,
        own: Segment<R>,
        tickets: Vec<Ticket>,
        actions: &mut Vec<LogAction<R>>,
    ) {
        let mut returned: Vec<_> = tickets.into_iter().zip(own.records).collect();
        returned.append(&mut self.pending);
        actions.push(LogAction::Reject(returned));
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

    const fn answered(&mut self) {
        self.waiting = false;
        self.backoff = FIRST_BACKOFF;
    }

    /// Keeps the next create apart from the one that was answered.
    fn space_creates(&mut self) {
        self.earliest = self.asked_at + self.interval;
    }

    fn advance(&mut self, now: Time, actions: &mut Vec<LogAction<R>>) {
        if self.waiting {
            return;
        }
        let may_write = !self.paused && now >= self.earliest;
        if matches!(self.phase, Phase::Idle) && !self.pending.is_empty() && may_write {
            self.phase = self.fill_segment();
            self.retry_at = Some(now);
        }
        if self.retry_at.is_none_or(|at| now < at) {
            return;
        }
        match &self.phase {
            Phase::Idle => return,
            Phase::Replaying | Phase::Settling { .. } => {
                actions.push(LogAction::Fetch(self.next_sequence));
            }
            Phase::Writing { segment, .. } => {
                actions.push(LogAction::Create(self.next_sequence, segment.clone()));
            }
        }
        self.waiting = true;
        self.asked_at = now;
    }

    /// Takes as many pending records as one segment holds.
    fn fill_segment(&mut self) -> Phase<R> {
        let mut size = SEGMENT_OVERHEAD;
        let mut count = 0;
        for (_, record) in &self.pending {
            size += encoded_len(record);
            if count > 0 && size > MAX_SEGMENT_BYTES {
                break;
            }
            count += 1;
        }
        self.writes += 1;
        let (tickets, records) = self.pending.drain(..count).unzip();
        let segment = Segment { writer: self.writer.clone(), attempt: self.attempt(), records };
        Phase::Writing { segment, tickets }
    }

    fn attempt(&self) -> AttemptId {
        let text = format!("{}:{}:{}", self.writer, self.incarnation, self.writes);
        AttemptId::try_from(text).unwrap_or_else(|_| unreachable!("host ids leave room"))
    }
}

fn encoded_len<R: Serialize>(record: &R) -> usize {
    postcard::experimental::serialized_size(record).unwrap_or(MAX_SEGMENT_BYTES)
}
