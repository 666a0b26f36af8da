//! The list of hosts, with its past versions.

use std::{collections::VecDeque, time::Duration};

use oleander_core::Revision;
use oleander_platform::{Host, HostListing};
use tokio::time::Instant;

const MAX_VERSIONS: usize = 10_000;

#[derive(Debug, Default)]
pub(super) struct HostTable {
    current: Vec<Host>,
    revision: u64,
    versions: VecDeque<HostVersion>,
}

#[derive(Debug)]
struct HostVersion {
    since: Instant,
    listing: HostListing,
}

impl HostTable {
    pub(super) fn put(&mut self, host: Host, now: Instant) {
        self.current.retain(|other| other.name != host.name);
        self.current.push(host);
        self.current.sort_by(|a, b| a.name.cmp(&b.name));
        self.record_version(now);
    }

    pub(super) fn remove(&mut self, name: &str, now: Instant) {
        self.current.retain(|host| host.name != name);
        self.record_version(now);
    }

    /// The list as it was at `now - lag`.
    pub(super) fn listing_at(&self, lag: Duration, now: Instant) -> HostListing {
        let version = self.versions.iter().rev().find(|version| version.since + lag <= now);
        version.map_or_else(
            || HostListing { revision: Revision(0), hosts: Vec::new() },
            |version| version.listing.clone(),
        )
    }

    fn record_version(&mut self, now: Instant) {
        self.revision += 1;
        if self.versions.len() == MAX_VERSIONS {
            self.versions.pop_front();
        }
        let listing =
            HostListing { revision: Revision(self.revision), hosts: self.current.clone() };
        self.versions.push_back(HostVersion { since: now, listing });
    }
}
