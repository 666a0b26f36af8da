//! Links of this host to the targets of a pool.

use std::time::Duration;

use oleander_core::{TargetId, Time, hash};
use oleander_host::clock;

use tokio::time;

use super::Pool;
use crate::{links::LinkChange, target_list::TargetEntry};

/// Maximum wait for a check: two rounds of connections that hang.
const MAX_CHECK_TIME: Duration = Duration::from_millis(450);

impl Pool {
    /// Whether this host reaches no target.
    pub fn is_disconnected(&self) -> bool {
        self.links.lock().is_disconnected()
    }

    /// Records that a target is reached.
    pub(crate) fn record_sign(&self) {
        self.links.lock().record_sign(clock::steady());
    }

    /// Records that a target may not be reached.
    pub(crate) fn record_link_failure(&self) {
        if self.links.lock().record_failure() {
            self.link_failed.notify_one();
        }
    }

    /// Waits until a check has shown whether failed requests are due to the links of this host.
    pub(crate) async fn settle_links(&self) {
        let settled = async {
            loop {
                let checked = self.links_checked.notified();
                if !self.links.lock().is_suspected() {
                    return;
                }
                checked.await;
            }
        };
        // A check that takes longer, or that nobody makes, says nothing.
        let _ = time::timeout(MAX_CHECK_TIME, settled).await;
    }

    /// Whether new connections have to show which targets this host reaches.
    pub(crate) fn needs_link_check(&self) -> bool {
        let is_busy = !self.counts().is_empty();
        !self.is_empty() && self.links.lock().needs_check(clock::steady(), is_busy)
    }

    /// The targets of a check, in another order for each `round`.
    pub(crate) fn targets_to_check(&self, round: u64) -> Vec<TargetEntry> {
        let targets = self.targets.read();
        let crashed = self.crashed(&targets);
        let sound = targets.values().filter(|target| !crashed.contains(&target.id));
        let mut sound: Vec<TargetEntry> = sound.cloned().collect();
        let place = |id: &TargetId| hash::hash_parts(&[id.as_str(), &round.to_string()]);
        sound.sort_by_key(|target| place(&target.id));
        sound
    }

    /// Records a check that began at `began`, and whether any target accepted a connection.
    pub(crate) fn record_link_check(&self, began: Time, accepted: bool) -> Option<LinkChange> {
        let change = self.links.lock().record_check(clock::steady(), began, accepted);
        self.links_checked.notify_waiters();
        if change.is_some() {
            self.changed.notify_waiters();
        }
        change
    }
}
