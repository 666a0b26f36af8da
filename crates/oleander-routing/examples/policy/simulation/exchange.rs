//! Counts that hosts send each other, and load reports of engines.

use oleander_core::Time;
use oleander_routing::{LoadReport, PeerCount};

use super::{REPORT_INTERVAL, Simulation, state::Event};

impl Simulation {
    pub(super) fn send_counts(&mut self, from: usize) {
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            self.send_counts_to(from, to);
        }
    }

    pub(super) fn send_counts_to_batch_hosts(&mut self, from: usize) {
        for to in self.settings.entries..self.hosts.len() {
            self.send_counts_to(from, to);
        }
    }

    pub(super) fn send_counts_to(&mut self, from: usize, to: usize) {
        let middle = Time(self.settings.end.0 / 2);
        if self.settings.partition && self.now >= middle {
            return;
        }
        let counts = self.hosts[from].router.counts();
        let delay = self.link_delay(self.hosts[from].zone, self.hosts[to].zone);
        let sent = self.now;
        self.schedule_after(delay, Event::Counts { to, from, counts, sent });
    }

    pub(super) fn receive_counts(
        &mut self,
        to: usize,
        from: usize,
        counts: Vec<PeerCount>,
        sent: Time,
    ) {
        let name = self.hosts[from].name.clone();
        self.hosts[to].router.update_peer(self.now, &name, counts, sent);
        self.yield_batch(to);
        self.retry_waiting(to);
    }

    pub(super) fn measure_load(&mut self, target: usize) {
        let (running, waiting) = self.engines[target].load();
        let load = LoadReport { running, waiting, measured_at: self.now };
        self.schedule_after(self.settings.report_delay, Event::LoadReport { target, load });
        self.schedule_after(REPORT_INTERVAL, Event::MeasureLoad { target });
    }
}
