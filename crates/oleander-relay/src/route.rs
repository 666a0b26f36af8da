//! Routes: which requests go to which service, and what is allowed on the way.

use std::fmt;

use oleander_core::{ServiceId, Span, Tokens, hash};

/// What may be done when a run of a request broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryPolicy {
    /// Nothing: it may run once at most.
    Never,
    /// A stream goes on at another target after the last event.
    Resume,
    /// It may run again from the start.
    Always,
}

/// The kind of work that a route carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// One answer.
    Single,
    /// A stream of events.
    Stream,
    /// Batch jobs.
    Batch {
        /// Most tokens of unfinished items over all hosts; `None` for no limit.
        backlog: Option<Tokens>,
        /// Time from submission within which all items are due.
        due: Span,
        /// Time from submission after which an item may be given up.
        retention: Span,
    },
}

/// A service's part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TrafficShare {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the shares of the route.
    pub weight: u32,
}

/// A checked route.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that callers address.
    pub host: String,
    /// Beginning of the paths that belong to it; starts and ends with a slash.
    pub prefix: String,
    /// What it carries.
    pub kind: RouteKind,
    /// What may be repeated.
    pub retry: RetryPolicy,
    /// Longest time to the end of the answer.
    pub timeout: Span,
    /// Wanted time to the answer, or to the first event of a stream.
    pub latency_goal: Span,
    /// Longest pause between events that a caller doesn't notice.
    pub max_pause: Span,
    /// Rank; zero is the most urgent.
    pub priority: u32,
    /// Most targets to which one request is sent.
    pub max_attempts: u32,
    /// Services, with a total weight above zero.
    pub shares: Vec<TrafficShare>,
}

/// Why a route is not usable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteError {
    /// The prefix does not start and end with a slash.
    Prefix(String),
    /// No service has a weight above zero.
    Shares,
}

impl fmt::Display for RouteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Prefix(prefix) => write!(f, "path prefix {prefix:?} lacks a slash at an end"),
            Self::Shares => f.write_str("no service has a weight above zero"),
        }
    }
}

impl std::error::Error for RouteError {}

impl Route {
    /// Checks what the type can't express.
    ///
    /// # Errors
    ///
    /// Returns an error for a prefix without slashes at its ends, or without services.
    pub fn validate(self) -> Result<Self, RouteError> {
        if !self.prefix.starts_with('/') || !self.prefix.ends_with('/') {
            return Err(RouteError::Prefix(self.prefix));
        }
        if self.weight() == 0 {
            return Err(RouteError::Shares);
        }
        Ok(self)
    }

    fn weight(&self) -> u64 {
        self.shares.iter().map(|share| u64::from(share.weight)).sum()
    }

    /// The service of the request `id`; the same on every host.
    #[must_use]
    pub fn service(&self, id: &str) -> Option<&ServiceId> {
        let mut point = hash::hash_parts(&[id]).checked_rem(self.weight())?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(&self) -> bool {
        matches!(self.kind, RouteKind::Stream)
    }
}
