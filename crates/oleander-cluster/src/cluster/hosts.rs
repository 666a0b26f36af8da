//! What this host knows of the others: which serve callers, and which are live.

use std::net::SocketAddr;

use oleander_core::{HostId, Span, Time, ZoneId};
use oleander_host::clock;
use oleander_members::{MemberRole, MemberState};
use oleander_relay::SendingHost;

use super::Cluster;
use crate::{
    directory::{Directory, EntryHost},
    record::HostRecord,
};

/// Time after its start in which a host may not have been reached by any other.
const STARTING_TIME: Span = Span::from_secs(10);

/// Whether one run of a process is still live.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// Running, or not known to have stopped.
    Live,
    /// Running and about to stop.
    Leaving,
    /// Stopped, or failed to respond.
    Ended,
}

impl HostRecord {
    /// The state of the host for callers: one that no host has reached long after its start may
    /// have been off for as long, and is left out while there are others.
    fn state_for_callers(&self, wall_now: Time, state: MemberState) -> MemberState {
        let is_starting = wall_now.since(self.started) < STARTING_TIME;
        match state {
            MemberState::Candidate if !is_starting => MemberState::Suspect,
            state => state,
        }
    }
}

/// Another entry host that may run.
#[derive(Debug, Clone)]
pub(crate) struct PossiblePeer {
    pub(crate) host: HostId,
    pub(crate) address: SocketAddr,
    pub(crate) is_reached: bool,
}

impl Cluster {
    /// Selects addresses for a caller in `zone`.
    #[must_use]
    pub fn directory(&self, zone: &ZoneId, max_ttl: Span) -> Directory {
        Directory::select(&self.entry_hosts(), zone, max_ttl)
    }

    fn entry_hosts(&self) -> Vec<EntryHost> {
        let members = self.members.lock();
        let records = self.records.read();
        let others = records.values().filter(|record| record.host != self.local.host);
        let others = others.filter_map(|record| {
            let state = members.state(&record.host).unwrap_or(MemberState::Candidate);
            let state = record.state_for_callers(clock::now(), state);
            let state = self.state_for_callers(&record.host, state);
            Some(EntryHost { address: record.callers?, zone: record.zone.clone(), state })
        });
        let mut hosts: Vec<EntryHost> = others.collect();
        if let (Some(address), false) = (self.local.callers, self.is_leaving()) {
            let zone = self.local.zone.clone();
            let state = self.state_for_callers(&self.local.host, MemberState::Live);
            hosts.push(EntryHost { address, zone, state });
        }
        hosts
    }

    /// The state of a host for callers: one that reaches no targets is left out while there are others.
    fn state_for_callers(&self, host: &HostId, state: MemberState) -> MemberState {
        match state {
            MemberState::Live | MemberState::Candidate if self.is_disconnected(host) => {
                MemberState::Suspect
            }
            state => state,
        }
    }

    /// Whether the run of `host` that started at `started` is live.
    #[must_use]
    pub fn liveness(&self, host: &HostId, started: Time) -> Liveness {
        if *host == self.local.host {
            // A later process may run beside this one.
            return if started < self.local.started { Liveness::Ended } else { Liveness::Live };
        }
        let members = self.members.lock();
        let records = self.records.read();
        let restarted = records.get(host).is_some_and(|record| record.started > started);
        match members.state(host) {
            _ if restarted => Liveness::Ended,
            Some(MemberState::Failed) => Liveness::Ended,
            Some(MemberState::Leaving) => Liveness::Leaving,
            Some(_) => Liveness::Live,
            None if records.contains_key(host) => Liveness::Live,
            None => Liveness::Ended,
        }
    }

    /// Live hosts that serve callers, including this one unless it is leaving.
    #[must_use]
    pub fn live_entry_hosts(&self) -> Vec<HostId> {
        let members = self.members.lock();
        let records = self.records.read();
        let entries = records.values().filter(|record| record.role == MemberRole::Entry);
        let live = entries.filter(|record| {
            if record.host == self.local.host {
                return !self.is_leaving();
            }
            let state = members.state(&record.host);
            matches!(state, Some(MemberState::Live | MemberState::Candidate))
        });
        live.map(|record| record.host.clone()).collect()
    }

    /// The [`serving_hosts`](Self::serving_hosts) with their data centres.
    pub(crate) fn senders(&self) -> Vec<SendingHost> {
        let serving = self.serving_hosts();
        let records = self.records.read();
        let senders = serving.into_iter().filter_map(|host| {
            let zone = records.get(&host)?.zone.clone();
            Some(SendingHost { host, zone })
        });
        senders.collect()
    }

    /// The [`live_entry_hosts`](Self::live_entry_hosts) in `zone`.
    pub(crate) fn live_entry_hosts_in(&self, zone: &ZoneId) -> Vec<HostId> {
        let mut live = self.live_entry_hosts();
        let records = self.records.read();
        live.retain(|host| records.get(host).is_some_and(|record| record.zone == *zone));
        live
    }

    /// Number of entry hosts that are listed or have been heard of, with this one. One that has failed
    /// counts unless the list has dropped it, as it may run beyond a partition.
    pub(crate) fn entry_host_count(&self) -> usize {
        let is_other =
            |host: &HostId, role: MemberRole| role == MemberRole::Entry && *host != self.local.host;
        let records = self.records.read();
        let listed = records.values().filter(|record| is_other(&record.host, record.role)).count();
        drop(records);
        let members = self.members.lock();
        let heard = members.view().filter(|view| {
            let host = &view.profile.host;
            let is_gone = view.state == MemberState::Failed && members.was_dropped(host);
            !is_gone && is_other(host, view.profile.role)
        });
        1 + listed.max(heard.count())
    }

    /// Whether `host` is listed in this host's data centre.
    #[must_use]
    pub fn is_same_zone(&self, host: &HostId) -> bool {
        self.records.read().get(host).is_some_and(|record| record.zone == self.local.zone)
    }

    /// The other reachable entry hosts, with their data centres and addresses.
    pub(crate) fn peers(&self) -> Vec<(HostId, ZoneId, SocketAddr)> {
        let members = self.members.lock();
        let live = members.view().filter(|view| {
            matches!(view.state, MemberState::Live | MemberState::Suspect | MemberState::Leaving)
        });
        let entries = live.filter(|view| view.profile.role == MemberRole::Entry);
        let peers =
            entries.map(|view| (view.profile.host, view.profile.zone, view.profile.address));
        peers.collect()
    }

    /// The other entry hosts that are not known to have failed, also those that have not been
    /// reached yet.
    pub(crate) fn possible_peers(&self) -> Vec<PossiblePeer> {
        let members = self.members.lock();
        let running = members.view().filter(|view| view.state != MemberState::Failed);
        let entries = running.filter(|view| view.profile.role == MemberRole::Entry);
        let peers = entries.map(|view| PossiblePeer {
            host: view.profile.host,
            address: view.profile.address,
            is_reached: view.state != MemberState::Candidate,
        });
        peers.collect()
    }

    /// Whether the records of the hosts have been read.
    pub(crate) fn is_listed(&self) -> bool {
        self.records.read().contains_key(&self.local.host)
    }

    pub(crate) fn address(&self, host: &HostId) -> Option<SocketAddr> {
        let record = self.records.read().get(host).map(|record| record.link);
        record.or_else(|| self.members.lock().address(host))
    }
}
