//! What callers get from many hosts with a few slots each, when online load jumps every few
//! seconds and batch fills the rest: the shape of the users' large sites.

#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;

use oleander_core::{HostId, Span, TargetId, Time, ZoneId};
use oleander_routing::{
    Class, Decision, LeaseId, Observation, Pick, Router, RouterConfig, Target, TicketId,
    preferred_targets,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const STEP: Span = Span::from_millis(5);
const LENGTH: Span = Span::from_secs(21);
/// Time between two messages of a host to each other one, and until it arrives.
const EXCHANGE: Span = Span::from_millis(64);
const LAG: Span = Span::from_millis(5);
const SLOTS: usize = 7;
/// How long an online request and a batch item occupy a slot.
const ONLINE: Span = Span::from_millis(700);
const ITEM: Span = Span::from_millis(4_800);
/// Time in a slot before the first output, and time in which callers want it.
const FIRST: Span = Span::from_millis(60);
const AIM: Span = Span::from_millis(300);
/// Time until an item that is asked to make room has left its slot.
const GIVE_WAY: Span = Span::from_millis(10);
/// Parts of a period in which callers ask seldom and often, and the factors then.
const CALM: (Span, f64) = (Span::from_millis(3_000), 0.378);
const RUSH: (Span, f64) = (Span::from_millis(2_200), 1.85);

/// A request or item at an engine.
#[derive(Debug, Clone)]
struct Work {
    host: usize,
    lease: LeaseId,
    class: Class,
    /// When its caller asked.
    asked: Time,
    started: Option<Time>,
    /// When it leaves, if it was asked to make room.
    leaves: Option<Time>,
}

struct Waiting {
    ticket: TicketId,
    asked: Time,
    /// Whether the caller was refused before.
    again: bool,
}

/// What callers got.
#[derive(Debug, Default)]
struct Outcome {
    asked: u32,
    in_time: u32,
    refused: u32,
    /// Callers that came back when they were told to, and those of them that were refused again.
    returned: u32,
    refused_again: u32,
    /// Refusals within a quarter of the time in which callers want their answer.
    refused_soon: u32,
    /// Longest time for which a request was held and then refused.
    held: Span,
    /// Slots that were busy with items, on the mean.
    items: f64,
}

impl Outcome {
    fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked)
    }
}

struct Site {
    now: Time,
    rng: Pcg64Mcg,
    hosts: Vec<HostId>,
    routers: Vec<Router>,
    engines: Vec<VecDeque<Work>>,
    queues: Vec<Vec<Waiting>>,
    /// Refused callers, and when and where they come back.
    returning: Vec<(Time, usize)>,
    outcome: Outcome,
}

fn target(index: usize) -> TargetId {
    format!("engine-{index:02}").parse().unwrap()
}

