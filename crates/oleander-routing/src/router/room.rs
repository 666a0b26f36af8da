//! Room for batch: how much there is, who may take it and what has to go.

use oleander_core::{HostId, TargetId, Time, hash};

use super::{Router, backend::Backend};
use crate::{
    config::Policy,
    load::BatchExcess,
    share::{fair_part, fill_level},
};

/// Share of the targets that a policy leaves to each class.
impl Router {
    /// Whether batch may use the target at `index`.
    pub(super) fn serves_batch(&self, index: usize) -> bool {
        match self.config.policy {
            Policy::Managed | Policy::FirstCome => true,
            Policy::Split { batch_targets } => index < batch_targets as usize,
            Policy::OnlineOnly => false,
        }
    }

    /// Whether online requests may use the target at `index`.
    pub(super) fn serves_online(&self, index: usize) -> bool {
        match self.config.policy {
            Policy::Split { batch_targets } => index >= batch_targets as usize,
            Policy::Managed | Policy::FirstCome | Policy::OnlineOnly => true,
        }
    }

    /// Batch items that fit next to the online requests and the reserve.
    pub(super) fn batch_room(&self, now: Time, backend: &Backend) -> u32 {
        let unknown = backend.unknown(now, &self.config);
        let online = backend.online_total() + unknown;
        let reserve = match self.config.policy {
            Policy::Managed => backend.target.reserve,
            Policy::FirstCome | Policy::Split { .. } | Policy::OnlineOnly => 0,
        };
        backend.limit.current().saturating_sub(reserve).saturating_sub(online)
    }

    /// Batch items that this host may start at the target now.
    pub(super) fn batch_free(&self, now: Time, backend: &Backend) -> u32 {
        let free = self.batch_room(now, backend).saturating_sub(backend.batch_total());
        if self.config.policy != Policy::Managed || self.peers.batch_hosts().next().is_none() {
            return free;
        }
        free.min(backend.batch_cap.saturating_sub(backend.batch))
    }

    /// Divides the free batch slots of each target among the hosts that run batch.
    ///
    /// Hosts that saw the same counts take distinct slots until their next exchange.
    pub(super) fn share_out(&mut self, now: Time) {
        let own = &self.config.host;
        let hosts: Vec<&HostId> = self.peers.batch_hosts().filter(|host| *host != own).collect();
        let count = hosts.len() as u32 + 1;
        let caps = self.backends.iter().map(|backend| {
            let free = self.batch_room(now, backend).saturating_sub(backend.batch_total());
            let rank = rank(&backend.target.name, own, hosts.iter().copied());
            backend.batch + fair_part(free, rank, count)
        });
        let caps: Vec<u32> = caps.collect();
        for (backend, cap) in self.backends.iter_mut().zip(caps) {
            backend.batch_cap = cap;
        }
    }

    /// Own batch items that targets have no room for, to be cancelled now.
    #[must_use]
    pub fn batch_excess(&self, now: Time) -> Vec<BatchExcess> {
        if self.config.policy != Policy::Managed {
            return Vec::new();
        }
        let excess = self.backends.iter().filter_map(|backend| {
            let count = self.excess_at(now, backend);
            (count > 0).then(|| BatchExcess { target: backend.target.name.clone(), count })
        });
        excess.collect()
    }

    fn excess_at(&self, now: Time, backend: &Backend) -> u32 {
        let room = self.batch_room(now, backend);
        if backend.batch == 0 || backend.batch_total() <= room {
            return 0;
        }
        let holders: Vec<(&HostId, u32)> = self.peers.batch_at(backend.key).collect();
        let mut counts: Vec<u32> = holders.iter().map(|(_, count)| *count).collect();
        counts.push(backend.batch);
        let level = fill_level(room, &counts);
        let used: u32 = counts.iter().map(|count| *count.min(&level)).sum();
        let above = holders.iter().filter(|(_, count)| *count > level).map(|(host, _)| *host);
        let rank = rank(&backend.target.name, &self.config.host, above);
        let kept = level + u32::from(rank < room.saturating_sub(used));
        backend.batch.saturating_sub(kept)
    }
}

/// Position of `own` among `hosts` in an order that differs by target.
fn rank<'a>(target: &TargetId, own: &HostId, hosts: impl Iterator<Item = &'a HostId>) -> u32 {
    let score = |host: &HostId| hash::hash_parts(&[target.as_str(), host.as_str()]);
    let mine = (score(own), own);
    hosts.filter(|host| (score(host), *host) < mine).count() as u32
}
