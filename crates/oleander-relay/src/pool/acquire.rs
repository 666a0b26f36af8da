//! Reservation of targets for requests and items.

use std::sync::Arc;

use oleander_host::clock;
use oleander_quarantine::{RequestParts, Standing};
use oleander_routing::{Class, Decision, Pick};

use super::{AcquireError, MAX_WAIT, Pool, VersionChoice};
use crate::{lease::TargetLease, quarantine::alone_delay};

impl Pool {
    /// Waits for a target with capacity.
    ///
    /// # Errors
    ///
    /// Returns the time after which a retry may succeed, if no target has capacity in time.
    pub async fn acquire(self: &Arc<Self>, pick: &Pick) -> Result<TargetLease, AcquireError> {
        self.acquire_version(pick, &VersionChoice::Any, &Arc::default()).await
    }

    /// Waits for a target of a permitted version with capacity, for a request with these parts.
    ///
    /// # Errors
    ///
    /// Returns an error if no target has capacity in time, if the parts are blocked, or if this host
    /// reaches no target.
    pub async fn acquire_version(
        self: &Arc<Self>,
        pick: &Pick,
        versions: &VersionChoice,
        parts: &Arc<RequestParts>,
    ) -> Result<TargetLease, AcquireError> {
        let mut has_waited = false;
        let mut alone = None;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.is_disconnected() {
                return Err(AcquireError::Disconnected);
            }
            let standing = self.quarantine.standing(parts);
            match &standing {
                Standing::Blocked { parts, remaining } => {
                    return Err(AcquireError::Blocked(parts.clone(), *remaining));
                }
                Standing::Alone { content } if !std::mem::replace(&mut has_waited, true) => {
                    tokio::time::sleep(alone_delay(&self.host, *content).to_duration()).await;
                    continue;
                }
                Standing::Alone { content } => {
                    alone = alone.or_else(|| self.quarantine.run_alone(*content));
                    if alone.is_none() {
                        let _ = tokio::time::timeout(MAX_WAIT.to_duration(), changed).await;
                        continue;
                    }
                }
                Standing::Clear | Standing::Suspect { .. } => {}
            }
            let (decision, wake) = self.decide(&self.restrict(pick, versions, &standing));
            match decision {
                Decision::Send { target, lease, yields } => {
                    self.request_yields(&target, yields);
                    let lease = self.create_lease(&target, lease, parts);
                    let mut lease = lease.ok_or(AcquireError::NoCapacity(MAX_WAIT))?;
                    if alone.is_some() {
                        metrics::counter!("requests_alone_total").increment(1);
                    }
                    lease.alone = alone;
                    return Ok(lease);
                }
                Decision::Refuse { retry_after } => {
                    return Err(AcquireError::NoCapacity(retry_after));
                }
                Decision::Wait => {
                    let wait = wake.unwrap_or(MAX_WAIT).min(MAX_WAIT);
                    // The router is asked again after a change or a timeout alike.
                    let _ = tokio::time::timeout(wait.to_duration(), changed).await;
                }
            }
        }
    }

    /// Leases a target for a batch item if one has capacity now.
    pub fn try_acquire_batch(self: &Arc<Self>, pick: &Pick) -> Option<TargetLease> {
        self.try_acquire_batch_version(pick, &VersionChoice::Any, &Arc::default())
    }

    /// Whether a target of a permitted version has capacity for a batch item now.
    #[must_use]
    pub fn has_batch_slot(&self, pick: &Pick, versions: &VersionChoice) -> bool {
        let restricted = self.restrict(pick, versions, &Standing::Clear);
        !self.is_disconnected() && self.router.lock().has_batch_slot(clock::steady(), &restricted)
    }

    /// Whether a target of a permitted version takes such a request, now or once it has capacity.
    #[must_use]
    pub fn has_usable(&self, pick: &Pick, versions: &VersionChoice) -> bool {
        let restricted = self.restrict(pick, versions, &Standing::Clear);
        self.router.lock().has_usable(clock::steady(), &restricted)
    }

    /// Leases a target of a permitted version for a batch item with these parts, if one has
    /// capacity now. Items are no cause of crashes, so that blocks don't hold them.
    pub fn try_acquire_batch_version(
        self: &Arc<Self>,
        pick: &Pick,
        versions: &VersionChoice,
        parts: &Arc<RequestParts>,
    ) -> Option<TargetLease> {
        if self.is_disconnected() {
            return None;
        }
        match self.decide(&self.restrict(pick, versions, &Standing::Clear)).0 {
            Decision::Send { target, lease, .. } => {
                let mut lease = self.create_lease(&target, lease, parts)?;
                lease.class = Class::Batch;
                Some(lease)
            }
            Decision::Wait | Decision::Refuse { .. } => None,
        }
    }
}
