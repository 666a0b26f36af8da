//! The work in flight of a whole data centre, told to the others by one of its hosts.
//!
//! Answers a fleet in which each host tells every other one: messages grow with the square of the
//! hosts, and a small host is busy with nothing else. Hosts of one data centre, which mostly share
//! the same targets, still hear of each other one by one. The other data centres need the sums
//! only, and hear them from one host, its teller.

use std::collections::{BTreeMap, HashMap};

use oleander_core::{HostId, ServiceId, Span, TargetId, Time, ZoneId, hash};
use oleander_routing::PeerCount;

use crate::message::ServiceLoad;

/// Age after which what a host told is left out of the sums; as the router does.
const KEEP: Span = Span::from_millis(1_500);
/// Key by which the hosts of a data centre agree on their teller.
const TELLER_KEY: &str = "teller";

/// What the hosts of this data centre told, and who tells for the other data centres.
#[derive(Debug, Default)]
pub struct ZoneLoad {
    heard: HashMap<HostId, (Time, Vec<ServiceLoad>)>,
    tellers: HashMap<ZoneId, HostId>,
}

impl ZoneLoad {
    /// Takes what a host of this data centre told.
    pub fn record(&mut self, now: Time, host: &HostId, services: Vec<ServiceLoad>) {
        self.heard.insert(host.clone(), (now, services));
    }

    /// Takes note of the teller of another data centre; returns the one before if it changed,
    /// whose sums no longer count.
    pub fn set_reporter(&mut self, zone: ZoneId, teller: &HostId) -> Option<HostId> {
        let former = self.tellers.insert(zone, teller.clone());
        former.filter(|former| former != teller)
    }

    /// Sums of `own` work and what was heard lately, by service and target.
    pub fn sums(&mut self, now: Time, own: Vec<ServiceLoad>) -> Vec<ServiceLoad> {
        self.heard.retain(|_, (at, _)| now.since(*at) < KEEP);
        let mut sums: BTreeMap<ServiceId, BTreeMap<TargetId, PeerCount>> = BTreeMap::new();
        let heard = self.heard.values().flat_map(|(_, services)| services);
        for ServiceLoad { service, counts } in own.iter().chain(heard) {
            let targets = sums.entry(service.clone()).or_default();
            for count in counts {
                let sum = targets.entry(count.target.clone()).or_insert_with(|| PeerCount {
                    target: count.target.clone(),
                    online: 0,
                    batch: 0,
                });
                sum.online += count.online;
                sum.batch += count.batch;
            }
        }
        let services = sums.into_iter().map(|(service, targets)| ServiceLoad {
            service,
            counts: targets.into_values().collect(),
        });
        services.collect()
    }
}

/// The host that tells for a data centre, given its live hosts.
#[must_use]
pub fn select_reporter(hosts: &[HostId]) -> Option<&HostId> {
    hash::rendezvous(TELLER_KEY, hosts)
}
