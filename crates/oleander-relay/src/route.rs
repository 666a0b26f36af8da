//! Routes: which requests go to which service, with their time limits and retry policy.

use std::fmt;

use oleander_core::{ServiceId, Span, Tokens, hash};

/// Whether a request may be sent again after an interrupted attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryPolicy {
    /// Not at all: the request may run once at most.
    Never,
    /// A stream resumes at another target after the last event.
    Resume,
    /// The request may run again from the start.
    Always,
}

/// The kind of work that a route carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// A single response body.
    Single,
    /// A stream of events.
    Stream,
    /// Batch jobs.
    Batch {
        /// Maximum tokens of unfinished items over all hosts; `None` for no limit.
        backlog: Option<Tokens>,
        /// Time from submission within which all items are due.
        due: Span,
        /// Time from submission after which an item may be dropped.
        retention: Span,
    },
}

/// The share of a route's requests that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TrafficShare {
    /// The service.
    pub service: ServiceId,
    /// Its weight relative to the other shares of the route.
    pub weight: u32,
}

/// A validated route.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name that callers address.
    pub host: String,
    /// Prefix of the matching paths; starts and ends with a slash.
    pub prefix: String,
    /// Kind of work.
    pub kind: RouteKind,
    /// Whether interrupted requests are retried.
    pub retry: RetryPolicy,
    /// Maximum time to the end of the response.
    pub timeout: Span,
    /// Latency objective for the response, or for the first event of a stream.
    pub latency_goal: Span,
    /// Longest pause between events that a caller does not notice.
    pub max_pause: Span,
    /// Time without an event after which callers abandon a stream; `None` if they wait until their
    /// deadline.
    pub caller_timeout: Option<Span>,
    /// Priority; zero is the most urgent.
    pub priority: u32,
    /// Maximum number of targets to which one request is sent.
    pub max_attempts: u32,
    /// Services, with a total weight above zero.
    pub shares: Vec<TrafficShare>,
}

/// Why a route is invalid.
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
            Self::Prefix(prefix) => {
                write!(f, "path prefix {prefix:?} must start and end with a slash")
            }
            Self::Shares => f.write_str("no service has a weight above zero"),
        }
    }
}

impl std::error::Error for RouteError {}

impl Route {
    /// Validates the path prefix and the weights.
    ///
    /// # Errors
    ///
    /// Returns an error if the prefix does not start and end with a slash, or if no service has a
    /// weight above zero.
    pub fn validate(self) -> Result<Self, RouteError> {
        if !self.prefix.starts_with('/') || !self.prefix.ends_with('/') {
            return Err(RouteError::Prefix(self.prefix));
        }
        if self.total_weight() == 0 {
            return Err(RouteError::Shares);
        }
        Ok(self)
    }

    fn total_weight(&self) -> u64 {
        self.shares.iter().map(|share| u64::from(share.weight)).sum()
    }

    /// Selects the service for the request `id` by weight; the result is the same on every host.
    #[must_use]
    pub fn service(&self, id: &str) -> Option<&ServiceId> {
        let mut point = hash::hash_parts(&[id]).checked_rem(self.total_weight())?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }

    /// Whether the response is a stream of events.
    #[must_use]
    pub const fn is_stream(&self) -> bool {
        matches!(self.kind, RouteKind::Stream)
    }
}
