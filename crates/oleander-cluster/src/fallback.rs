//! The ways to the platform that lead over other hosts.

use std::{net::SocketAddr, time::Duration};

use oleander_core::{HostId, Revision, Span, hash};
use oleander_host::clock;
use oleander_members::{MemberRole, MemberState};
use oleander_platform::Changes;

use crate::{
    cluster::Cluster,
    failover::{FALLBACK_TIMEOUT, StoreFallback, StoreRequest, StoreResponse},
    feed::{Feeder, MOST_WAIT, select_feeder},
    message::{PeerRequest, PeerResponse},
};

/// Time allowed to a feeder beyond the wait.
const FEED_MARGIN: Duration = Duration::from_millis(400);
/// Time for which a host watches the platform itself after a feeder failed.
const UNFED: Span = Span::from_secs(3);
/// Hosts that are asked to make a call of the platform.
const MOST_HELPERS: usize = 3;

impl Cluster {
    /// The host that feeds this one, unless it failed to do so lately.
    fn feeder(&self) -> Option<(HostId, SocketAddr)> {
        if clock::steady() < *self.unfed_until.lock() {
            return None;
        }
        let members = self.members.lock();
        // A host that was not probed yet is asked all the same: at a start of all hosts it saves
        // most of the calls.
        let keepers = members.view().filter(|view| {
            view.profile.role == MemberRole::Batch
                && matches!(view.state, MemberState::Live | MemberState::Candidate)
        });
        let keepers = keepers.map(|view| Feeder {
            host: view.profile.host,
            zone: view.profile.zone,
            address: view.profile.address,
        });
        let is_feeder = self.local.role == MemberRole::Batch;
        let chosen = select_feeder(&self.local.host, &self.local.zone, is_feeder, keepers)?;
        Some((chosen.host, chosen.address))
    }

    /// Hosts that may reach the platform, those of this data centre first.
    fn helpers(&self) -> Vec<SocketAddr> {
        let mut peers = self.peers();
        peers.sort_by_key(|(host, zone, _)| {
            (*zone != self.local.zone, hash::hash_parts(&[self.local.host.as_str(), host.as_str()]))
        });
        peers.into_iter().map(|(_, _, address)| address).take(MOST_HELPERS).collect()
    }
}

impl StoreFallback for Cluster {
    async fn call(&self, call: StoreRequest) -> StoreResponse {
        let mut last = StoreResponse::Refused("no host to go by".to_owned());
        let call: PeerRequest<()> = PeerRequest::Store(call);
        for address in self.helpers() {
            let answer = self.link.call(&address.to_string(), &call, FALLBACK_TIMEOUT).await;
            last = match answer {
                Ok(PeerResponse::<()>::Store(StoreResponse::Refused(reason))) => {
                    StoreResponse::Refused(reason)
                }
                Ok(PeerResponse::Store(answer)) => return answer,
                Ok(_) => StoreResponse::Unknown("answer to another kind of call".to_owned()),
                Err(error) if error.may_have_run() => {
                    return StoreResponse::Unknown(error.to_string());
                }
                Err(error) => StoreResponse::Refused(error.to_string()),
            };
        }
        last
    }

    async fn watch_feed(&self, prefix: &str, from: Revision, wait: Duration) -> Option<Changes> {
        let (host, address) = self.feeder()?;
        let wait = wait.min(MOST_WAIT);
        let call =
            PeerRequest::Store(StoreRequest::Watch(prefix.to_owned(), from, Span::from(wait)));
        let call: PeerRequest<()> = call;
        let answer = self.link.call(&address.to_string(), &call, wait + FEED_MARGIN).await;
        let reason = match answer {
            Ok(PeerResponse::<()>::Store(StoreResponse::Changes(changes))) => return Some(changes),
            Ok(PeerResponse::Store(StoreResponse::Refused(reason))) => reason,
            Ok(_) => "answer to another kind of call".to_owned(),
            Err(error) => error.to_string(),
        };
        log::info!(feeder:% = host, prefix, reason; "no feed; the platform is watched from here");
        *self.unfed_until.lock() = clock::steady() + UNFED;
        None
    }
}