impl Site {
    fn new(hosts: usize, engines: usize, seed: u64) -> Self {
        let zone: ZoneId = "junin".parse().unwrap();
        let hosts: Vec<HostId> =
            (0..hosts).map(|n| format!("entry-{n:02}").parse().unwrap()).collect();
        let names: Vec<(TargetId, ZoneId)> =
            (0..engines).map(|n| (target(n), zone.clone())).collect();
        let router = |(n, host): (usize, &HostId)| {
            let config = RouterConfig::new(host.clone(), zone.clone()).draws(64);
            let mut router = Router::new(config, n as u64);
            let limit = SLOTS as u32;
            let targets = names.iter().map(|(name, zone)| Target {
                name: name.clone(),
                zone: zone.clone(),
                limit,
                reserve: limit / 8,
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
            now: Time(1_000_000),
            rng: Pcg64Mcg::seed_from_u64(seed),
            routers: hosts.iter().enumerate().map(router).collect(),
            queues: hosts.iter().map(|_| Vec::new()).collect(),
            engines: vec![VecDeque::new(); engines],
            returning: Vec::new(),
            hosts,
            outcome: Outcome::default(),
        }
    }

    /// Plays a load of `rate` requests a second over all hosts.
    fn play(mut self, rate: f64) -> Outcome {
        let start = self.now;
        let mut sent = start;
        let idle = vec![Vec::new(); self.routers.len()];
        self.deliver(start, &idle);
        let mut messages = VecDeque::new();
        while self.now.since(start) < LENGTH {
            self.now = self.now + STEP;
            if self.now.since(sent) >= EXCHANGE {
                sent = self.now;
                let counts: Vec<_> = self.routers.iter().map(Router::counts).collect();
                messages.push_back((self.now, counts));
            }
            if messages.front().is_some_and(|(at, _)| *at + LAG <= self.now) {
                let (at, counts) = messages.pop_front().unwrap();
                self.deliver(at, &counts);
            }
            self.run_engines();
            self.arrive(rate * factor(self.now.since(start)));
            for host in 0..self.routers.len() {
                self.serve(host);
                self.yield_excess(host);
            }
        }
        self.outcome.items /= (LENGTH.0 / STEP.0) as f64;
        self.outcome
    }

    fn deliver(&mut self, at: Time, counts: &[Vec<oleander_routing::PeerCount>]) {
        for (n, router) in self.routers.iter_mut().enumerate() {
            for (from, counts) in counts.iter().enumerate().filter(|(from, _)| *from != n) {
                router.update_peer(self.now, &self.hosts[from], counts.clone(), at);
            }
        }
    }

    fn arrive(&mut self, rate: f64) {
        for host in 0..self.routers.len() {
            let each = rate / self.routers.len() as f64 * STEP.to_duration().as_secs_f64();
            if self.rng.random_bool(each) {
                self.ask(host, false);
                self.outcome.asked += 1;
            }
        }
        let due = |(at, _): &mut (Time, usize)| *at <= self.now;
        let due: Vec<(Time, usize)> = self.returning.extract_if(.., due).collect();
        for (_, host) in due {
            // Callers ask another host than the one that refused.
            self.ask((host + 1) % self.routers.len(), true);
            self.outcome.returned += 1;
        }
    }

    fn ask(&mut self, host: usize, again: bool) {
        let ticket = self.routers[host].ticket();
        self.queues[host].push(Waiting { ticket, asked: self.now, again });
    }

    /// Starts what waits at a host, then items wherever there is room.
    fn serve(&mut self, host: usize) {
        for waiting in std::mem::take(&mut self.queues[host]) {
            let pick = Pick::online(waiting.ticket).deadline(waiting.asked + AIM);
            match self.routers[host].pick(self.now, &pick) {
                Decision::Send { target, lease, yields } => {
                    self.submit(host, &target, lease, Class::Online, waiting.asked);
                    self.make_room(&target, yields);
                }
                Decision::Wait => self.queues[host].push(waiting),
                Decision::Refuse { retry_after } => {
                    let held = self.now.since(waiting.asked);
                    self.outcome.held = self.outcome.held.max(held);
                    self.outcome.refused_soon += u32::from(held.0 * 4 <= AIM.0);
                    if waiting.again {
                        self.outcome.refused_again += 1;
                    } else {
                        self.outcome.refused += 1;
                        self.returning.push((self.now + retry_after, host));
                    }
                }
            }
        }
        let pick = Pick::of_class(Class::Batch);
        while let Decision::Send { target, lease, .. } = self.routers[host].pick(self.now, &pick) {
            self.submit(host, &target, lease, Class::Batch, self.now);
        }
    }

    fn submit(&mut self, host: usize, at: &TargetId, lease: LeaseId, class: Class, asked: Time) {
        let engine = (0..self.engines.len()).find(|n| target(*n) == *at).unwrap();
        let work = Work { host, lease, class, asked, started: None, leaves: None };
        self.engines[engine].push_back(work);
    }

    /// Lets items of a host leave where there is no room for them.
    fn yield_excess(&mut self, host: usize) {
        for excess in self.routers[host].batch_excess(self.now) {
            let engine = (0..self.engines.len()).find(|n| target(*n) == excess.target).unwrap();
            let leaving = self.engines[engine]
                .iter()
                .filter(|work| work.host == host && work.leaves.is_some());
            let count = (excess.count as usize).saturating_sub(leaving.count());
            let items = self.engines[engine].iter_mut().rev();
            let items = items.filter(|work| {
                work.host == host && work.class == Class::Batch && work.leaves.is_none()
            });
            items.take(count).for_each(|work| work.leaves = Some(self.now + GIVE_WAY));
        }
    }

    /// Asks the youngest items at a target to leave.
    fn make_room(&mut self, at: &TargetId, count: u32) {
        let engine = (0..self.engines.len()).find(|n| target(*n) == *at).unwrap();
        let items = self.engines[engine].iter_mut().rev();
        let items = items.filter(|work| work.class == Class::Batch && work.leaves.is_none());
        items.take(count as usize).for_each(|work| work.leaves = Some(self.now + GIVE_WAY));
    }

    fn run_engines(&mut self) {
        let now = self.now;
        for engine in &mut self.engines {
            let mut index = 0;
            while index < engine.len() {
                let work = &engine[index];
                let length = if work.class == Class::Online { ONLINE } else { ITEM };
                let done = work.started.is_some_and(|at| now.since(at) >= length);
                if !done && work.leaves.is_none_or(|at| now < at) {
                    index += 1;
                    continue;
                }
                let work = engine.remove(index).unwrap();
                self.routers[work.host].observe(now, work.lease, Observation::FirstOutput);
                let end = if done { Observation::Done } else { Observation::Cancelled };
                self.routers[work.host].observe(now, work.lease, end);
            }
            for work in engine.iter() {
                if work.started.is_some_and(|at| now.since(at) == FIRST) {
                    self.routers[work.host].observe(now, work.lease, Observation::FirstOutput);
                }
            }
            for work in engine.iter_mut().take(SLOTS).filter(|work| work.started.is_none()) {
                work.started = Some(now);
                let first = (now + FIRST).since(work.asked);
                self.outcome.in_time += u32::from(work.class == Class::Online && first <= AIM);
            }
            let items = engine.iter().take(SLOTS).filter(|work| work.class == Class::Batch);
            self.outcome.items += items.count() as f64;
        }
    }
}

/// Factor of the load at a time after the start.
fn factor(after: Span) -> f64 {
    let period = CALM.0 + RUSH.0;
    if after.0 % period.0 < CALM.0.0 { CALM.1 } else { RUSH.1 }
}

/// Plays a load that needs `part` of all slots while callers ask often.
fn play(hosts: usize, engines: usize, part: f64, seed: u64) -> Outcome {
    let slots = (engines * SLOTS) as f64;
    let rate = slots * part / ONLINE.to_duration().as_secs_f64() / RUSH.1;
    Site::new(hosts, engines, seed).play(rate)
}

#[test]
fn small_hosts_serve_a_rush_that_fits_in_time() {
    for seed in 1..=3 {
        let outcome = play(17, 18, 0.85, seed);
        assert!(outcome.share_in_time() >= 0.95, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn batch_uses_most_of_what_online_leaves() {
    for seed in 1..=3 {
        let outcome = play(17, 18, 0.85, seed);
        let slots = (18 * SLOTS) as f64;
        let left = slots * (1.0 - 0.85 / RUSH.1);
        assert!(outcome.items >= left * 0.7, "seed {seed}: {outcome:?} of {left}");
    }
}

/// More is asked in a rush than all slots can serve. What can't be served is refused soon, and
/// whoever comes back when told to is mostly served.
#[test]
fn a_rush_that_does_not_fit_is_refused_soon_and_with_a_true_time_to_come_back() {
    for seed in 1..=3 {
        let outcome = play(17, 18, 1.3, seed);
        assert!(outcome.refused > 0, "seed {seed}: {outcome:?}");
        assert!(outcome.held <= AIM + STEP, "seed {seed}: {outcome:?}");
        let refusals = f64::from(outcome.refused + outcome.refused_again);
        assert!(f64::from(outcome.refused_soon) >= 0.7 * refusals, "seed {seed}: {outcome:?}");
        let again = f64::from(outcome.refused_again) / f64::from(outcome.returned);
        assert!(again <= 0.5, "seed {seed}: {outcome:?}");
    }
}
