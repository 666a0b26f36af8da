//! The rates that targets of one service name, and this host's shares of them.
//!
//! A few hosts send requests to a target that names a rate, those of its data centre if there are
//! any, and each has an equal share. Rendezvous hashing selects them, so that hosts with the
//! same view of each other agree without messages. The other hosts learn from them that a target
//! names a rate, and that it no longer does.

use std::collections::BTreeMap;

use oleander_core::{HostId, Span, TargetId, Time, ZoneId, hash, value};
use oleander_quarantine::TargetRun;
use oleander_routing::{RateShare, RequestRate};

/// Hosts that send to a target whose rate is less than one request a second.
const MIN_SENDERS: usize = 4;
/// Requests a second for which there is one more such host.
const RATE_PER_SENDER: f64 = 2.0;
/// Requests that all hosts together may send to a target at one moment after a time without any,
/// unless there are more such hosts.
const MAX_BURST: u64 = 5;
/// Time for which the end of a rate is told to other hosts.
const END_RETENTION: Span = Span::from_secs(60);

value! {
    /// What a target said last of the rate that it takes.
    pub struct RateNews {
        /// The run of the target.
        pub run: TargetRun,
        /// The rate; `None` if it named one before.
        pub rate: Option<RequestRate>,
        /// Time since it said so.
        pub age: Span,
    }

    /// A host that may send requests.
    #[derive(PartialOrd, Ord)]
    pub struct SendingHost {
        /// The host.
        pub host: HostId,
        /// Its data centre.
        pub zone: ZoneId,
    }
}

/// What a target said last.
#[derive(Debug, Clone, Copy)]
struct Statement {
    rate: Option<RequestRate>,
    at: Time,
}

/// The rates that targets of one service name.
#[derive(Debug, Clone, Default)]
pub struct TargetRates {
    statements: BTreeMap<TargetRun, Statement>,
    senders: Vec<SendingHost>,
}

impl TargetRates {
    /// Applies what a target said in response to a request sent at `sent`; returns whether that
    /// changes its rate.
    ///
    /// Responses overtake each other: one without a rate counts only if its request was sent after
    /// the target last named one.
    pub fn record(
        &mut self,
        now: Time,
        run: &TargetRun,
        sent: Time,
        rate: Option<RequestRate>,
    ) -> bool {
        let known = self.statements.get(run).copied();
        let limited = known.filter(|statement| statement.rate.is_some());
        if rate.is_none() && limited.is_none_or(|statement| sent <= statement.at) {
            return false;
        }
        self.statements.insert(run.clone(), Statement { rate, at: now });
        known.and_then(|statement| statement.rate) != rate
    }

    /// Applies what another host was told later; returns whether that changes any rate.
    pub fn merge(&mut self, now: Time, news: Vec<RateNews>) -> bool {
        let mut changed = false;
        for RateNews { run, rate, age } in news {
            let at = Time(now.0.saturating_sub(age.0));
            let known = self.statements.get(&run).copied();
            if known.is_some_and(|statement| statement.at >= at) {
                continue;
            }
            changed |= known.and_then(|statement| statement.rate) != rate;
            self.statements.insert(run, Statement { rate, at });
        }
        changed
    }

    /// What other hosts have to know.
    #[must_use]
    pub fn news(&self, now: Time) -> Vec<RateNews> {
        let recent = self.statements.iter().filter(|(_, statement)| {
            statement.rate.is_some() || now.since(statement.at) < END_RETENTION
        });
        let news = recent.map(|(run, statement)| RateNews {
            run: run.clone(),
            rate: statement.rate,
            age: now.since(statement.at),
        });
        news.collect()
    }

    /// Drops the statements of runs that are no longer listed.
    pub fn retain(&mut self, listed: &[TargetRun]) {
        self.statements.retain(|run, _| listed.contains(run));
    }

    /// Whether a target names a rate.
    #[must_use]
    pub fn names_rate(&self, run: &TargetRun) -> bool {
        self.statements.get(run).is_some_and(|statement| statement.rate.is_some())
    }

    /// Whether no target names a rate, or did lately.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Replaces the hosts that may send requests; returns whether they changed.
    pub fn set_senders(&mut self, mut senders: Vec<SendingHost>) -> bool {
        senders.sort();
        let changed = self.senders != senders;
        self.senders = senders;
        changed
    }

    /// The share of `host` in the rate of a target in `zone`; `None` if it names none.
    #[must_use]
    pub fn share(&self, host: &HostId, run: &TargetRun, zone: &ZoneId) -> Option<RateShare> {
        let rate = self.statements.get(run)?.rate?;
        let count = MIN_SENDERS + (rate.per_second() / RATE_PER_SENDER) as usize;
        let hosts = self.senders_to(&run.target, zone, count);
        if hosts.is_empty() {
            // The other hosts are not known yet.
            return Some(RateShare::Nothing);
        }
        if !hosts.contains(&host) {
            return Some(RateShare::Nothing);
        }
        let senders = hosts.len() as u64;
        let interval = rate.interval() * senders;
        let tolerance = rate.interval() * MAX_BURST.saturating_sub(senders);
        Some(RateShare::Paced { interval, tolerance })
    }

    /// The hosts that send to a target, at most `count`.
    fn senders_to(&self, target: &TargetId, zone: &ZoneId, count: usize) -> Vec<&HostId> {
        let local = self.senders.iter().filter(|sender| sender.zone == *zone);
        let mut hosts: Vec<&HostId> = local.map(|sender| &sender.host).collect();
        if hosts.is_empty() {
            hosts = self.senders.iter().map(|sender| &sender.host).collect();
        }
        hosts.sort_by_key(|host| hash::hash_parts(&[target.as_str(), host.as_str()]));
        hosts.truncate(count);
        hosts
    }
}
