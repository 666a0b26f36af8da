//! Choice of the target that a pending request goes to next.

use std::sync::Arc;

use oleander_core::{Span, Time};
use oleander_host::clock;
use oleander_routing::{Pick, TicketId};

use super::PendingRequest;
use crate::{
    lease::{TargetLease, Ticket},
    pool::{AcquireError, Pool, VersionChoice},
    retry::NextStep,
    sink::ResponseSink,
    transport::TargetTransport,
    version::SoftwareVersion,
};

impl<T: TargetTransport> PendingRequest<'_, T> {
    /// Waits for a target that has not failed this request, as long as the caller does.
    pub(super) async fn acquire_next<S: ResponseSink>(
        &mut self,
        pool: &Arc<Pool>,
        sink: &S,
    ) -> Result<TargetLease, NextStep> {
        let (relay, deadline, may_refuse) = (self.relay, self.deadline, !self.head_sent);
        if self.version.as_ref().is_some_and(SoftwareVersion::is_unlisted) {
            self.summary.attempts.push("the version that began the stream is not known".to_owned());
            return Err(self.give_up());
        }
        let lease = tokio::select! {
            lease = self.acquire(pool) => lease,
            () = sink.closed() => return Err(NextStep::Cancelled),
            () = relay.exit.earlier_than(deadline), if may_refuse => {
                return Err(self.refuse_stopping());
            }
        };
        lease.map_err(|error| {
            let text = match &error {
                AcquireError::NoCapacity(_) => {
                    let (waiting, targets) = (pool.waiting(), pool.len());
                    format!("no capacity: {waiting} requests wait for {targets} targets")
                }
                AcquireError::Blocked(parts, _) => format!("blocked: {parts} crash targets"),
                AcquireError::Disconnected => "no target is reached".to_owned(),
            };
            self.summary.attempts.push(text);
            let retry_after = error.retry_after();
            if self.head_sent { NextStep::Abort } else { self.retry.refuse(retry_after) }
        })
    }

    /// The version that began the stream which the caller resumes, if a target still serves it.
    pub(super) async fn resolve_version(&mut self, pool: &Pool) -> Option<SoftwareVersion> {
        let service = self.route.service(self.request.first_id())?;
        let stream = self.request.resumed_stream();
        let Some(version) = self.relay.pools.streams.resolve(service, stream).await else {
            self.summary.attempts.push("the version that began the stream is not known".to_owned());
            return None;
        };
        let streams = &self.relay.pools.streams;
        if !pool.serves_version(&version) {
            // Another host may have told of a version before the list does.
            streams.confirm().await;
        }
        if !pool.serves_version(&version) {
            self.summary
                .attempts
                .push(format!("no target serves {version}, which began the stream"));
            return None;
        }
        Some(version)
    }

    /// The versions that may take this request.
    pub(super) fn versions(&self) -> VersionChoice {
        match &self.version {
            Some(version) => VersionChoice::Only(version.clone()),
            None if self.route.is_stream() => VersionChoice::Established,
            None => VersionChoice::Any,
        }
    }

    async fn acquire(&mut self, pool: &Arc<Pool>) -> Result<TargetLease, AcquireError> {
        let started = clock::steady();
        if self.version.is_some() {
            self.relay.pools.streams.confirm_as_of(self.list_needed).await;
        } else if self.route.is_stream() && pool.needs_list() {
            self.relay.pools.streams.request_list();
        }
        let ticket = Ticket::new(pool);
        let pick = self.pick(started, ticket.id, pool.service_time());
        let versions = self.versions();
        let excluding = match self.retry.take_left() {
            Some(target) => pick.clone().exclude(pool.all_but(&target)),
            None => self.excluding_failed(pool, &pick, &versions),
        };
        let mut lease = pool.acquire_version(&excluding, &versions, &self.parts).await;
        if lease.is_err() && self.head_sent {
            // No other target is available; the one that failed may have recovered.
            lease = pool.acquire_version(&pick, &versions, &self.parts).await;
        }
        self.summary.waited = self.summary.waited + clock::steady().since(started);
        lease
    }

    /// The pick of a further attempt: at none of the targets that have failed, unless no other one
    /// takes the request.
    fn excluding_failed(&self, pool: &Pool, pick: &Pick, versions: &VersionChoice) -> Pick {
        let failed = self.retry.failed_targets();
        if failed.is_empty() {
            return pick.clone();
        }
        let others = pick.clone().exclude(failed.to_vec());
        if pool.has_usable(&others, versions) { others } else { pick.clone() }
    }

    /// The pick of this request, which may wait for as long as it can still be served.
    ///
    /// A stream whose head has been sent, now or to an earlier attempt, has no latency goal any more,
    /// and may be short.
    fn pick(&self, now: Time, ticket: TicketId, service_time: Span) -> Pick {
        let pick = Pick::online(ticket).size(self.relay.transport.size(self.request));
        if self.head_sent || self.request.resume_after.is_some() {
            return pick.deadline(self.deadline);
        }
        let (received, goal) = (self.request.received, self.route.latency_goal);
        let mut latest = self.deadline - service_time;
        if let Some(timeout) = self.route.caller_timeout {
            // The first event may take as long as the goal.
            latest = latest.min((received + timeout) - goal);
        }
        pick.goal(received + goal).deadline(latest.max(now + goal).min(self.deadline))
    }
}
