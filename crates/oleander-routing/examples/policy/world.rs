//! Routers and engines on a common time line of events.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
};

use hdrhistogram::Histogram;
use oleander_core::{HostId, Span, TargetId, Time, Tokens, ZoneId};
use oleander_routing::{
    Class, Decision, LeaseId, LoadReport, Observation, PeerCount, Pick, Policy, Router,
    RouterConfig, Target, TicketId,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    engine::{Emitted, Engine, EngineConfig, Sequence},
    load::{Arrival, PROMPT, around},
};

const EXCHANGE: Span = Span::from_millis(100);
const REPORT: Span = Span::from_millis(500);
/// Tokens between two observations of a stream.
const OUTPUT_STEP: u32 = 8;
/// Times that a refused caller comes back.
const RETURNS: u32 = 2;
/// Longest latency told apart.
const LONGEST: Span = Span::from_secs(300);
/// Latest useful start of an online request after its arrival.
const PATIENCE: Span = Span::from_millis(1_000);

/// Size and setting of one run.
#[derive(Debug, Clone)]
pub(crate) struct Setting {
    pub(crate) entries: usize,
    pub(crate) runners: usize,
    pub(crate) targets: usize,
    pub(crate) zones: usize,
    /// One way between a caller and an entry.
    pub(crate) caller: Span,
    /// One way between two data centres.
    pub(crate) between: Span,
    pub(crate) limit: u32,
    pub(crate) reserve: u32,
    pub(crate) engine: EngineConfig,
    pub(crate) report_lag: Span,
    pub(crate) policy: Policy,
    /// Whether there is batch work.
    pub(crate) batch: bool,
    /// Mean length of a batch item, in tokens.
    pub(crate) item_length: u32,
    pub(crate) warm_up: Time,
    pub(crate) end: Time,
    pub(crate) seed: u64,
    /// Target that freezes in the middle of the run.
    pub(crate) freeze: bool,
    /// Whether the hosts stop hearing each other in the middle of the run.
    pub(crate) cut: bool,
}

/// What a run came to.
pub(crate) struct Outcome {
    pub(crate) first: Histogram<u64>,
    pub(crate) whole: Histogram<u64>,
    pub(crate) give_way: Histogram<u64>,
    pub(crate) online_tokens: u64,
    pub(crate) batch_tokens: u64,
    pub(crate) in_time: u64,
    pub(crate) arrived: u64,
    pub(crate) refused: u64,
    pub(crate) cancels: u64,
    pub(crate) items: u64,
    pub(crate) most: usize,
}

enum Event {
    Arrive { call: usize },
    Submit { target: usize, sequence: Sequence },
    Cancel { target: usize, run: u64 },
    StepEnd { target: usize },
    Output { emitted: Emitted },
    Exchange { host: usize },
    Peer { to: usize, from: usize, counts: Vec<PeerCount>, sent_at: Time },
    Measure { target: usize },
    Report { target: usize, load: LoadReport },
    Wake { host: usize },
    Freeze { target: usize, frozen: bool },
}

struct Call {
    arrival: Arrival,
    /// When the caller asked first, or came back after a refusal.
    asked: Time,
    returns: u32,
}

struct Item {
    prompt: u32,
    length: u32,
    produced: u32,
}

enum Work {
    Call(usize),
    Item(Item),
}

struct Run {
    host: usize,
    target: usize,
    lease: LeaseId,
    seen: u32,
    work: Work,
}

struct Host {
    name: HostId,
    zone: usize,
    router: Router,
    /// Waiting calls in order of arrival.
    waiting: BTreeMap<TicketId, usize>,
    resumes: Vec<Item>,
}

pub(crate) struct World {
    setting: Setting,
    now: Time,
    order: u64,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    payloads: HashMap<u64, Event>,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    indexes: HashMap<TargetId, usize>,
    calls: Vec<Call>,
    runs: BTreeMap<u64, Run>,
    next_run: u64,
    burst: Option<Time>,
    rng: Pcg64Mcg,
    outcome: Outcome,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST.0, 3).expect("valid bounds")
}

fn named<T: std::str::FromStr<Err = oleander_core::ParseIdError>>(kind: &str, index: usize) -> T {
    format!("{kind}-{index:02}").parse().expect("a valid identifier")
}

