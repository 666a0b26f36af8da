//! Platform requests through other hosts, and watches of a feeder.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use futures_util::future;
use oleander_core::{HostId, Revision, Span, ZoneId, hash};
use oleander_host::clock;
use oleander_members::{MemberRole, MemberState};
use oleander_platform::Changes;

use crate::{
    cluster::Cluster,
    failover::{FALLBACK_TIMEOUT, StoreFallback, StoreRequest, StoreResponse},
    feed::{Feeder, MAX_FEED_WAIT, select_feeder},
    message::{PeerRequest, PeerResponse},
    record::HostRecord,
};

/// Time allowed for a feeder's response beyond the wait of the watch.
const FEED_MARGIN: Duration = Duration::from_millis(400);
/// Time for which a host watches the platform directly after a failure of its feeder.
const DIRECT_WATCH_TIME: Span = Span::from_secs(3);
/// Number of hosts in each data centre that are asked whether they reach the platform.
const WITNESSES_PER_ZONE: usize = 2;
/// Timeout for asking a host whether it reaches the platform.
const WITNESS_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of hosts through which a platform request is tried.
const MAX_PROXIES: usize = 3;

impl Cluster {
    /// This host's feeder; `None` if there is none or it failed recently.
    fn feeder(&self) -> Option<(HostId, SocketAddr)> {
        if clock::steady() < *self.direct_until.lock() {
            return None;
        }
        let members = self.members.lock();
        // Hosts that have not been probed yet are included: when all hosts start at once, this
        // avoids most of the requests to the platform.
        let feeders = members.view().filter(|view| {
            view.profile.role == MemberRole::Batch
                && matches!(view.state, MemberState::Live | MemberState::Candidate)
        });
        let feeders = feeders.map(|view| Feeder {
            host: view.profile.host,
            zone: view.profile.zone,
            address: view.profile.address,
        });
        let is_feeder = self.local.role == MemberRole::Batch;
        let feeder = select_feeder(&self.local.host, &self.local.zone, is_feeder, feeders)?;
        Some((feeder.host, feeder.address))
    }

    /// Hosts that may reach the platform, those of this data centre first.
    fn proxies(&self) -> Vec<SocketAddr> {
        let mut peers = self.peers();
        peers.sort_by_key(|(host, zone, _)| {
            (*zone != self.local.zone, hash::hash_parts(&[self.local.host.as_str(), host.as_str()]))
        });
        peers.into_iter().map(|(_, _, address)| address).take(MAX_PROXIES).collect()
    }
}

impl Cluster {
    /// Whether no other host reaches the platform either: some hosts of each data centre say so, or
    /// there is no other host. One that doesn't answer may reach it.
    pub async fn is_platform_out(&self) -> bool {
        if !self.has_other_hosts() {
            return true;
        }
        let Some(witnesses) = self.witnesses() else { return false };
        let answers = witnesses.iter().map(|address| self.says_platform_is_out(*address));
        let answers = future::join_all(answers).await;
        answers.into_iter().all(|is_out| is_out)
    }

    /// Hosts that know whether the platform is reached, some of each data centre; `None` if there is
    /// a data centre without any that is live.
    fn witnesses(&self) -> Option<Vec<SocketAddr>> {
        let mut peers = self.peers();
        peers.sort_by_key(|(host, _, _)| {
            hash::hash_parts(&[self.local.host.as_str(), host.as_str()])
        });
        let mut zones: BTreeMap<ZoneId, usize> =
            self.other_zones().into_iter().map(|zone| (zone, 0)).collect();
        peers.retain(|(_, zone, _)| {
            let count = zones.entry(zone.clone()).or_default();
            *count += 1;
            *count <= WITNESSES_PER_ZONE
        });
        let is_complete = zones.values().all(|count| *count > 0);
        is_complete.then(|| peers.into_iter().map(|(_, _, address)| address).collect())
    }

    async fn says_platform_is_out(&self, address: SocketAddr) -> bool {
        let key = HostRecord::key(&self.local.host);
        let request: PeerRequest<()> = PeerRequest::Store(StoreRequest::Get(key));
        match self.link.call(&address.to_string(), &request, WITNESS_TIMEOUT).await {
            Ok(PeerResponse::<()>::Store(StoreResponse::Refused(_))) => true,
            Ok(_) => false,
            Err(error) => {
                log::debug!(address:% = address, error:% = error;
                    "host did not say whether it reaches the platform");
                false
            }
        }
    }
}

impl StoreFallback for Cluster {
    async fn call(&self, request: StoreRequest) -> StoreResponse {
        let mut last_refusal = StoreResponse::Refused("no other host is available".to_owned());
        let request: PeerRequest<()> = PeerRequest::Store(request);
        for address in self.proxies() {
            let response = self.link.call(&address.to_string(), &request, FALLBACK_TIMEOUT).await;
            last_refusal = match response {
                Ok(PeerResponse::<()>::Store(StoreResponse::Refused(reason))) => {
                    StoreResponse::Refused(reason)
                }
                Ok(PeerResponse::Store(response)) => return response,
                Ok(_) => StoreResponse::Unknown("unexpected kind of response".to_owned()),
                Err(error) if error.may_have_run() => {
                    return StoreResponse::Unknown(error.to_string());
                }
                Err(error) => StoreResponse::Refused(error.to_string()),
            };
        }
        last_refusal
    }

    async fn watch_feed(&self, prefix: &str, from: Revision, wait: Duration) -> Option<Changes> {
        let (host, address) = self.feeder()?;
        let wait = wait.min(MAX_FEED_WAIT);
        let request =
            PeerRequest::Store(StoreRequest::Watch(prefix.to_owned(), from, Span::from(wait)));
        let request: PeerRequest<()> = request;
        let response = self.link.call(&address.to_string(), &request, wait + FEED_MARGIN).await;
        let reason = match response {
            Ok(PeerResponse::<()>::Store(StoreResponse::Changes(changes))) => return Some(changes),
            Ok(PeerResponse::Store(StoreResponse::Refused(reason))) => reason,
            Ok(_) => "unexpected kind of response".to_owned(),
            Err(error) => error.to_string(),
        };
        log::info!(feeder:% = host, prefix, reason; "no feed; the platform is watched from here");
        *self.direct_until.lock() = clock::steady() + DIRECT_WATCH_TIME;
        None
    }
}
