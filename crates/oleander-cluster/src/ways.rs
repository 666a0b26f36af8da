//! The ways to the platform that lead over other hosts.

use std::{net::SocketAddr, time::Duration};

use oleander_core::{HostId, Revision, Span, hash};
use oleander_host::clock;
use oleander_members::{MemberRole, MemberState};
use oleander_platform::Changes;

use crate::{
    cluster::Cluster,
    detour::{DETOUR_TIMEOUT, Detour, StoreAnswer, StoreCall},
    feed::{Feeder, MOST_WAIT, feeder_of},
    message::{PeerAnswer, PeerCall},
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
        let is_feeder = self.me.role == MemberRole::Batch;
        let chosen = feeder_of(&self.me.host, &self.me.zone, is_feeder, keepers)?;
        Some((chosen.host, chosen.address))
    }

    /// Hosts that may reach the platform, those of this data centre first.
    fn helpers(&self) -> Vec<SocketAddr> {
        let mut peers = self.peers();
        peers.sort_by_key(|(host, zone, _)| {
            (*zone != self.me.zone, hash::hash_parts(&[self.me.host.as_str(), host.as_str()]))
        });
        peers.into_iter().map(|(_, _, address)| address).take(MOST_HELPERS).collect()
    }
}

impl Detour for Cluster {
    async fn call(&self, call: StoreCall) -> StoreAnswer {
        let mut last = StoreAnswer::Refused("no host to go by".to_owned());
        let call: PeerCall<()> = PeerCall::Store(call);
        for address in self.helpers() {
            let answer = self.link.call(&address.to_string(), &call, DETOUR_TIMEOUT).await;
            last = match answer {
                Ok(PeerAnswer::<()>::Store(StoreAnswer::Refused(reason))) => {
                    StoreAnswer::Refused(reason)
                }
                Ok(PeerAnswer::Store(answer)) => return answer,
                Ok(_) => StoreAnswer::Unknown("answer to another kind of call".to_owned()),
                Err(error) if error.may_have_run() => {
                    return StoreAnswer::Unknown(error.to_string());
                }
                Err(error) => StoreAnswer::Refused(error.to_string()),
            };
        }
        last
    }

    async fn feed(&self, prefix: &str, from: Revision, wait: Duration) -> Option<Changes> {
        let (host, address) = self.feeder()?;
        let wait = wait.min(MOST_WAIT);
        let call = PeerCall::Store(StoreCall::Watch(prefix.to_owned(), from, Span::from(wait)));
        let call: PeerCall<()> = call;
        let answer = self.link.call(&address.to_string(), &call, wait + FEED_MARGIN).await;
        let reason = match answer {
            Ok(PeerAnswer::<()>::Store(StoreAnswer::Changes(changes))) => return Some(changes),
            Ok(PeerAnswer::Store(StoreAnswer::Refused(reason))) => reason,
            Ok(_) => "answer to another kind of call".to_owned(),
            Err(error) => error.to_string(),
        };
        log::info!(feeder:% = host, prefix, reason; "no feed; the platform is watched from here");
        *self.unfed_until.lock() = clock::steady() + UNFED;
        None
    }
}
