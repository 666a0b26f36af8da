//! Requests for a target, and the router's decisions on them.

use std::fmt;

use oleander_core::{Span, TargetId, Time};

/// Class of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Class {
    /// Interactive request: a caller waits for the response.
    Online,
    /// Item of a batch job; yields to online requests.
    Batch,
}

/// Identifies one request or item in flight at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Place of an online request in the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TicketId(pub u64);

/// A request for a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Class of work.
    pub class: Class,
    /// Hash of the prompt prefix, for affinity to targets that have it in their cache.
    pub prefix: Option<u64>,
    /// Targets that must not be used, for example after a failed attempt there.
    pub exclude: Vec<TargetId>,
    /// Whether to accept only targets without another batch item of this host.
    pub alone: bool,
    /// Whether to accept only targets in this host's data centre, as long as any there is usable.
    pub same_zone: bool,
    /// Place in the queue, from [`Router::ticket`](crate::Router::ticket).
    pub ticket: Option<TicketId>,
    /// Time from which the request is late when it is sent; `None` if it never is.
    ///
    /// Late requests are queued behind all others.
    pub goal: Option<Time>,
    /// Latest time at which the request may be sent.
    pub deadline: Option<Time>,
    /// Work of the request in output tokens, if known.
    pub size: Option<u32>,
}

impl Pick {
    /// Creates a pick for an online request with its place in the queue.
    #[must_use]
    pub const fn online(ticket: TicketId) -> Self {
        let mut pick = Self::of_class(Class::Online);
        pick.ticket = Some(ticket);
        pick
    }

    /// Creates a pick for a batch item.
    #[must_use]
    pub const fn batch() -> Self {
        Self::of_class(Class::Batch)
    }

    /// Creates a pick without preferences.
    #[must_use]
    pub const fn of_class(class: Class) -> Self {
        Self {
            class,
            prefix: None,
            exclude: Vec::new(),
            alone: false,
            same_zone: false,
            ticket: None,
            goal: None,
            deadline: None,
            size: None,
        }
    }

    /// Sets the hash of the prompt prefix, for affinity to targets that have it in their cache.
    #[must_use]
    pub const fn prefix(mut self, prefix: u64) -> Self {
        self.prefix = Some(prefix);
        self
    }

    /// Excludes these targets.
    #[must_use]
    pub fn exclude(mut self, targets: Vec<TargetId>) -> Self {
        self.exclude = targets;
        self
    }

    /// Accepts only targets without another batch item of this host.
    #[must_use]
    pub const fn alone(mut self) -> Self {
        self.alone = true;
        self
    }

    /// Sets whether to accept only targets in this host's data centre, as long as any there is
    /// usable.
    #[must_use]
    pub const fn same_zone(mut self, same_zone: bool) -> Self {
        self.same_zone = same_zone;
        self
    }

    /// Sets the time from which the request is late when it is sent.
    #[must_use]
    pub const fn goal(mut self, goal: Time) -> Self {
        self.goal = Some(goal);
        self
    }

    /// Sets the latest time at which the request may be sent.
    #[must_use]
    pub const fn deadline(mut self, deadline: Time) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Sets the work of the request in output tokens, if known.
    #[must_use]
    pub const fn size(mut self, size: Option<u32>) -> Self {
        self.size = size;
        self
    }
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send it now.
    Send {
        /// Target to send it to.
        target: TargetId,
        /// Lease on the target, ended by exactly one final observation.
        lease: LeaseId,
        /// Batch items at that target that must yield now.
        yields: u32,
    },
    /// Ask again after the next event, or at [`Router::next_wake`](crate::Router::next_wake).
    Wait,
    /// Refuse it.
    Refuse {
        /// Time after which the caller should retry.
        retry_after: Span,
    },
}
