//! Virtual time, engines with a few slots, and hosts that exchange their counts late.

use std::collections::VecDeque;

use oleander_core::{HostId, Span, TargetId, Time, ZoneId};
use oleander_routing::{
    Class, Decision, LeaseId, Observation, Pick, Router, RouterConfig, Target, TicketId,
    preferred_targets,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time step and total time of the simulation.
pub(crate) const STEP: Span = Span::from_millis(5);
const DURATION: Span = Span::from_secs(21);
/// Interval at which hosts send their counts to each other, and time until these arrive.
const EXCHANGE_INTERVAL: Span = Span::from_millis(64);
const EXCHANGE_LAG: Span = Span::from_millis(5);
/// Slots of each engine.
pub(crate) const SLOTS: usize = 8;
/// Service times of an online request and a batch item.
const ONLINE_TIME: Span = Span::from_millis(700);
const ITEM_TIME: Span = Span::from_millis(4_800);
/// Time in a slot before the first output, and the objective for the time from arrival until then.
const FIRST_OUTPUT_TIME: Span = Span::from_millis(60);
pub(crate) const FIRST_OUTPUT_OBJECTIVE: Span = Span::from_millis(300);
/// Time from the request to yield until an item has left its slot.
const YIELD_TIME: Span = Span::from_millis(10);
/// Lengths of the two phases of each period, with their load factors.
const BASELINE: (Span, f64) = (Span::from_millis(3_000), 0.378);
pub(crate) const BURST: (Span, f64) = (Span::from_millis(2_200), 1.85);

/// A request or item at an engine.
#[derive(Debug, Clone)]
struct Work {
    host: usize,
    lease: LeaseId,
    class: Class,
    arrived: Time,
    /// Whether the caller was refused before.
    is_retry: bool,
    started: Option<Time>,
    /// When it leaves its slot, if it was told to yield.
    yields_at: Option<Time>,
}

struct Waiting {
    ticket: TicketId,
    arrived: Time,
    /// Whether the caller was refused before.
    is_retry: bool,
}

/// A load, and how long its requests may wait.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) hosts: usize,
    pub(crate) engines: usize,
    /// Share of all slots that online requests need during bursts.
    pub(crate) utilisation: f64,
    /// Slots of each engine that batch leaves free.
    pub(crate) reserve: u32,
    /// Longest wait of a request.
    pub(crate) patience: Span,
    /// Whether requests past their objective come after all others.
    pub(crate) late_last: bool,
}

impl Load {
    /// A load that needs the share `utilisation` of all slots during bursts; its requests are
    /// refused after [`FIRST_OUTPUT_OBJECTIVE`].
    pub(crate) const fn new(hosts: usize, engines: usize, utilisation: f64) -> Self {
        let (reserve, patience) = (0, FIRST_OUTPUT_OBJECTIVE);
        Self { hosts, engines, utilisation, reserve, patience, late_last: true }
    }

    pub(crate) fn run(self, seed: u64) -> Outcome {
        let slots = (self.engines * SLOTS) as f64;
        let rate = slots * self.utilisation / ONLINE_TIME.to_duration().as_secs_f64() / BURST.1;
        Simulation::new(self, seed).run(rate)
    }
}

/// Results for the callers, and the use of slots by batch.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// New requests, without retries.
    pub(crate) requests: u32,
    /// New requests with their first output within [`FIRST_OUTPUT_OBJECTIVE`].
    pub(crate) within_objective: u32,
    pub(crate) refused: u32,
    /// Requests that were sent to an engine, in time or late.
    pub(crate) served: u32,
    /// Retries after the given time, and how many of them were refused.
    pub(crate) retries: u32,
    pub(crate) retries_refused: u32,
    /// Refusals within a quarter of [`FIRST_OUTPUT_OBJECTIVE`].
    pub(crate) refused_early: u32,
    /// Longest wait of a request that was then refused.
    pub(crate) max_refused_wait: Span,
    /// Mean number of slots in use by batch items.
    pub(crate) batch_slots: f64,
}

impl Outcome {
    pub(crate) fn share_within_objective(&self) -> f64 {
        f64::from(self.within_objective) / f64::from(self.requests)
    }
}

struct Simulation {
    load: Load,
    now: Time,
    rng: Pcg64Mcg,
    hosts: Vec<HostId>,
    routers: Vec<Router>,
    engines: Vec<VecDeque<Work>>,
    queues: Vec<Vec<Waiting>>,
    /// Retry times of refused callers, with the hosts that refused them.
    retrying: Vec<(Time, usize)>,
    outcome: Outcome,
}

