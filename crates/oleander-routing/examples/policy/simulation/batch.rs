//! Starts and cancellations of batch items.

use oleander_routing::{Decision, Observation, Pick};

use super::{
    Simulation,
    state::{Event, Item, Work},
};
use crate::load::{PROMPT_LENGTH, random_length};

impl Simulation {
    /// Cancels the batch items that have no room, to be resumed later.
    pub(super) fn yield_batch(&mut self, host: usize) {
        if host < self.settings.entries {
            return;
        }
        for excess in self.hosts[host].router.batch_excess(self.now) {
            let target = self.target_indexes[&excess.target];
            let local = self.runs.iter().filter(|(_, r)| r.host == host && r.target == target);
            let runs: Vec<u64> = local.map(|(run, _)| *run).rev().collect();
            for run in runs.into_iter().take(excess.count as usize) {
                self.cancel(run);
            }
        }
    }

    pub(super) fn cancel(&mut self, id: u64) {
        let Some(run) = self.runs.remove(&id) else { return };
        self.outcome.cancels += u64::from(self.is_measured());
        let host = &mut self.hosts[run.host];
        host.router.observe(self.now, run.lease, Observation::Cancelled);
        if let Work::Item(item) = run.work {
            host.resumable.push(Item { produced: run.observed, ..item });
        }
        let delay = self.link_delay(self.hosts[run.host].zone, run.target);
        self.schedule_after(delay, Event::Cancel { target: run.target, run: id });
    }

    /// Starts batch items until the router has no room for more.
    pub(super) fn start_batch(&mut self, host: usize) {
        while let Decision::Send { target, lease, .. } =
            self.hosts[host].router.pick(self.now, &Pick::batch())
        {
            let item = self.hosts[host].resumable.pop().unwrap_or_else(|| Item {
                prompt: random_length(&mut self.rng, PROMPT_LENGTH),
                length: random_length(&mut self.rng, self.settings.item_length),
                produced: 0,
            });
            self.outcome.items += 1;
            let (prompt, length, produced) = (item.prompt, item.length, item.produced);
            self.dispatch(host, &target, lease, Work::Item(item), prompt, length, produced);
        }
    }
}
