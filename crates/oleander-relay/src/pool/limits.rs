//! Rates that the targets of a pool name.

use oleander_core::Time;
use oleander_host::clock;
use oleander_quarantine::TargetRun;
use oleander_routing::RequestRate;

use super::Pool;
use crate::{
    rates::{RateNews, SendingHost},
    target_list::TargetEntry,
};

impl Pool {
    /// Records what a target says of its rate in response to a request sent at `sent`.
    pub(crate) fn record_rate(&self, target: &TargetEntry, sent: Time, rate: Option<RequestRate>) {
        let mut rates = self.rates.lock();
        if rate.is_none() && rates.is_empty() {
            return;
        }
        let changed = rates.record(clock::steady(), &target.run(), sent, rate);
        drop(rates);
        if changed {
            let rate = rate.map(|rate| rate.to_string());
            metrics::counter!("target_rate_changes_total").increment(1);
            log::info!(target:% = target.id, rate:? = rate; "rate that a target takes changed");
            self.update_rates();
        }
    }

    /// Applies what another host was told.
    pub fn merge_rates(&self, news: Vec<RateNews>) {
        let changed = self.rates.lock().merge(clock::steady(), news);
        if changed {
            self.update_rates();
        }
    }

    /// What other hosts have to know of the rates of targets.
    pub fn rate_news(&self) -> Vec<RateNews> {
        self.rates.lock().news(clock::steady())
    }

    /// Whether hosts that may send requests have to be known, to share the rates of targets.
    pub fn has_rates(&self) -> bool {
        !self.rates.lock().is_empty()
    }

    /// Replaces the hosts that may send requests.
    pub fn set_senders(&self, senders: Vec<SendingHost>) {
        let changed = self.rates.lock().set_senders(senders);
        if changed {
            self.update_rates();
        }
    }

    /// Applies this host's shares of the rates to the router.
    pub(super) fn update_rates(&self) {
        let mut rates = self.rates.lock();
        if rates.is_empty() {
            return;
        }
        let targets = self.targets.read();
        let runs: Vec<TargetRun> = targets.values().map(TargetEntry::run).collect();
        rates.retain(&runs);
        let now = clock::steady();
        let mut router = self.router.lock();
        for target in targets.values() {
            let share = rates.share(&self.host, &target.run(), &target.zone);
            router.set_rate_share(now, &target.id, share);
        }
        drop((router, targets, rates));
        *self.assigned.lock() = None;
        self.changed.notify_waiters();
    }
}
