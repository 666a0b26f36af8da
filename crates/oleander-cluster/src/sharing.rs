//! Tells other hosts about work in flight, so that all decide with one view of each target.
//!
//! Hosts of the same data centre mostly share the same targets and hear of each other often, the
//! less often the more there are. The other data centres hear sums from one host
//! ([`ZoneLoad`](crate::ZoneLoad)), and seldom, since bytes between data centres cost.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use oleander_core::{HostId, Time, ZoneId};
use oleander_host::clock;
use tokio::time;

use crate::{
    cluster::Cluster,
    message::{PeerRequest, PeerResponse, ServiceLoad},
    zone_load::select_reporter,
};

/// Shortest time between two messages to a host of the same data centre.
const NEAR_INTERVAL: Duration = Duration::from_millis(60);
/// Messages to near hosts in a second, which a host of a tenth of a core can make and answer.
const NEAR_RATE: u32 = 250;
/// Messages to near hosts for each one to the other data centres.
const FAR_EVERY: u64 = 5;
/// Longest wait for the answer.
const TIMEOUT: Duration = Duration::from_millis(400);

impl Cluster {
    /// Tells others about this host's work; never ends.
    pub async fn publish_load(self: Arc<Self>) {
        for round in 0_u64.. {
            let neighbours = self.live_entry_hosts_in(&self.local.zone);
            time::sleep(near_interval(neighbours.len())).await;
            self.divide_targets(&neighbours);
            let (near, far): (Vec<_>, Vec<_>) =
                self.peers().into_iter().partition(|(_, zone, _)| *zone == self.local.zone);
            let own = self.load();
            self.tell(near, &own);
            if round.is_multiple_of(FAR_EVERY)
                && select_reporter(&neighbours) == Some(&self.local.host)
            {
                let sums = self.zone_load.lock().sums(clock::steady(), own);
                self.tell(far, &sums);
            }
        }
    }

    fn tell(&self, hosts: Vec<(HostId, ZoneId, SocketAddr)>, services: &[ServiceLoad]) {
        for (host, _, address) in hosts {
            let call: PeerRequest<()> = PeerRequest::Load {
                zone: self.local.zone.clone(),
                services: services.to_vec(),
                sent: clock::now(),
            };
            let link = self.link.clone();
            tokio::spawn(async move {
                let answer = link.call(&address.to_string(), &call, TIMEOUT).await;
                if let Err(error) = answer.map(|_: PeerResponse<()>| ()) {
                    log::debug!(host:% = host, error:% = error; "work was not told");
                }
            });
        }
    }

    /// Divides the targets of the data centre among the entries that live there.
    fn divide_targets(&self, hosts: &[HostId]) {
        for (_, pool) in self.pools.all() {
            pool.assign_preferred(&self.local.host, &self.local.zone, hosts);
        }
    }

    fn load(&self) -> Vec<ServiceLoad> {
        let pools = self.pools.all().into_iter();
        pools.map(|(service, pool)| ServiceLoad { service, counts: pool.counts() }).collect()
    }

    pub(crate) fn take_load(
        &self,
        peer: &HostId,
        zone: ZoneId,
        services: Vec<ServiceLoad>,
        sent: Time,
    ) {
        if zone == self.local.zone {
            self.zone_load.lock().record(clock::steady(), peer, services.clone());
        } else {
            let former = self.zone_load.lock().set_reporter(zone, peer);
            if let Some(former) = former {
                self.pools.all().iter().for_each(|(_, pool)| pool.remove_peer(&former));
            }
        }
        for ServiceLoad { service, counts } in services {
            if let Some(pool) = self.pools.get(&service) {
                pool.update_peer(peer, counts, sent);
            }
        }
    }
}

/// Time between two rounds among `hosts` hosts of one data centre.
fn near_interval(hosts: usize) -> Duration {
    let peers = hosts.saturating_sub(1) as u32;
    NEAR_INTERVAL.max(Duration::from_secs(1) * peers / NEAR_RATE)
}
