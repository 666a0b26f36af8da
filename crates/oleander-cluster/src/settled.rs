//! What a host that has just started takes over from others about the versions of services.
//!
//! Only a host that has followed a service for longer than any stream lasts knows by itself that
//! it has had one version. While hosts are restarted one after another, none of them would have run
//! for long enough, so each one asks the others after its start.
//!
//! A few hosts are asked in each round, others in the next. Once one of them has followed the
//! service for long enough, all are asked: a host that knows of another version outweighs it, as
//! the list of the first one may be out of date.

use std::{sync::Arc, time::Duration};

use futures_util::future;
use oleander_core::ServiceId;
use oleander_relay::{StreamAnswer, StreamId};
use tokio::time;

use crate::{
    cluster::{Cluster, PossiblePeer},
    message::PeerRequest,
};

/// Time between two rounds of questions.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Number of hosts that are asked in each round.
const SAMPLE: usize = 3;

impl Cluster {
    /// Asks other hosts about the versions of services that this one has not followed for long;
    /// never returns.
    pub async fn inherit_versions(self: Arc<Self>) {
        for round in 0.. {
            if self.is_listed() {
                for service in self.pools.streams.unsettled() {
                    self.inherit_version(&service, round).await;
                }
            }
            time::sleep(ROUND_INTERVAL).await;
        }
    }

    async fn inherit_version(&self, service: &ServiceId, round: usize) {
        let mut peers = self.possible_peers();
        let first = (round * SAMPLE) % peers.len().max(1);
        peers.rotate_left(first);
        let others = peers.split_off(SAMPLE.min(peers.len()));
        let mut answers = self.ask_versions(service, &peers).await;
        if !answers.iter().any(|answer| matches!(answer, StreamAnswer::Settled(_))) {
            return;
        }
        answers.extend(self.ask_versions(service, &others).await);
        let is_settled = self.pools.streams.inherit(service, &answers);
        log::info!(service:% = service, answers:? = answers, settled = is_settled;
            "versions of a service asked");
    }

    async fn ask_versions(&self, service: &ServiceId, peers: &[PossiblePeer]) -> Vec<StreamAnswer> {
        let request = PeerRequest::StreamVersion(service.clone(), StreamId::NONE);
        let calls = peers.iter().map(|peer| self.ask_version(peer.address, &request));
        future::join_all(calls).await
    }
}
