//! Calls that crash targets are kept away from them.

use std::{borrow::Cow, time::Duration};

use oleander_core::{TargetId, hash};
use oleander_host::clock;
use oleander_node::ServicePool;
use oleander_peer::ServiceCrashes;
use oleander_quarantine::{BlockNews, QuarantineNews, RequestParts, Standing};
use oleander_routing::{Pick, TargetState};
use oleander_target::{TargetError, accepts_connections, refuses_connections};

use super::{Pool, TargetLease};

/// Time for which a target that broke off is checked; a process that ends may close its listener
/// last.
const CHECK_TIME: Duration = Duration::from_millis(100);
/// Maximum number of other targets to which a host connects when one refuses it.
const CONTROLS: usize = 3;
/// Time between two connections of the check.
const CONNECTION_INTERVAL: Duration = Duration::from_millis(30);

impl Pool {
    /// Excludes targets that have just crashed and, for a suspected call, all targets but one.
    pub(super) fn restrict<'a>(&self, pick: &'a Pick, standing: &Standing) -> Cow<'a, Pick> {
        if self.quarantine.lock().is_empty() {
            return Cow::Borrowed(pick);
        }
        let mut restricted = pick.clone();
        restricted.exclude.extend(self.down());
        if let Standing::Suspect { part, .. } = standing {
            let mut unusable = restricted.exclude.clone();
            unusable.extend(self.ejected());
            let service = self.service.read();
            let targets = service.addresses.keys();
            let usable = targets.clone().filter(|target| !unusable.contains(target));
            let one = hash::rendezvous(&part.to_string(), usable);
            restricted.exclude = targets.filter(|target| Some(*target) != one).cloned().collect();
        }
        Cow::Owned(restricted)
    }

    /// Targets that have just crashed.
    fn down(&self) -> Vec<TargetId> {
        let (now, quarantine) = (clock::steady(), self.quarantine.lock());
        let service = self.service.read();
        let targets = service.addresses.keys();
        targets.filter(|target| quarantine.is_down(now, target)).cloned().collect()
    }

    /// Targets that this host does not use for now.
    fn ejected(&self) -> Vec<TargetId> {
        let statuses = self.snapshot().into_iter();
        let ejected = statuses.filter(|status| status.state == TargetState::Ejected);
        ejected.map(|status| status.name).collect()
    }

    /// Records that a target sent output for a call with these parts.
    pub(super) fn record_output(&self, parts: &RequestParts) {
        self.quarantine.lock().record_output(clock::steady(), parts);
    }

    /// Applies what another host knows.
    pub(crate) fn merge_quarantine(&self, news: QuarantineNews) {
        if self.quarantine.lock().merge(clock::steady(), news) {
            self.changed.notify_waiters();
        }
    }

    /// What other hosts have to learn, since the last call.
    pub(crate) fn take_crashes(&self) -> Option<ServiceCrashes> {
        let now = clock::steady();
        let mut quarantine = self.quarantine.lock();
        let (begun, news) = (quarantine.take_begun(now), quarantine.take_news(now));
        drop(quarantine);
        let blocked = begun.into_iter().filter(|block| block.count > 0);
        for BlockNews { parts, remaining, .. } in blocked {
            log::warn!(service:% = self.name, parts:% = parts, for_s = remaining.as_secs_f64();
                "parts of prompts are blocked: they crash targets");
            metrics::counter!("blocked_parts_total").increment(1);
        }
        self.crashes(news)
    }

    /// All that this host knows of crashes.
    pub(crate) fn known_crashes(&self) -> Option<ServiceCrashes> {
        let news = self.quarantine.lock().snapshot(clock::steady());
        self.crashes(news)
    }

    fn crashes(&self, news: QuarantineNews) -> Option<ServiceCrashes> {
        (!news.is_empty()).then(|| ServiceCrashes { service: self.name.clone(), news })
    }

    fn record_crash(&self, lease: &TargetLease) {
        if self.quarantine.lock().record_crash(clock::steady(), &lease.run) {
            log::info!(target:% = lease.target, service:% = self.name; "target has crashed");
            metrics::counter!("target_crashes_total").increment(1);
            self.changed.notify_waiters();
        }
    }
}

impl TargetLease {
    /// Whether the target has sent output.
    pub(crate) const fn has_output(&self) -> bool {
        self.has_output
    }

    /// Finds out whether a target that broke off has crashed, and records it; returns whether this
    /// call may be the cause.
    pub(crate) async fn has_crashed_target(&self, error: &TargetError) -> bool {
        if !matches!(error, TargetError::Interrupted(_)) {
            return false;
        }
        if !self.has_output {
            self.pool.quarantine.lock().record_break(clock::steady(), &self.run, &self.parts);
        }
        let has_ended = self.refuses_connections().await && self.reaches_another().await;
        if has_ended {
            self.pool.record_crash(self);
        }
        has_ended && !self.has_output
    }

    /// Whether another target accepts connections, so that this host has not lost its own links;
    /// without another one, what this one does decides.
    async fn reaches_another(&self) -> bool {
        let down = self.pool.down();
        let mut others = self.pool.addresses();
        others.retain(|(target, _)| *target != self.target && !down.contains(target));
        for (_, address) in others.iter().take(CONTROLS) {
            if accepts_connections(address).await {
                return true;
            }
        }
        others.is_empty()
    }

    async fn refuses_connections(&self) -> bool {
        let refused = async {
            while !refuses_connections(&self.address).await {
                tokio::time::sleep(CONNECTION_INTERVAL).await;
            }
        };
        tokio::time::timeout(CHECK_TIME, refused).await.is_ok()
    }
}
