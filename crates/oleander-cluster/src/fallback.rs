//! Platform requests through other hosts, and watches of a feeder.

use std::{net::SocketAddr, time::Duration};

use oleander_core::{HostId, Revision, Span, hash};
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
    /// Whether this host is not alone without a path to the platform: all hosts that answer say that
    /// they have none either, or there is no other host.
    pub async fn is_platform_out(&self) -> bool {
        let proxies = self.proxies();
        if proxies.is_empty() {
            return !self.has_other_hosts();
        }
        let mut is_out = false;
        let key = HostRecord::key(&self.local.host);
        let request: PeerRequest<()> = PeerRequest::Store(StoreRequest::Get(key));
        for address in proxies {
            let response = self.link.call(&address.to_string(), &request, FALLBACK_TIMEOUT).await;
            match response {
                Ok(PeerResponse::<()>::Store(StoreResponse::Refused(_))) => is_out = true,
                Ok(_) => return false,
                Err(error) => log::debug!(address:% = address, error:% = error;
                    "host did not say whether it reaches the platform"),
            }
        }
        is_out
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
