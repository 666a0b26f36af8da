//! Tells other hosts about work in flight, so that all decide with one view of each target.
//!
//! Hosts of the same data centre mostly share the same targets and hear of each other often; the
//! others seldom, since bytes between data centres cost.

use std::{sync::Arc, time::Duration};

use oleander_core::{HostId, Time};
use oleander_host::clock;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::{self, MissedTickBehavior};

use crate::{
    cluster::Cluster,
    message::{PeerAnswer, PeerCall, ServiceLoad},
};

/// Time between two messages to hosts of the same data centre.
const NEAR_INTERVAL: Duration = Duration::from_millis(100);
/// Messages to near hosts for each one to all hosts.
const FAR_EVERY: u64 = 3;
/// Longest wait for the answer.
const TIMEOUT: Duration = Duration::from_millis(400);

impl Cluster {
    /// Tells others about this host's work; never ends.
    pub async fn share_load<Q, A>(self: Arc<Self>)
    where
        Q: Serialize + DeserializeOwned + Send + Sync + 'static,
        A: Serialize + DeserializeOwned + Send + 'static,
    {
        let mut ticks = time::interval(NEAR_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for round in 0_u64.. {
            ticks.tick().await;
            self.divide_targets();
            let services = self.load();
            for (host, zone, address) in self.peers() {
                if zone != self.me.zone && !round.is_multiple_of(FAR_EVERY) {
                    continue;
                }
                let call: PeerCall<Q> =
                    PeerCall::Load { services: services.clone(), sent: clock::now() };
                let link = self.link.clone();
                tokio::spawn(async move {
                    let answer = link.call(&address.to_string(), &call, TIMEOUT).await;
                    if let Err(error) = answer.map(|_: PeerAnswer<A>| ()) {
                        log::debug!(host:% = host, error:% = error; "work was not told");
                    }
                });
            }
        }
    }

    /// Divides the targets of the data centre among the entries that live there.
    fn divide_targets(&self) {
        let hosts = self.live_entries_in(&self.me.zone);
        for (_, pool) in self.pools.all() {
            pool.divide(&self.me.host, &self.me.zone, &hosts);
        }
    }

    fn load(&self) -> Vec<ServiceLoad> {
        let pools = self.pools.all().into_iter();
        pools.map(|(service, pool)| ServiceLoad { service, counts: pool.counts() }).collect()
    }

    pub(crate) fn take_load(&self, peer: &HostId, services: Vec<ServiceLoad>, sent: Time) {
        for ServiceLoad { service, counts } in services {
            if let Some(pool) = self.pools.get(&service) {
                pool.peer(peer, counts, sent);
            }
        }
    }
}
