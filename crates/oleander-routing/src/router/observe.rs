//! Observations of requests in flight: latency samples, outcomes and the end of leases.

use oleander_core::{Span, TargetId, Time, Tokens};

use super::Router;
use crate::{
    outcome::{Failure, Observation},
    pick::{Class, LeaseId},
};

/// One request or item in flight.
#[derive(Debug, Clone)]
pub(super) struct Lease {
    pub(super) target: TargetId,
    pub(super) class: Class,
    pub(super) started: Time,
    pub(super) last_output: Option<Time>,
}

impl Router {
    /// Applies an observation of a lease; a final one ends the lease.
    ///
    /// Observations of a lease that has ended are ignored.
    pub fn observe(&mut self, now: Time, lease: LeaseId, outcome: Observation) {
        self.advance(now);
        match outcome {
            Observation::FirstOutput => self.first_output(now, lease),
            Observation::Output { tokens } => self.output(now, lease, tokens),
            Observation::Done => self.end(now, lease, LeaseEnd::Answered),
            Observation::Failed(failure) => self.end(now, lease, failure.into()),
            Observation::Cancelled => self.end(now, lease, LeaseEnd::Cancelled),
        }
    }

    fn first_output(&mut self, now: Time, id: LeaseId) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        if lease.last_output.replace(now).is_some() {
            return;
        }
        let took = now.since(lease.started);
        let class = lease.class;
        let name = lease.target.clone();
        if let Some(backend) = self.backend_mut(&name) {
            backend.prefilling -= 1;
        }
        if class == Class::Batch {
            return;
        }
        self.ejector.record_first_token(now, &name, took);
        if let Some(backend) = self.backend_mut(&name) {
            backend.limit.record_first_token(now, took);
        }
    }

    fn output(&mut self, now: Time, id: LeaseId, tokens: Tokens) {
        let Some(lease) = self.leases.get_mut(&id) else { return };
        let Some(last) = lease.last_output else { return };
        lease.last_output = Some(now);
        if tokens.0 == 0 {
            return;
        }
        let took = Span(now.since(last).0 / tokens.0);
        let name = lease.target.clone();
        if let Some(backend) = self.backend_mut(&name) {
            backend.limit.record_between_tokens(now, took);
        }
    }

    fn end(&mut self, now: Time, id: LeaseId, end: LeaseEnd) {
        let Some(lease) = self.leases.remove(&id) else { return };
        if lease.class == Class::Online && end == LeaseEnd::Answered {
            self.queue.record_service_time(now.since(lease.started));
        }
        if lease.class == Class::Batch {
            self.record_batch_activity(now);
        }
        if lease.class == Class::Batch && end == LeaseEnd::Answered {
            self.record_batch_service_time(now.since(lease.started));
        }
        match end {
            LeaseEnd::Answered => self.ejector.record_success(now, &lease.target),
            LeaseEnd::Fault => self.ejector.record_fault(now, &lease.target),
            LeaseEnd::Unreachable => self.ejector.record_unreachable(now, &lease.target),
            LeaseEnd::Cancelled => {}
        }
        if let Some(backend) = self.backend_mut(&lease.target) {
            if end == LeaseEnd::Cancelled && backend.batch_started == Some(lease.started) {
                backend.batch_started = None;
            }
            backend.finish(now, lease.class, lease.last_output.is_none());
            backend.probe = backend.probe.filter(|probe| *probe != id);
        }
    }
}

/// How a lease ended, as evidence on the state of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaseEnd {
    Answered,
    Fault,
    Unreachable,
    Cancelled,
}

impl From<Failure> for LeaseEnd {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NoCapacity => Self::Cancelled,
            failure if failure.is_unreachable() => Self::Unreachable,
            failure if failure.is_target_fault() => Self::Fault,
            _ => Self::Answered,
        }
    }
}
