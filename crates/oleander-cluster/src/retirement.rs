//! Hosts that are to be emptied and taken away.
//!
//! No host holds anything that lasts, so that a host is empty as soon as somebody says so: the host
//! itself, and one other in case it can't.

use std::{future::Future, sync::Arc, time::Duration};

use oleander_core::{HostId, hash};
use oleander_members::{MemberRole, MemberState};
use oleander_platform::{Follow, Followed, ObjectStore, PlatformError};

use crate::cluster::Cluster;

/// Longest wait of a watch for requests to retire a host.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause before a failed write is tried again.
const PAUSE: Duration = Duration::from_millis(300);
/// Times a write is tried.
const TRIES: u32 = 10;

/// Tells the operator that a host is empty.
pub trait RetirementStore: Send + Sync + 'static {
    /// Marks the request to retire `host` as met.
    fn complete(&self, host: &HostId) -> impl Future<Output = Result<(), PlatformError>> + Send;
}

impl Cluster {
    /// Answers requests below `prefix` to retire hosts; never ends.
    pub async fn handle_retirements<S: ObjectStore, R: RetirementStore>(
        self: Arc<Self>,
        store: S,
        prefix: &str,
        retire: R,
    ) {
        let mut follow = Follow::new(store, prefix, WATCH_WAIT);
        loop {
            let keys: Vec<String> = match follow.next().await {
                Followed::Snapshot(objects) => objects.into_iter().map(|(key, _)| key).collect(),
                Followed::Changes(changes) => {
                    let present = changes.into_iter().filter(|change| change.object.is_some());
                    present.map(|change| change.key).collect()
                }
                Followed::Lost(_) => continue,
            };
            for key in keys {
                let host = key.strip_prefix(prefix).and_then(|name| name.parse::<HostId>().ok());
                if let Some(host) = host.filter(|host| self.answers_for(host)) {
                    complete(&retire, &host).await;
                }
            }
        }
    }

    /// Whether this host answers for `host`: it is the same, or the next of its kind.
    fn answers_for(&self, host: &HostId) -> bool {
        *host == self.local.host || self.is_task_owner(host.as_str(), Some(host))
    }

    /// Whether this host, among those with a disk other than `except`, is the one for `task`.
    #[must_use]
    pub fn is_task_owner(&self, task: &str, except: Option<&HostId>) -> bool {
        let members = self.members.lock();
        let others = members.view().filter(|view| {
            view.profile.role == MemberRole::Batch
                && Some(&view.profile.host) != except
                && view.state == MemberState::Live
        });
        let mut keepers: Vec<HostId> = others.map(|view| view.profile.host).collect();
        keepers.push(self.local.host.clone());
        hash::rendezvous(task, &keepers) == Some(&self.local.host)
    }
}

async fn complete<R: RetirementStore>(retire: &R, host: &HostId) {
    for _ in 0..TRIES {
        match retire.complete(host).await {
            Ok(()) => {
                log::info!(host:% = host; "host is empty and may go");
                return;
            }
            Err(error) => {
                log::warn!(host:% = host, error:% = error; "host can't be marked as empty");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
