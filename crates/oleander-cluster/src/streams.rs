//! Exchange of the software versions of streams between hosts.
//!
//! Each host announces its new streams to a few others, so that they survive it, and asks all
//! others about a stream that it does not know.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use oleander_core::hash;
use oleander_relay::{StreamAnswer, StreamQuery, VersionStreams};
use tokio::{sync::mpsc::UnboundedReceiver, time};

use crate::{
    cluster::{Cluster, PossiblePeer},
    message::{PeerRequest, PeerResponse},
};

/// Number of other hosts that keep the streams of a host.
const REPLICAS: usize = 3;
/// Time in which new streams are collected for one announcement; most first events take longer.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum wait for the answers of other hosts about a stream.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);

impl Cluster {
    /// Announces the streams of this host to others; never returns.
    pub async fn announce_streams(self: Arc<Self>) {
        loop {
            // Before the other hosts are known, announcements would reach none of them.
            while !self.is_listed() {
                time::sleep(ANNOUNCE_INTERVAL).await;
            }
            let announced = self.pools.streams.announcements().await;
            self.send_announcement(&announced);
            time::sleep(ANNOUNCE_INTERVAL).await;
        }
    }

    fn send_announcement(&self, announced: &[VersionStreams]) {
        for PossiblePeer { host, address, .. } in self.replicas() {
            self.tell(&host, address, PeerRequest::Streams(announced.to_vec()));
        }
    }

    /// The hosts that keep the streams of this one, by rendezvous hashing; hosts that have not been
    /// reached yet are used if there are too few others, as shortly after the start.
    fn replicas(&self) -> Vec<PossiblePeer> {
        let mut peers = self.possible_peers();
        let local = self.local.host.as_str();
        peers
            .sort_by_key(|peer| (!peer.is_reached, hash::hash_parts(&[local, peer.host.as_str()])));
        peers.truncate(REPLICAS);
        peers
    }

    /// Asks the other hosts about streams that this host does not know; never returns.
    pub async fn ask_about_streams(self: Arc<Self>, mut queries: UnboundedReceiver<StreamQuery>) {
        while let Some(query) = queries.recv().await {
            let cluster = Arc::clone(&self);
            tokio::spawn(async move {
                let answers = cluster.collect_answers(&query).await;
                log::info!(stream:% = query.stream, service:% = query.service, answers:? = answers;
                    "version of a stream asked");
                // The request that asked may have ended.
                let _ = query.answers.send(answers);
            });
        }
    }

    /// Answers of all other hosts that may run; stops at the first that has the stream.
    async fn collect_answers(&self, query: &StreamQuery) -> Vec<StreamAnswer> {
        if !self.is_listed() {
            // The other hosts are not known yet.
            return vec![StreamAnswer::Unreached];
        }
        let request = PeerRequest::StreamVersion(query.service.clone(), query.stream);
        let peers = self.possible_peers();
        let calls = peers.iter().map(|peer| self.ask_version(peer.address, &request));
        let mut calls: FuturesUnordered<_> = calls.collect();
        let mut answers = Vec::new();
        while let Some(answer) = calls.next().await {
            let is_registered = matches!(answer, StreamAnswer::Registered(_));
            answers.push(answer);
            if is_registered {
                break;
            }
        }
        answers
    }

    /// The answer of one host to a [`PeerRequest::StreamVersion`].
    pub(crate) async fn ask_version(
        &self,
        address: SocketAddr,
        request: &PeerRequest<()>,
    ) -> StreamAnswer {
        match self.link.call(&address.to_string(), request, QUERY_TIMEOUT).await {
            Ok(PeerResponse::<()>::StreamVersion(answer)) => answer,
            Ok(_) => StreamAnswer::Unreached,
            Err(error) => {
                log::debug!(address:% = address, error:% = error; "no answer about a stream");
                StreamAnswer::Unreached
            }
        }
    }
}
