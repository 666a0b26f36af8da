//! Decisions about one read: whom to ask, when, and what answers it. Without I/O.

use std::{collections::HashMap, time::Duration};

use oleander_core::Span;
use tokio::time::Instant;

use crate::{
    record::{JobPhase, Owner},
    row::Page,
    rows::Seen,
};

/// Time from the end of a reader's wait within which a read is answered. Readers leave later.
const ANSWER_TIME: Duration = Duration::from_millis(1_200);
/// Timeout for a call to the owner, on top of the wait that a reader asked for.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that the owner has to answer, on top of a wait, before the platform is asked as well.
const OWNER_DELAY: Duration = Duration::from_millis(250);
/// Time for which more results are waited for when there are some.
const PAGE_DELAY: Duration = Duration::from_millis(200);
/// Time for which an owner that did not answer counts as silent.
const SILENT_TIME: Duration = Duration::from_secs(5);

/// Times of one read.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadTimes {
    pub(crate) arrived: Instant,
    /// Wait that the reader asked for.
    pub(crate) wait: Duration,
}

impl ReadTimes {
    pub(crate) const fn new(arrived: Instant, wait: Span) -> Self {
        Self { arrived, wait: wait.to_duration() }
    }

    /// Time by which the read is answered.
    pub(crate) fn deadline(self) -> Instant {
        self.arrived + self.wait + ANSWER_TIME
    }

    /// Rest of the wait.
    pub(crate) fn rest(self, now: Instant) -> Duration {
        (self.arrived + self.wait).saturating_duration_since(now)
    }

    /// Timeout of a call to the owner that begins now.
    pub(crate) fn owner_timeout(self, now: Instant) -> Duration {
        self.rest(now) + OWNER_TIMEOUT
    }
}

/// Time that an owner has before the platform is asked as well.
///
/// The owner of an open job may use the wait that the reader asked for.
pub(crate) fn owner_delay(phase: JobPhase, wait: Duration, is_silent: bool) -> Duration {
    match phase {
        _ if is_silent => Duration::ZERO,
        JobPhase::Open => wait + OWNER_DELAY,
        JobPhase::Cancelled | JobPhase::Done => OWNER_DELAY,
    }
}

/// Whether the owner of a job is asked; what a silent one has of a job that is no longer open is
/// at the platform.
pub(crate) const fn asks_owner(phase: JobPhase, is_silent: bool) -> bool {
    matches!(phase, JobPhase::Open) || !is_silent
}

/// What becomes of a read.
#[derive(Debug)]
pub(crate) enum Choice<T> {
    /// It is answered by this.
    Answer(T),
    /// There is nothing that it could be answered by.
    Nothing,
    /// It waits for news, until then at most.
    Wait(Instant),
    /// It can't be answered in time.
    Unknown,
}

/// Decides on a page of results.
///
/// An empty page says that nobody has read more: its proof is a read of the platform that began after
/// the arrival, and the owner, which knows more, must have failed to answer.
pub(crate) fn choose_page<E>(
    now: Instant,
    times: ReadTimes,
    asked: Instant,
    seen: Seen<Page<E>>,
    owner_pending: bool,
) -> Choice<Page<E>> {
    let deadline = times.deadline();
    let Some(page) = seen.found else {
        let is_empty = seen.is_end && (!owner_pending || now >= deadline);
        return if is_empty { Choice::Nothing } else { wait_until(now, deadline) };
    };
    let page_at = deadline.min(asked + PAGE_DELAY);
    if page.is_full || seen.is_end || now >= page_at {
        return Choice::Answer(page);
    }
    Choice::Wait(page_at)
}

/// Decides on the body of an item that the owner has not answered for.
///
/// A body is given only if the item has no result, by a read of the log that began after the arrival.
pub(crate) fn choose_body<E>(
    now: Instant,
    times: ReadTimes,
    listed: &Seen<()>,
    stored: Seen<E>,
) -> Choice<E> {
    if listed.found.is_some() {
        return Choice::Nothing;
    }
    match stored.found {
        Some(item) if listed.is_end => Choice::Answer(item),
        None if listed.is_end && stored.is_end => Choice::Nothing,
        _ => wait_until(now, times.deadline()),
    }
}

fn wait_until<T>(now: Instant, deadline: Instant) -> Choice<T> {
    if now >= deadline { Choice::Unknown } else { Choice::Wait(deadline) }
}

/// Owners that did not answer a short time ago, and when they did not.
#[derive(Debug, Clone, Default)]
pub(crate) struct SilentOwners(HashMap<Owner, Instant>);

impl SilentOwners {
    /// Notes that an owner did not answer in time.
    pub(crate) fn note(&mut self, now: Instant, owner: Owner) {
        self.0.retain(|_, noted| now < *noted + SILENT_TIME);
        self.0.insert(owner, now);
    }

    /// Notes that an owner has answered.
    pub(crate) fn heard(&mut self, owner: &Owner) {
        self.0.remove(owner);
    }

    /// Whether an owner did not answer a short time ago.
    pub(crate) fn is_silent(&self, now: Instant, owner: &Owner) -> bool {
        self.0.get(owner).is_some_and(|noted| now < *noted + SILENT_TIME)
    }
}
