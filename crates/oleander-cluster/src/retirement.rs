//! Retirement of hosts.
//!
//! No host holds durable data, so a host can be removed as soon as its retirement is confirmed. The
//! host itself confirms it, and so does one other host in case the first can't.

use std::{future::Future, sync::Arc, time::Duration};

use oleander_core::{HostId, hash};
use oleander_members::{MemberRole, MemberState};
use oleander_platform::{FollowEvent, Follower, ObjectStore, PlatformError};

use crate::cluster::Cluster;

/// Maximum wait of a watch for retirement requests.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause before a failed write is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Maximum attempts of a write.
const MAX_ATTEMPTS: u32 = 10;

/// Confirms retirements to the operator.
pub trait RetirementStore: Send + Sync + 'static {
    /// Marks the retirement of `host` as completed.
    fn complete(&self, host: &HostId) -> impl Future<Output = Result<(), PlatformError>> + Send;
}

impl Cluster {
    /// Confirms the retirement requests below `prefix`; never returns.
    pub async fn handle_retirements<S: ObjectStore, R: RetirementStore>(
        self: Arc<Self>,
        store: S,
        prefix: &str,
        retirements: R,
    ) {
        let mut follow = Follower::new(store, prefix, WATCH_WAIT);
        loop {
            let keys: Vec<String> = match follow.next().await {
                FollowEvent::Snapshot(objects) => objects.into_iter().map(|(key, _)| key).collect(),
                FollowEvent::Changes(changes) => {
                    let present = changes.into_iter().filter(|change| change.object.is_some());
                    present.map(|change| change.key).collect()
                }
                FollowEvent::Failed(_) => continue,
            };
            for key in keys {
                let host = key.strip_prefix(prefix).and_then(|name| name.parse::<HostId>().ok());
                if let Some(host) = host.filter(|host| self.confirms_retirement(host)) {
                    complete(&retirements, &host).await;
                }
            }
        }
    }

    /// Whether this host confirms the retirement of `host`: for itself, or as the selected other
    /// host.
    fn confirms_retirement(&self, host: &HostId) -> bool {
        *host == self.local.host || self.is_task_owner(host.as_str(), Some(host))
    }

    /// Whether this host owns `task` among the batch hosts other than `except`.
    #[must_use]
    pub fn is_task_owner(&self, task: &str, except: Option<&HostId>) -> bool {
        let members = self.members.lock();
        let batch_hosts = members.view().filter(|view| {
            view.profile.role == MemberRole::Batch
                && Some(&view.profile.host) != except
                && view.state == MemberState::Live
        });
        let mut hosts: Vec<HostId> = batch_hosts.map(|view| view.profile.host).collect();
        hosts.push(self.local.host.clone());
        hash::rendezvous(task, &hosts) == Some(&self.local.host)
    }
}

async fn complete<R: RetirementStore>(retirements: &R, host: &HostId) {
    for _ in 0..MAX_ATTEMPTS {
        match retirements.complete(host).await {
            Ok(()) => {
                log::info!(host:% = host; "retirement of the host is confirmed");
                return;
            }
            Err(error) => {
                log::warn!(host:% = host, error:% = error;
                    "retirement of the host can't be confirmed");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
