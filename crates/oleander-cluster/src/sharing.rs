//! Reports work in flight to other hosts, so that all routers share one view of each target.
//!
//! Hosts of the same data centre mostly share the same targets and report to each other often, at a
//! rate that falls with their number. Other data centres get sums from one host
//! ([`ZoneLoad`](crate::ZoneLoad)), and less often, since traffic between data centres is costly.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use oleander_core::{HostId, Time, ZoneId};
use oleander_host::clock;
use tokio::time;

use crate::{
    cluster::Cluster,
    message::{PeerRequest, ServiceLoad},
    zone_load::select_reporter,
};

/// Minimum time between two reports to a host of the same data centre.
const MIN_LOCAL_INTERVAL: Duration = Duration::from_millis(60);
/// Reports per second to hosts of the same data centre that a host with a tenth of a core can send
/// and answer.
const LOCAL_REPORTS_PER_SECOND: u32 = 250;
/// Rounds of local reports for each report to the other data centres.
const ROUNDS_PER_REMOTE_REPORT: u64 = 5;

impl Cluster {
    /// Reports this host's work in flight to other hosts; never returns.
    pub async fn publish_load(self: Arc<Self>) {
        for round in 0_u64.. {
            let zone_hosts = self.live_entry_hosts_in(&self.local.zone);
            time::sleep(local_interval(zone_hosts.len())).await;
            let serving = self.serving_hosts();
            let serving: Vec<HostId> =
                zone_hosts.iter().filter(|host| serving.contains(host)).cloned().collect();
            self.assign_targets(&serving);
            self.assign_senders();
            let (local, remote): (Vec<_>, Vec<_>) =
                self.peers().into_iter().partition(|(_, zone, _)| *zone == self.local.zone);
            let own = self.load();
            self.send_load(local, &own);
            if round.is_multiple_of(ROUNDS_PER_REMOTE_REPORT)
                && select_reporter(&zone_hosts) == Some(&self.local.host)
            {
                let sums = self.zone_load.lock().sums(clock::steady(), own);
                self.send_load(remote, &sums);
            }
        }
    }

    fn send_load(&self, hosts: Vec<(HostId, ZoneId, SocketAddr)>, services: &[ServiceLoad]) {
        for (host, _, address) in hosts {
            let request = PeerRequest::Load {
                zone: self.local.zone.clone(),
                services: services.to_vec(),
                sent: clock::now(),
            };
            self.tell(&host, address, request);
        }
    }

    /// Assigns preferred targets among the live entry hosts of the data centre.
    fn assign_targets(&self, hosts: &[HostId]) {
        for (_, pool) in self.pools.all() {
            pool.assign_preferred(&self.local.host, &self.local.zone, hosts);
        }
    }

    fn load(&self) -> Vec<ServiceLoad> {
        let pools = self.pools.all().into_iter();
        pools.map(|(service, pool)| ServiceLoad { service, counts: pool.counts() }).collect()
    }

    pub(crate) fn receive_load(
        &self,
        peer: &HostId,
        zone: ZoneId,
        services: Vec<ServiceLoad>,
        sent: Time,
    ) {
        if zone == self.local.zone {
            self.zone_load.lock().record(clock::steady(), peer, services.clone());
        } else {
            let previous = self.zone_load.lock().set_reporter(zone, peer);
            if let Some(previous) = previous {
                self.pools.all().iter().for_each(|(_, pool)| pool.remove_peer(&previous));
            }
        }
        for ServiceLoad { service, counts } in services {
            if let Some(pool) = self.pools.get(&service) {
                pool.update_peer(peer, counts, sent);
            }
        }
    }
}

/// Time between two rounds of reports among `hosts` hosts of one data centre.
fn local_interval(hosts: usize) -> Duration {
    let peers = hosts.saturating_sub(1) as u32;
    MIN_LOCAL_INTERVAL.max(Duration::from_secs(1) * peers / LOCAL_REPORTS_PER_SECOND)
}
