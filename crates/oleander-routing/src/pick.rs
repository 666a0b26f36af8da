//! A request for a target and the answer to it.

use std::fmt;

use oleander_core::{Span, TargetId, Time};

/// The kind of work that asks for a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Class {
    /// A caller waits for the answer.
    Online,
    /// An item of a batch job; makes room for online requests.
    Batch,
}

/// One request or item under way at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The place of an online request in the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TicketId(pub u64);

/// A request for a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pick {
    /// Kind of work.
    pub class: Class,
    /// Hash of the prompt prefix that a target may have in its cache.
    pub prefix: Option<u64>,
    /// Targets that must not be used, such as the one that just failed this request.
    pub exclude: Vec<TargetId>,
    /// Accepts only a target with no other batch item of this host.
    pub alone: bool,
    /// Accepts only a target in this host's data centre, while any there is in use.
    pub same_zone: bool,
    /// Place in the queue, from [`Router::ticket`](crate::Router::ticket).
    pub ticket: Option<TicketId>,
    /// Latest useful time to be sent.
    pub deadline: Option<Time>,
}

impl Pick {
    /// A pick for an online request with its place in the queue.
    #[must_use]
    pub const fn online(ticket: TicketId) -> Self {
        let mut pick = Self::of_class(Class::Online);
        pick.ticket = Some(ticket);
        pick
    }

    /// A pick for a batch item.
    #[must_use]
    pub const fn batch() -> Self {
        Self::of_class(Class::Batch)
    }

    /// A pick without any preference.
    #[must_use]
    pub const fn of_class(class: Class) -> Self {
        Self {
            class,
            prefix: None,
            exclude: Vec::new(),
            alone: false,
            same_zone: false,
            ticket: None,
            deadline: None,
        }
    }

    /// Prefers targets that have this prompt prefix in their cache.
    #[must_use]
    pub const fn prefix(mut self, prefix: u64) -> Self {
        self.prefix = Some(prefix);
        self
    }

    /// Leaves out these targets.
    #[must_use]
    pub fn exclude(mut self, targets: Vec<TargetId>) -> Self {
        self.exclude = targets;
        self
    }

    /// Accepts only a target with no other batch item of this host.
    #[must_use]
    pub const fn alone(mut self) -> Self {
        self.alone = true;
        self
    }

    /// Accepts only a target in this host's data centre, while any there is in use.
    #[must_use]
    pub const fn same_zone(mut self, same_zone: bool) -> Self {
        self.same_zone = same_zone;
        self
    }

    /// Sets the latest useful time to be sent.
    #[must_use]
    pub const fn deadline(mut self, deadline: Time) -> Self {
        self.deadline = Some(deadline);
        self
    }
}

/// What to do with a request that asked for a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send it now.
    Send {
        /// Where to.
        target: TargetId,
        /// To be ended by exactly one final observation.
        lease: LeaseId,
        /// Batch items that must make room on that target now.
        yields: u32,
    },
    /// Ask again after the next change, or at [`Router::next_wake`](crate::Router::next_wake).
    Wait,
    /// Give up now; nothing was sent.
    Refuse {
        /// Earliest sensible time to ask again.
        retry_after: Span,
    },
}
