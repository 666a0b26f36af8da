//! A target reserved for one request, and a request's place in the queue for one.

use std::{fmt, sync::Arc};

use oleander_core::{Span, Time};
use oleander_host::clock;
use oleander_quarantine::{RequestParts, TargetRun};
use oleander_routing::{Class, Failure, LeaseId, LoadReport, Observation, RequestRate, TicketId};

use crate::{pool::Pool, quarantine::AloneRun, target_list::TargetEntry};

/// A target reserved for one request; the reservation ends on drop.
pub struct TargetLease {
    pub(crate) pool: Arc<Pool>,
    pub(crate) id: LeaseId,
    pub(crate) ended: bool,
    /// Parts of the request, by which a crash of the target is attributed.
    pub(crate) parts: Arc<RequestParts>,
    /// When the target was reserved, right before the request is sent.
    pub(crate) sent: Time,
    /// Rate that the target stated in its response, if any.
    pub(crate) rate_limit: Option<RequestRate>,
    /// Whether the target has sent output for this request.
    pub(crate) has_output: bool,
    /// Whether the target broke off, rather than that it was left because it was silent.
    pub(crate) broke_off: bool,
    /// Whether it is an online request or a batch item, which crashes no targets.
    pub(crate) class: Class,
    /// Whether the target refused the connection.
    pub(crate) is_refused: bool,
    /// Keeps the same request from running here meanwhile, if it may only run alone.
    pub(crate) alone: Option<AloneRun>,
    /// The run that it was in when it was selected.
    pub(crate) run: TargetRun,
    /// The target.
    pub target: TargetEntry,
    /// Load of the target when it was selected, including this request.
    pub load: TargetLoad,
}

/// Work in flight at a target, over all known hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TargetLoad {
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
    /// Concurrency limit in force.
    pub limit: u32,
}

impl fmt::Display for TargetLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "online {} batch {} of {}", self.online, self.batch, self.limit)
    }
}

impl fmt::Display for TargetLease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} ({})", self.target.id, self.target.version, self.load)?;
        self.rate_limit.map_or(Ok(()), |rate| write!(f, " takes {rate}"))
    }
}

/// A place in the queue of a pool, released when dropped.
pub(crate) struct Ticket<'a> {
    pool: &'a Pool,
    pub(crate) id: TicketId,
}

impl<'a> Ticket<'a> {
    /// Takes the next place.
    pub(crate) fn new(pool: &'a Pool) -> Self {
        Self { pool, id: pool.ticket() }
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        self.pool.release_ticket(self.id);
    }
}

/// Tells whether the run of a target that a lease was for has crashed.
#[derive(Clone)]
pub struct CrashWatch {
    pool: Arc<Pool>,
    run: TargetRun,
}

impl CrashWatch {
    /// Whether the run is known to have crashed.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.pool.quarantine.has_crashed(&self.run, Span(u64::MAX))
    }
}

impl TargetLease {
    /// Tells whether the target crashes, also after the end of the lease.
    #[must_use]
    pub fn crash_watch(&self) -> CrashWatch {
        CrashWatch { pool: Arc::clone(&self.pool), run: self.run.clone() }
    }

    /// Records an observation of the request.
    pub fn observe(&mut self, observation: Observation) {
        if self.ended {
            return;
        }
        self.ended = observation.is_final();
        self.broke_off |= observation == Observation::Failed(Failure::BrokenStream);
        let was_left = matches!(
            observation,
            Observation::Failed(Failure::BrokenStream | Failure::Timeout | Failure::IdleTimeout)
        );
        let may_be_cause = self.class == Class::Online && !self.has_output;
        if was_left && may_be_cause && !self.target.leaving {
            self.pool.quarantine.record_break(&self.run, &self.parts);
        }
        self.pool.observe(self.id, observation);
    }

    /// Records that the target has sent output, also for a stream that goes on here.
    pub(crate) fn record_output(&mut self) {
        if !std::mem::replace(&mut self.has_output, true) {
            self.pool.quarantine.record_output(&self.parts);
            self.alone = None;
        }
        self.pool.record_life(clock::steady(), &self.run, &self.target, self.sent);
        self.record_sign();
    }

    /// Records that the target is reached.
    pub(crate) fn record_sign(&self) {
        self.pool.record_sign();
    }

    /// Records that the target says that it is about to stop.
    pub(crate) fn record_leaving(&self) {
        self.pool.record_leaving(&self.target);
    }

    /// Records that the target may not be reached.
    pub(crate) fn record_link_failure(&self) {
        self.pool.record_link_failure();
    }

    /// Records the rate that the target names in its response.
    pub(crate) fn record_rate(&mut self, rate: Option<RequestRate>) {
        self.rate_limit = rate;
        self.pool.record_rate(&self.target, self.sent, rate);
    }

    /// Updates the load that the target reported.
    pub fn update_load(&self, load: LoadReport) {
        self.pool.update_load(&self.target.id, load);
    }
}

impl Drop for TargetLease {
    fn drop(&mut self) {
        self.observe(Observation::Cancelled);
    }
}
