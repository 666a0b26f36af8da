//! Exchange between hosts of the rates that targets name.
//!
//! Only the hosts that send to such a target learn from its responses that it names another rate,
//! or none any more. While there is anything to know, each host tells a few others now and then.

use std::{sync::Arc, time::Duration};

use rand::seq::IndexedRandom;
use tokio::time;

use crate::{
    cluster::Cluster,
    message::{PeerRequest, ServiceRates},
};

/// Interval at which a host tells others what it knows.
const TELL_INTERVAL: Duration = Duration::from_millis(250);
/// Number of hosts that it tells.
const TELL_HOSTS: usize = 3;

impl Cluster {
    /// Tells other hosts of the rates that targets name; never returns.
    pub async fn share_rates(self: Arc<Self>) {
        let mut tick = time::interval(TELL_INTERVAL);
        loop {
            tick.tick().await;
            let known = self.known_rates();
            if known.is_empty() {
                continue;
            }
            let peers = self.peers();
            for (host, _, address) in peers.choose_multiple(&mut rand::rng(), TELL_HOSTS) {
                self.tell(host, *address, PeerRequest::Rates(known.clone()));
            }
        }
    }

    fn known_rates(&self) -> Vec<ServiceRates> {
        let pools = self.pools.all().into_iter();
        let known = pools.map(|(service, pool)| ServiceRates { service, news: pool.rate_news() });
        known.filter(|rates| !rates.news.is_empty()).collect()
    }

    /// Lets the pools know the hosts that share the rates of targets.
    pub(crate) fn assign_senders(&self) {
        for (_, pool) in self.pools.all() {
            if pool.has_rates() {
                pool.set_senders(self.senders());
            }
        }
    }

    pub(crate) fn receive_rates(&self, news: Vec<ServiceRates>) {
        for ServiceRates { service, news } in news {
            if let Some(pool) = self.pools.get(&service) {
                pool.merge_rates(news);
            }
        }
    }
}
