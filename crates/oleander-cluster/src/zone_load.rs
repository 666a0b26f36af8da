//! Sums of the work in flight of a data centre, reported to the others by one of its hosts.
//!
//! If each host reported to every other one, messages would grow with the square of the number of
//! hosts and take all the processor time of a small host. Hosts of one data centre, which mostly
//! share the same targets, still report to each other directly. The other data centres need the
//! sums only, and get them from one host, the reporter of the data centre.

use std::collections::{BTreeMap, HashMap};

use oleander_core::{HostId, ServiceId, Span, TargetId, Time, ZoneId, hash};
use oleander_routing::PeerCount;

use crate::message::ServiceLoad;

/// Time for which a report is included in the sums; the same as in the router.
const REPORT_TTL: Span = Span::from_millis(1_500);
/// Hash key by which the hosts of a data centre agree on their reporter.
const REPORTER_KEY: &str = "teller";

/// Load reports of this data centre's hosts, and the reporters of the other data centres.
#[derive(Debug, Default)]
pub struct ZoneLoad {
    reports: HashMap<HostId, (Time, Vec<ServiceLoad>)>,
    reporters: HashMap<ZoneId, HostId>,
}

impl ZoneLoad {
    /// Records the report of a host of this data centre.
    pub fn record(&mut self, now: Time, host: &HostId, services: Vec<ServiceLoad>) {
        self.reports.insert(host.clone(), (now, services));
    }

    /// Sets the reporter of another data centre; returns the previous one if it changed, whose sums
    /// are obsolete.
    pub fn set_reporter(&mut self, zone: ZoneId, reporter: &HostId) -> Option<HostId> {
        let previous = self.reporters.insert(zone, reporter.clone());
        previous.filter(|previous| previous != reporter)
    }

    /// Sums up `own` work in flight and the valid reports, by service and target.
    pub fn sums(&mut self, now: Time, own: Vec<ServiceLoad>) -> Vec<ServiceLoad> {
        self.reports.retain(|_, (at, _)| now.since(*at) < REPORT_TTL);
        let mut sums: BTreeMap<ServiceId, BTreeMap<TargetId, PeerCount>> = BTreeMap::new();
        let reported = self.reports.values().flat_map(|(_, services)| services);
        for ServiceLoad { service, counts } in own.iter().chain(reported) {
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

/// Selects the reporter of a data centre among its live hosts.
#[must_use]
pub fn select_reporter(hosts: &[HostId]) -> Option<&HostId> {
    hash::rendezvous(REPORTER_KEY, hosts)
}
