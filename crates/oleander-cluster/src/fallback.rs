//! Platform requests through other hosts, and watches of a feeder.

use std::{net::SocketAddr, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use oleander_core::{HostId, Revision, Span, hash};
use oleander_host::clock;
use oleander_link::Link;
use oleander_members::{MemberRole, MemberState};
use oleander_platform::Changes;
use tokio::{task::JoinSet, time};

use crate::{
    cluster::{Cluster, PossiblePeer},
    failover::{FALLBACK_TIMEOUT, StoreFallback, StoreRequest, StoreResponse},
    feed::{Feeder, MAX_FEED_WAIT, select_feeder},
    message::{PeerRequest, PeerResponse},
    record::HostRecord,
};

/// Time allowed for a feeder's response beyond the wait of the watch.
const FEED_MARGIN: Duration = Duration::from_millis(400);
/// Time for which a host watches the platform directly after a failure of its feeder.
const DIRECT_WATCH_TIME: Span = Span::from_secs(3);
/// Time for a host to say whether it reaches the platform.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which the answers of all hosts are taken for news.
const REPORT_AGE: Span = Span::from_millis(500);
/// Time allowed for a host that reads changes at the platform.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which the next host is asked to read changes as well.
const POLL_STAGGER: Duration = Duration::from_millis(30);
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

    /// Hosts that may reach the platform: one of this data centre, if there is one, and then some of
    /// others, as a whole data centre may be turned away.
    fn proxies(&self) -> Vec<SocketAddr> {
        let mut peers = self.peers();
        peers.sort_by_key(|(host, _, _)| {
            hash::hash_parts(&[self.local.host.as_str(), host.as_str()])
        });
        let (mut near, mut far): (Vec<_>, Vec<_>) =
            peers.into_iter().partition(|(_, zone, _)| *zone == self.local.zone);
        let others = near.split_off(near.len().min(1));
        far.extend(others);
        near.extend(far);
        near.into_iter().map(|(_, _, address)| address).take(MAX_PROXIES).collect()
    }
}

/// What a host says of its path to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PathReport {
    Works,
    Fails,
    /// It doesn't answer, or doesn't know.
    Unknown,
}

impl Cluster {
    /// Whether the platform is out for all hosts: more than half of the listed entry hosts, this one
    /// included, say that they have no path to it, and none says that it has one.
    ///
    /// Fewer hosts may be beyond a partition, with the platform on the other side. Hosts are asked at
    /// most once per [`REPORT_AGE`].
    pub async fn is_platform_out(&self) -> bool {
        let mut known = self.platform_out.lock().await;
        let now = clock::steady();
        if let Some((asked, is_out)) = *known
            && now.since(asked) < REPORT_AGE
        {
            return is_out;
        }
        let is_out = self.ask_for_paths().await;
        *known = Some((now, is_out));
        is_out
    }

    async fn ask_for_paths(&self) -> bool {
        let mut asked = JoinSet::new();
        for peer in self.possible_peers() {
            let (link, key) = (self.link.clone(), HostRecord::key(&self.local.host));
            asked.spawn(async move { path_of(&link, peer, key).await });
        }
        let mut failing = 1;
        while let Some(report) = asked.join_next().await {
            match report {
                Ok(PathReport::Works) => return false,
                Ok(PathReport::Fails) => failing += 1,
                Ok(PathReport::Unknown) => {}
                Err(error) => log::error!(error:% = error; "a host was not asked for its path"),
            }
        }
        failing * 2 > self.entry_host_count()
    }
}

async fn path_of(link: &Link, peer: PossiblePeer, key: String) -> PathReport {
    let request: PeerRequest<()> = PeerRequest::Store(StoreRequest::Get(key));
    let response = link.call(&peer.address.to_string(), &request, REPORT_TIMEOUT).await;
    match response {
        Ok(PeerResponse::<()>::Store(StoreResponse::Refused(_))) => PathReport::Fails,
        Ok(PeerResponse::Store(StoreResponse::Unknown(_))) => PathReport::Unknown,
        Ok(_) => PathReport::Works,
        Err(error) => {
            log::debug!(host:% = peer.host, error:% = error;
                "host did not say whether it reaches the platform");
            PathReport::Unknown
        }
    }
}

/// Reads changes through the host at `address` after a delay; `None` if it does not reach the
/// platform.
async fn poll_at(
    link: &Link,
    address: SocketAddr,
    request: &PeerRequest<()>,
    delay: Duration,
) -> Option<Changes> {
    time::sleep(delay).await;
    match link.call(&address.to_string(), request, POLL_TIMEOUT).await {
        Ok(PeerResponse::<()>::Store(StoreResponse::Changes(changes))) => Some(changes),
        Ok(response) => {
            log::debug!(address:% = address, response:? = response; "host reads no changes");
            None
        }
        Err(error) => {
            log::debug!(address:% = address, error:% = error; "host reads no changes");
            None
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

    async fn poll(&self, prefix: &str, from: Revision) -> Option<Changes> {
        let request: PeerRequest<()> =
            PeerRequest::Store(StoreRequest::Poll(prefix.to_owned(), from));
        let mut polls: FuturesUnordered<_> = (0..)
            .zip(self.proxies())
            .map(|(turn, address)| poll_at(&self.link, address, &request, POLL_STAGGER * turn))
            .collect();
        while let Some(changes) = polls.next().await {
            if changes.is_some() {
                return changes;
            }
        }
        None
    }
}