fn target_id(index: usize) -> TargetId {
    format!("engine-{index:02}").parse().unwrap()
}

impl Simulation {
    fn new(load: Load, seed: u64) -> Self {
        let Load { hosts, engines, reserve, .. } = load;
        let zone: ZoneId = "junin".parse().unwrap();
        let hosts: Vec<HostId> =
            (0..hosts).map(|n| format!("entry-{n:02}").parse().unwrap()).collect();
        let names: Vec<(TargetId, ZoneId)> =
            (0..engines).map(|n| (target_id(n), zone.clone())).collect();
        let router = |(n, host): (usize, &HostId)| {
            let config = RouterConfig::new(host.clone(), zone.clone()).draws(64);
            let mut router = Router::new(config, n as u64);
            let limit = SLOTS as u32;
            let targets = names.iter().map(|(name, zone)| Target {
                name: name.clone(),
                zone: zone.clone(),
                limit,
                reserve,
            });
            router.set_targets(targets.collect());
            router.set_preferred(&preferred_targets(
                host,
                &hosts,
                &zone,
                names.iter().map(|(t, z)| (t, z)),
            ));
            router
        };
        Self {
            load,
            now: Time(1_000_000),
            rng: Pcg64Mcg::seed_from_u64(seed),
            routers: hosts.iter().enumerate().map(router).collect(),
            queues: hosts.iter().map(|_| Vec::new()).collect(),
            engines: vec![VecDeque::new(); engines],
            retrying: Vec::new(),
            hosts,
            outcome: Outcome::default(),
        }
    }

    /// Runs a load of `rate` requests per second over all hosts, times the load factor.
    fn run(mut self, rate: f64) -> Outcome {
        let start = self.now;
        let mut sent = start;
        let idle = vec![Vec::new(); self.routers.len()];
        self.deliver(start, &idle);
        let mut messages = VecDeque::new();
        while self.now.since(start) < DURATION {
            self.now = self.now + STEP;
            if self.now.since(sent) >= EXCHANGE_INTERVAL {
                sent = self.now;
                let counts: Vec<_> = self.routers.iter().map(Router::counts).collect();
                messages.push_back((self.now, counts));
            }
            if messages.front().is_some_and(|(at, _)| *at + EXCHANGE_LAG <= self.now) {
                let (at, counts) = messages.pop_front().unwrap();
                self.deliver(at, &counts);
            }
            self.run_engines();
            self.add_arrivals(rate * load_factor(self.now.since(start)));
            for host in 0..self.routers.len() {
                self.dispatch(host);
                self.yield_excess(host);
            }
        }
        self.outcome.batch_slots /= (DURATION.0 / STEP.0) as f64;
        self.outcome
    }

    fn deliver(&mut self, at: Time, counts: &[Vec<oleander_routing::PeerCount>]) {
        for (n, router) in self.routers.iter_mut().enumerate() {
            for (from, counts) in counts.iter().enumerate().filter(|(from, _)| *from != n) {
                router.update_peer(self.now, &self.hosts[from], counts.clone(), at);
            }
        }
    }

    fn add_arrivals(&mut self, rate: f64) {
        for host in 0..self.routers.len() {
            let probability = rate / self.routers.len() as f64 * STEP.to_duration().as_secs_f64();
            if self.rng.random_bool(probability) {
                self.enqueue(host, false);
                self.outcome.requests += 1;
            }
        }
        let due = |(at, _): &mut (Time, usize)| *at <= self.now;
        let due: Vec<(Time, usize)> = self.retrying.extract_if(.., due).collect();
        for (_, host) in due {
            // Callers retry at another host than the one that refused.
            self.enqueue((host + 1) % self.routers.len(), true);
            self.outcome.retries += 1;
        }
    }

    fn enqueue(&mut self, host: usize, is_retry: bool) {
        let ticket = self.routers[host].ticket();
        self.queues[host].push(Waiting { ticket, arrived: self.now, is_retry });
    }