impl World {
    pub(crate) fn new(setting: Setting, arrivals: &[Arrival]) -> Self {
        let zone = |index: usize| -> ZoneId { named("zone", index % setting.zones) };
        let targets: Vec<Target> = (0..setting.targets)
            .map(|index| Target {
                name: named("engine", index),
                zone: zone(index),
                limit: setting.limit,
                reserve: setting.reserve,
            })
            .collect();
        let indexes = targets.iter().enumerate().map(|(i, t)| (t.name.clone(), i)).collect();
        let hosts = (0..setting.entries + setting.runners).map(|index| {
            let name: HostId = named("host", index);
            let config = RouterConfig::new(name.clone(), zone(index)).policy(setting.policy);
            let mut router = Router::new(config, setting.seed * 1_000 + index as u64);
            router.set_targets(targets.clone());
            let zone = index % setting.zones;
            Host { name, zone, router, waiting: BTreeMap::new(), resumes: Vec::new() }
        });
        let call = |arrival: &Arrival| Call { arrival: *arrival, asked: arrival.at, returns: 0 };
        Self {
            now: Time(0),
            order: 0,
            events: BinaryHeap::new(),
            payloads: HashMap::new(),
            hosts: hosts.collect(),
            engines: (0..setting.targets).map(|_| Engine::default()).collect(),
            indexes,
            calls: arrivals.iter().map(call).collect(),
            runs: BTreeMap::new(),
            next_run: 0,
            burst: None,
            rng: Pcg64Mcg::seed_from_u64(setting.seed),
            outcome: Outcome {
                first: histogram(),
                whole: histogram(),
                give_way: histogram(),
                online_tokens: 0,
                batch_tokens: 0,
                in_time: 0,
                arrived: 0,
                refused: 0,
                cancels: 0,
                items: 0,
                most: 0,
            },
            setting,
        }
    }

    pub(crate) fn run(mut self) -> Outcome {
        self.schedule();
        while let Some(Reverse((at, order))) = self.events.pop() {
            if at > self.setting.end {
                break;
            }
            self.now = at;
            if let Some(event) = self.payloads.remove(&order) {
                self.handle(event);
            }
        }
        self.outcome
    }

    fn schedule(&mut self) {
        for call in 0..self.calls.len() {
            let at = self.calls[call].arrival.at;
            self.at(at + self.setting.caller, Event::Arrive { call });
        }
        for host in 0..self.hosts.len() {
            let offset = Span(self.rng.random_range(0..EXCHANGE.0));
            self.at(Time(0) + offset, Event::Exchange { host });
            self.at(Time(0) + offset, Event::Wake { host });
        }
        for target in 0..self.engines.len() {
            let offset = Span(self.rng.random_range(0..REPORT.0));
            self.at(Time(0) + offset, Event::Measure { target });
        }
        if self.setting.freeze {
            let middle = Time(self.setting.end.0 / 2);
            self.at(middle, Event::Freeze { target: 0, frozen: true });
        }
    }

