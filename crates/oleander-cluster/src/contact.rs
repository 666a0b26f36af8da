//! Hosts that this one waits for though nobody has seen them run.

use std::sync::Arc;

use oleander_core::HostId;
use oleander_host::clock;
use oleander_members::MemberEvent;

use crate::cluster::Cluster;

/// Maximum number of hosts that are contacted at once.
const MAX_CONTACTS: usize = 64;

impl Cluster {
    /// Contacts those of `hosts` that have not been heard of.
    pub fn contact<'a>(self: &Arc<Self>, hosts: impl Iterator<Item = &'a HostId>) {
        let mut members = self.members.lock();
        let unheard = hosts.filter(|host| members.is_candidate(host));
        let unheard: Vec<HostId> = unheard.take(MAX_CONTACTS).cloned().collect();
        let mut actions = Vec::new();
        for host in unheard {
            actions.extend(members.handle(clock::steady(), MemberEvent::Contact { host }));
        }
        drop(members);
        self.execute(actions);
    }

    /// The [`serving_hosts`](Self::serving_hosts) that may take work over.
    #[must_use]
    pub fn successors(&self) -> Vec<HostId> {
        let now = clock::steady();
        let mut serving = self.serving_hosts();
        let members = self.members.lock();
        serving.retain(|host| members.is_awaited(now, host));
        serving
    }
}