    /// Sends a host's waiting requests, then starts batch items until no more fit.
    fn dispatch(&mut self, host: usize) {
        for waiting in std::mem::take(&mut self.queues[host]) {
            let mut pick =
                Pick::online(waiting.ticket).deadline(waiting.arrived + self.load.patience);
            if self.load.late_last {
                pick = pick.goal(waiting.arrived + FIRST_OUTPUT_OBJECTIVE);
            }
            match self.routers[host].pick(self.now, &pick) {
                Decision::Send { target, lease, yields } => {
                    self.outcome.served += 1;
                    self.submit(host, &target, lease, Class::Online, &waiting);
                    self.yield_items(&target, yields);
                }
                Decision::Wait => self.queues[host].push(waiting),
                Decision::Refuse { retry_after } => {
                    let wait = self.now.since(waiting.arrived);
                    self.outcome.max_refused_wait = self.outcome.max_refused_wait.max(wait);
                    self.outcome.refused_early += u32::from(wait.0 * 4 <= FIRST_OUTPUT_OBJECTIVE.0);
                    if waiting.is_retry {
                        self.outcome.retries_refused += 1;
                    } else {
                        self.outcome.refused += 1;
                        self.retrying.push((self.now + retry_after, host));
                    }
                }
            }
        }
        let pick = Pick::of_class(Class::Batch);
        let item = Waiting { ticket: TicketId(0), arrived: self.now, is_retry: false };
        while let Decision::Send { target, lease, .. } = self.routers[host].pick(self.now, &pick) {
            self.submit(host, &target, lease, Class::Batch, &item);
        }
    }

    fn submit(&mut self, host: usize, at: &TargetId, lease: LeaseId, class: Class, from: &Waiting) {
        let &Waiting { arrived, is_retry, .. } = from;
        let engine = (0..self.engines.len()).find(|n| target_id(*n) == *at).unwrap();
        let work = Work { host, lease, class, arrived, is_retry, started: None, yields_at: None };
        self.engines[engine].push_back(work);
    }

    /// Cancels a host's batch excess, newest items first.
    fn yield_excess(&mut self, host: usize) {
        for excess in self.routers[host].batch_excess(self.now) {
            let engine = (0..self.engines.len()).find(|n| target_id(*n) == excess.target).unwrap();
            let yielding = self.engines[engine]
                .iter()
                .filter(|work| work.host == host && work.yields_at.is_some());
            let count = (excess.count as usize).saturating_sub(yielding.count());
            let items = self.engines[engine].iter_mut().rev();
            let items = items.filter(|work| {
                work.host == host && work.class == Class::Batch && work.yields_at.is_none()
            });
            items.take(count).for_each(|work| work.yields_at = Some(self.now + YIELD_TIME));
        }
    }

    /// Tells the newest items at a target to yield.
    fn yield_items(&mut self, at: &TargetId, count: u32) {
        let engine = (0..self.engines.len()).find(|n| target_id(*n) == *at).unwrap();
        let items = self.engines[engine].iter_mut().rev();
        let items = items.filter(|work| work.class == Class::Batch && work.yields_at.is_none());
        items.take(count as usize).for_each(|work| work.yields_at = Some(self.now + YIELD_TIME));
    }

    fn run_engines(&mut self) {
        let now = self.now;
        for engine in &mut self.engines {
            let mut index = 0;
            while index < engine.len() {
                let work = &engine[index];
                let service_time =
                    if work.class == Class::Online { ONLINE_TIME } else { ITEM_TIME };
                let done = work.started.is_some_and(|at| now.since(at) >= service_time);
                if !done && work.yields_at.is_none_or(|at| now < at) {
                    index += 1;
                    continue;
                }
                let work = engine.remove(index).unwrap();
                self.routers[work.host].observe(now, work.lease, Observation::FirstOutput);
                let end = if done { Observation::Done } else { Observation::Cancelled };
                self.routers[work.host].observe(now, work.lease, end);
            }
            for work in engine.iter() {
                if work.started.is_some_and(|at| now.since(at) == FIRST_OUTPUT_TIME) {
                    self.routers[work.host].observe(now, work.lease, Observation::FirstOutput);
                }
            }
            for work in engine.iter_mut().take(SLOTS).filter(|work| work.started.is_none()) {
                work.started = Some(now);
                let first = (now + FIRST_OUTPUT_TIME).since(work.arrived);
                let is_new = work.class == Class::Online && !work.is_retry;
                self.outcome.within_objective +=
                    u32::from(is_new && first <= FIRST_OUTPUT_OBJECTIVE);
            }
            let items = engine.iter().take(SLOTS).filter(|work| work.class == Class::Batch);
            self.outcome.batch_slots += items.count() as f64;
        }
    }
}

/// Load factor at a time after the start.
fn load_factor(after: Span) -> f64 {
    let period = BASELINE.0 + BURST.0;
    if after.0 % period.0 < BASELINE.0.0 { BASELINE.1 } else { BURST.1 }
}
