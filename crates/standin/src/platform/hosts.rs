//! The list of hosts, shown with a lag.

use std::{collections::VecDeque, time::Duration};

use oleander_core::Revision;
use oleander_platform::{Host, HostListing};
use tokio::time::Instant;

const VIEWS_KEPT: usize = 10_000;

#[derive(Debug, Default)]
pub(super) struct HostTable {
    current: Vec<Host>,
    revision: u64,
    views: VecDeque<DatedView>,
}

#[derive(Debug)]
struct DatedView {
    since: Instant,
    view: HostListing,
}

impl HostTable {
    pub(super) fn put(&mut self, host: Host, now: Instant) {
        self.current.retain(|other| other.name != host.name);
        self.current.push(host);
        self.current.sort_by(|a, b| a.name.cmp(&b.name));
        self.log_view(now);
    }

    pub(super) fn remove(&mut self, name: &str, now: Instant) {
        self.current.retain(|host| host.name != name);
        self.log_view(now);
    }

    /// The list as it stood `lag` before `now`.
    pub(super) fn view(&self, lag: Duration, now: Instant) -> HostListing {
        let shown = self.views.iter().rev().find(|dated| dated.since + lag <= now);
        shown.map_or_else(
            || HostListing { revision: Revision(0), hosts: Vec::new() },
            |dated| dated.view.clone(),
        )
    }

    fn log_view(&mut self, now: Instant) {
        self.revision += 1;
        if self.views.len() == VIEWS_KEPT {
            self.views.pop_front();
        }
        let view = HostListing { revision: Revision(self.revision), hosts: self.current.clone() };
        self.views.push_back(DatedView { since: now, view });
    }
}
