//! Exchange between hosts of which of them reach no target.
//!
//! A host that has lost its links to the targets of a service tells all others at once, and again
//! while that lasts. They leave it out of the addresses that callers get and don't give it jobs, and
//! it sends its requests through them.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use oleander_core::{HostId, ServiceId, Span, Time};
use oleander_host::clock;
use oleander_members::{MemberRole, MemberState};
use oleander_relay::Helper;
use tokio::time;

use crate::{
    cluster::{Cluster, PossiblePeer},
    message::PeerRequest,
    record::HostRecord,
};

/// Interval at which a disconnected host repeats that it is.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which it counts as disconnected after it has said so.
const TTL: Span = Span::from_millis(1_600);
/// Offset from the port of a host's link to that for the requests of other hosts' callers.
const FORWARD_PORT_OFFSET: u16 = 2;

/// Hosts that reach no targets of some services.
#[derive(Debug, Default)]
pub(crate) struct DisconnectedHosts {
    hosts: HashMap<HostId, (Time, Vec<ServiceId>)>,
}

impl DisconnectedHosts {
    /// Records what a host says; returns whether that is new.
    fn record(&mut self, now: Time, host: &HostId, services: Vec<ServiceId>) -> bool {
        if services.is_empty() {
            return self.hosts.remove(host).is_some();
        }
        self.hosts.retain(|other, (at, _)| other == host || now.since(*at) < TTL);
        let known = self.hosts.insert(host.clone(), (now, services.clone()));
        known.is_none_or(|(at, known)| known != services || now.since(at) >= TTL)
    }

    /// The services whose targets a host does not reach, as it has said lately.
    fn lost(&self, now: Time, host: &HostId) -> Vec<ServiceId> {
        let known = self.hosts.get(host).filter(|(at, _)| now.since(*at) < TTL);
        known.map(|(_, services)| services.clone()).unwrap_or_default()
    }
}

/// Address of a host for the requests of other hosts' callers.
#[must_use]
pub const fn forward_address(link: SocketAddr) -> SocketAddr {
    let mut address = link;
    // The record of another writer may name any port.
    address.set_port(link.port().saturating_add(FORWARD_PORT_OFFSET));
    address
}

impl Cluster {
    /// Tells other hosts whether this one reaches targets, and chooses hosts that do; never returns.
    pub async fn share_links(self: Arc<Self>) {
        let mut repeat = time::interval(REPEAT_INTERVAL);
        loop {
            let is_change = tokio::select! {
                () = self.pools.link_changed() => true,
                _ = repeat.tick() => false,
            };
            let disconnected = self.pools.disconnected();
            if is_change || !disconnected.is_empty() {
                self.tell_all(&PeerRequest::Disconnected(disconnected));
            }
            // A host that loses its links has requests for others at once.
            self.choose_helpers();
        }
    }

    /// Sends a message to all other entry hosts that may run.
    pub(crate) fn tell_all(&self, message: &PeerRequest<()>) {
        for PossiblePeer { host, address, .. } in self.possible_peers() {
            self.tell(&host, address, message.clone());
        }
    }

    pub(crate) fn receive_disconnected(&self, host: &HostId, services: Vec<ServiceId>) {
        log::debug!(host:% = host, services:? = services; "links of another host");
        let is_new = self.disconnected.lock().record(clock::steady(), host, services.clone());
        if is_new {
            log::info!(host:% = host, services:? = services; "another host has told which targets it does not reach");
            self.choose_helpers();
        }
    }

    /// Whether a host reaches no target of any service, as far as known.
    pub(crate) fn is_disconnected(&self, host: &HostId) -> bool {
        if *host == self.local.host {
            return self.pools.is_disconnected();
        }
        let lost = self.disconnected.lock().lost(clock::steady(), host);
        let mut services = self.pools.services().into_iter();
        !lost.is_empty() && services.all(|service| lost.contains(&service))
    }

    /// The [`live_entry_hosts`](Self::live_entry_hosts) that reach targets; all of them if none does.
    #[must_use]
    pub fn serving_hosts(&self) -> Vec<HostId> {
        let live = self.live_entry_hosts();
        let serving: Vec<HostId> =
            live.iter().filter(|host| !self.is_disconnected(host)).cloned().collect();
        if serving.is_empty() { live } else { serving }
    }

    fn choose_helpers(&self) {
        let members = self.members.lock();
        let live = members.view().filter(|view| view.state == MemberState::Live);
        let entries = live.filter(|view| view.profile.role == MemberRole::Entry);
        let profiles: Vec<_> = entries.map(|view| view.profile).collect();
        drop(members);
        let now = clock::steady();
        let disconnected = self.disconnected.lock();
        let helpers = profiles.into_iter().map(|profile| {
            let lost = disconnected.lost(now, &profile.host);
            Helper::new(profile.host, profile.zone, forward_address(profile.address)).lost(lost)
        });
        self.pools.set_helpers(helpers.collect());
    }
}

impl HostRecord {
    /// Address for the requests of other hosts' callers.
    #[must_use]
    pub const fn forward_address(&self) -> SocketAddr {
        forward_address(self.link)
    }
}