    fn at(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order)));
        self.payloads.insert(self.order, event);
    }

    fn after(&mut self, span: Span, event: Event) {
        self.at(self.now + span, event);
    }

    /// One way between two data centres, with a little jitter.
    fn link(&mut self, a: usize, b: usize) -> Span {
        let base = if a % self.setting.zones == b % self.setting.zones {
            Span(200)
        } else {
            self.setting.between
        };
        base + Span(self.rng.random_range(0..100))
    }

    fn measured(&self) -> bool {
        self.now >= self.setting.warm_up
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { call } => self.arrive(call),
            Event::Submit { target, sequence } => {
                self.engines[target].submit(sequence);
                self.step(target);
            }
            Event::Cancel { target, run } => {
                self.engines[target].cancel(run);
            }
            Event::StepEnd { target } => self.step_end(target),
            Event::Output { emitted } => self.output(emitted),
            Event::Exchange { host } => {
                self.send_counts(host);
                self.after(EXCHANGE, Event::Exchange { host });
            }
            Event::Peer { to, from, counts, sent_at } => self.peer(to, from, counts, sent_at),
            Event::Measure { target } => self.measure(target),
            Event::Report { target, load } => {
                let name: TargetId = named("engine", target);
                for host in &mut self.hosts {
                    host.router.update_load(self.now, &name, load.clone());
                }
            }
            Event::Wake { host } => {
                self.expire(host);
                self.changed(host);
                self.after(Span::from_millis(20), Event::Wake { host });
            }
            Event::Freeze { target, frozen } => self.engines[target].frozen = frozen,
        }
        self.watch_burst();
    }

    fn arrive(&mut self, call: usize) {
        let arrival = self.calls[call].arrival;
        if self.measured() && self.calls[call].returns == 0 {
            self.outcome.arrived += 1;
        }
        if arrival.burst && self.burst.is_none() && self.measured() {
            self.burst = Some(self.now);
        }
        let ticket = self.hosts[arrival.host].router.ticket();
        self.hosts[arrival.host].waiting.insert(ticket, call);
        self.try_call(arrival.host, ticket, call);
    }

    /// Asks for a target for a waiting call; returns whether it still waits.
    fn try_call(&mut self, host: usize, ticket: TicketId, call: usize) -> bool {
        let deadline = self.calls[call].asked + PATIENCE;
        let pick = Pick::online(ticket).deadline(deadline);
        match self.hosts[host].router.pick(self.now, &pick) {
            Decision::Send { target, lease, yields } => {
                self.hosts[host].waiting.remove(&ticket);
                let arrival = self.calls[call].arrival;
                let work = Work::Call(call);
                self.send(host, &target, lease, work, arrival.prompt, arrival.length, 0);
                if yields > 0 {
                    self.send_counts_to_runners(host);
                }
                false
            }
            Decision::Wait => true,
            Decision::Refuse { retry_after } => {
                self.hosts[host].waiting.remove(&ticket);
                self.refuse(call, retry_after);
                false
            }
        }
    }

    fn refuse(&mut self, call: usize, retry_after: Span) {
        let state = &mut self.calls[call];
        if state.returns < RETURNS {
            state.returns += 1;
            state.asked = self.now + self.setting.caller + retry_after;
            let back = self.setting.caller + retry_after + self.setting.caller;
            self.after(back, Event::Arrive { call });
        } else if self.measured() {
            self.outcome.refused += 1;
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn send(
        &mut self,
        host: usize,
        target: &TargetId,
        lease: LeaseId,
        work: Work,
        prompt: u32,
        length: u32,
        produced: u32,
    ) {
        let target = self.indexes[target];
        let run = self.next_run;
        self.next_run += 1;
        let class = match work {
            Work::Call(_) => Class::Online,
            Work::Item(_) => Class::Batch,
        };
        let sequence = Sequence { run, class, prompt, length, produced };
        self.runs.insert(run, Run { host, target, lease, seen: produced, work });
        let delay = self.link(self.hosts[host].zone, target);
        self.after(delay, Event::Submit { target, sequence });
    }

    fn step(&mut self, target: usize) {
        let engine = &mut self.engines[target];
        if engine.busy {
            return;
        }
        if let Some(took) = engine.start(&self.setting.engine) {
            self.after(took, Event::StepEnd { target });
        }
        let total = self.engines[target].load();
        self.outcome.most = self.outcome.most.max((total.0 + total.1) as usize);
    }

    fn step_end(&mut self, target: usize) {
        let emitted = self.engines[target].finish();
        for token in emitted {
            if self.measured() {
                match token.class {
                    Class::Online => self.outcome.online_tokens += 1,
                    Class::Batch => self.outcome.batch_tokens += 1,
                }
            }
            if token.first || token.done || token.produced % OUTPUT_STEP == 0 {
                let Some(run) = self.runs.get(&token.run) else { continue };
                let host = self.hosts[run.host].zone;
                let delay = self.link(host, target);
                self.after(delay, Event::Output { emitted: token });
            }
        }
        self.step(target);
    }

    fn output(&mut self, token: Emitted) {
        let Some(run) = self.runs.get_mut(&token.run) else { return };
        let (host, lease) = (run.host, run.lease);
        let tokens = Tokens(u64::from(token.produced.saturating_sub(run.seen)));
        run.seen = token.produced;
        let router = &mut self.hosts[host].router;
        if token.first {
            router.observe(self.now, lease, Observation::FirstOutput);
        } else {
            router.observe(self.now, lease, Observation::Output { tokens });
        }
        if let Work::Call(call) = run.work {
            self.record(call, token);
        }
        if token.done {
            self.hosts[host].router.observe(self.now, lease, Observation::Done);
            self.runs.remove(&token.run);
            self.changed(host);
        }
    }

    fn record(&mut self, call: usize, token: Emitted) {
        if !self.measured() {
            return;
        }
        let Call { arrival, asked, .. } = self.calls[call];
        let took = (self.now + self.setting.caller).since(asked).0;
        if token.first {
            self.outcome.first.saturating_record(took);
        }
        if token.done {
            self.outcome.whole.saturating_record(took);
            self.outcome.in_time += u64::from(arrival.length);
        }
    }

    fn send_counts(&mut self, from: usize) {
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            self.send_counts_to(from, to);
        }
    }

    fn send_counts_to_runners(&mut self, from: usize) {
        for to in self.setting.entries..self.hosts.len() {
            self.send_counts_to(from, to);
        }
    }

    fn send_counts_to(&mut self, from: usize, to: usize) {
        let middle = Time(self.setting.end.0 / 2);
        if self.setting.cut && self.now >= middle {
            return;
        }
        let counts = self.hosts[from].router.counts();
        let delay = self.link(self.hosts[from].zone, self.hosts[to].zone);
        let sent_at = self.now;
        self.after(delay, Event::Peer { to, from, counts, sent_at });
    }

    fn peer(&mut self, to: usize, from: usize, counts: Vec<PeerCount>, sent_at: Time) {
        let name = self.hosts[from].name.clone();
        self.hosts[to].router.update_peer(self.now, &name, counts, sent_at);
        self.yield_batch(to);
        self.changed(to);
    }

    /// Cancels the batch items that have no room; they go on elsewhere.
    fn yield_batch(&mut self, host: usize) {
        if host < self.setting.entries {
            return;
        }
        for excess in self.hosts[host].router.batch_excess(self.now) {
            let target = self.indexes[&excess.target];
            let here = self.runs.iter().filter(|(_, r)| r.host == host && r.target == target);
            let runs: Vec<u64> = here.map(|(run, _)| *run).rev().collect();
            for run in runs.into_iter().take(excess.count as usize) {
                self.cancel(run);
            }
        }
    }

    fn cancel(&mut self, id: u64) {
        let Some(run) = self.runs.remove(&id) else { return };
        self.outcome.cancels += u64::from(self.measured());
        let host = &mut self.hosts[run.host];
        host.router.observe(self.now, run.lease, Observation::Cancelled);
        if let Work::Item(item) = run.work {
            host.resumes.push(Item { produced: run.seen, ..item });
        }
        let delay = self.link(self.hosts[run.host].zone, run.target);
        self.after(delay, Event::Cancel { target: run.target, run: id });
    }

    fn measure(&mut self, target: usize) {
        let (running, waiting) = self.engines[target].load();
        let load = LoadReport { running, waiting, measured_at: self.now };
        self.after(self.setting.report_lag, Event::Report { target, load });
        self.after(REPORT, Event::Measure { target });
    }

    /// Asks again for all calls that wait at a host, so that late ones are refused.
    fn expire(&mut self, host: usize) {
        let waiting = self.hosts[host].waiting.clone();
        for (ticket, call) in waiting {
            self.try_call(host, ticket, call);
        }
    }

    /// Asks again for what waits at a host, in order, until something has to wait on.
    fn changed(&mut self, host: usize) {
        let waiting: Vec<(TicketId, usize)> =
            self.hosts[host].waiting.iter().map(|(ticket, call)| (*ticket, *call)).collect();
        for (ticket, call) in waiting {
            if self.try_call(host, ticket, call) {
                break;
            }
        }
        if host >= self.setting.entries && self.setting.batch {
            self.fill(host);
        }
    }

    fn fill(&mut self, host: usize) {
        while let Decision::Send { target, lease, .. } =
            self.hosts[host].router.pick(self.now, &Pick::batch())
        {
            let item = self.hosts[host].resumes.pop().unwrap_or_else(|| Item {
                prompt: around(&mut self.rng, PROMPT),
                length: around(&mut self.rng, self.setting.item_length),
                produced: 0,
            });
            self.outcome.items += 1;
            let (prompt, length, produced) = (item.prompt, item.length, item.produced);
            self.send(host, &target, lease, Work::Item(item), prompt, length, produced);
        }
    }

    /// Ends the measurement of a burst once no engine has more batch than fits.
    fn watch_burst(&mut self) {
        let Some(start) = self.burst else { return };
        let settled = self.now.since(start) >= Span::from_millis(10);
        let limit = self.setting.limit as usize;
        let fits = |engine: &Engine| {
            let batch = engine.count(Class::Batch);
            batch == 0 || batch + engine.count(Class::Online) <= limit
        };
        if settled && self.engines.iter().all(fits) {
            self.burst = None;
            self.outcome.give_way.saturating_record(self.now.since(start).0);
        }
    }
}
