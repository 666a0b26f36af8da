//! Discrete-event simulation of routers and engines.

mod batch;
mod exchange;
mod state;
mod steps;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
};

use hdrhistogram::Histogram;
use oleander_core::{HostId, Span, TargetId, Time, ZoneId};
use oleander_routing::{Class, Decision, LeaseId, Pick, Router, RouterConfig, Target, TicketId};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    engine::{Engine, Sequence},
    load::Arrival,
    settings::{Outcome, Settings},
};

use state::{Call, Event, Host, Run, Work};

/// Interval at which a host sends its in-flight counts to its peers.
const EXCHANGE_INTERVAL: Span = Span::from_millis(100);
/// Interval at which an engine measures its load.
const REPORT_INTERVAL: Span = Span::from_millis(500);
/// Number of times that a refused caller retries.
const MAX_RETRIES: u32 = 2;
/// Upper bound of the histograms.
const MAX_LATENCY: Span = Span::from_secs(300);
/// Maximum time from the arrival of an online request to its start.
const MAX_QUEUEING: Span = Span::from_millis(1_000);

pub(crate) struct Simulation {
    settings: Settings,
    now: Time,
    next_event: u64,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Event>,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    target_indexes: HashMap<TargetId, usize>,
    calls: Vec<Call>,
    runs: BTreeMap<u64, Run>,
    next_run: u64,
    /// Start of the burst that is being measured.
    burst_start: Option<Time>,
    rng: Pcg64Mcg,
    outcome: Outcome,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY.0, 3).expect("valid bounds")
}

fn numbered_id<T: std::str::FromStr<Err = oleander_core::ParseIdError>>(
    kind: &str,
    index: usize,
) -> T {
    format!("{kind}-{index:02}").parse().expect("a valid identifier")
}

impl Simulation {
    pub(crate) fn new(settings: Settings, arrivals: &[Arrival]) -> Self {
        let zone = |index: usize| -> ZoneId { numbered_id("zone", index % settings.zones) };
        let targets: Vec<Target> = (0..settings.targets)
            .map(|index| Target {
                name: numbered_id("engine", index),
                zone: zone(index),
                limit: settings.limit,
                reserve: settings.reserve,
            })
            .collect();
        let target_indexes = targets.iter().enumerate().map(|(i, t)| (t.name.clone(), i)).collect();
        let hosts = (0..settings.entries + settings.batch_hosts).map(|index| {
            let name: HostId = numbered_id("host", index);
            let config = RouterConfig::new(name.clone(), zone(index)).policy(settings.policy);
            let mut router = Router::new(config, settings.seed * 1_000 + index as u64);
            router.set_targets(targets.clone());
            let zone = index % settings.zones;
            Host { name, zone, router, waiting: BTreeMap::new(), resumable: Vec::new() }
        });
        let call = |arrival: &Arrival| Call { arrival: *arrival, sent_at: arrival.at, retries: 0 };
        Self {
            now: Time(0),
            next_event: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            hosts: hosts.collect(),
            engines: (0..settings.targets).map(|_| Engine::default()).collect(),
            target_indexes,
            calls: arrivals.iter().map(call).collect(),
            runs: BTreeMap::new(),
            next_run: 0,
            burst_start: None,
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            outcome: Outcome {
                first_token: histogram(),
                response: histogram(),
                yield_time: histogram(),
                online_tokens: 0,
                batch_tokens: 0,
                completed_tokens: 0,
                arrived: 0,
                refused: 0,
                cancels: 0,
                items: 0,
                max_at_engine: 0,
            },
            settings,
        }
    }

    pub(crate) fn run(mut self) -> Outcome {
        self.schedule_initial();
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > self.settings.end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self.outcome
    }

    /// Schedules the arrivals and the first of each periodic event.
    fn schedule_initial(&mut self) {
        for call in 0..self.calls.len() {
            let at = self.calls[call].arrival.at;
            self.schedule(at + self.settings.caller_delay, Event::Arrive { call });
        }
        for host in 0..self.hosts.len() {
            let offset = Span(self.rng.random_range(0..EXCHANGE_INTERVAL.0));
            self.schedule(Time(0) + offset, Event::SendCounts { host });
            self.schedule(Time(0) + offset, Event::Wake { host });
        }
        for target in 0..self.engines.len() {
            let offset = Span(self.rng.random_range(0..REPORT_INTERVAL.0));
            self.schedule(Time(0) + offset, Event::MeasureLoad { target });
        }
        if self.settings.freeze {
            let middle = Time(self.settings.end.0 / 2);
            self.schedule(middle, Event::Freeze { target: 0, frozen: true });
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    fn schedule_after(&mut self, delay: Span, event: Event) {
        self.schedule(self.now + delay, event);
    }

    /// One-way delay between two hosts or targets, with jitter.
    fn link_delay(&mut self, a: usize, b: usize) -> Span {
        let base = if a % self.settings.zones == b % self.settings.zones {
            Span(200)
        } else {
            self.settings.zone_delay
        };
        base + Span(self.rng.random_range(0..100))
    }

    /// Whether the warm-up is over.
    fn is_measured(&self) -> bool {
        self.now >= self.settings.warm_up
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { call } => self.arrive(call),
            Event::Submit { target, sequence } => {
                self.engines[target].submit(sequence);
                self.start_step(target);
            }
            Event::Cancel { target, run } => {
                self.engines[target].cancel(run);
            }
            Event::FinishStep { target } => self.finish_step(target),
            Event::Output { output } => self.observe_output(output),
            Event::SendCounts { host } => {
                self.send_counts(host);
                self.schedule_after(EXCHANGE_INTERVAL, Event::SendCounts { host });
            }
            Event::Counts { to, from, counts, sent } => self.receive_counts(to, from, counts, sent),
            Event::MeasureLoad { target } => self.measure_load(target),
            Event::LoadReport { target, load } => {
                let name: TargetId = numbered_id("engine", target);
                for host in &mut self.hosts {
                    host.router.update_load(self.now, &name, load.clone());
                }
            }
            Event::Wake { host } => {
                self.retry_all(host);
                self.retry_waiting(host);
                self.schedule_after(Span::from_millis(20), Event::Wake { host });
            }
            Event::Freeze { target, frozen } => self.engines[target].frozen = frozen,
        }
        self.check_burst();
    }

    fn arrive(&mut self, call: usize) {
        let arrival = self.calls[call].arrival;
        if self.is_measured() && self.calls[call].retries == 0 {
            self.outcome.arrived += 1;
        }
        if arrival.starts_burst && self.burst_start.is_none() && self.is_measured() {
            self.burst_start = Some(self.now);
        }
        let ticket = self.hosts[arrival.host].router.ticket();
        self.hosts[arrival.host].waiting.insert(ticket, call);
        self.try_send(arrival.host, ticket, call);
    }

    /// Sends a waiting call if the router picks a target; returns whether it still waits.
    fn try_send(&mut self, host: usize, ticket: TicketId, call: usize) -> bool {
        let deadline = self.calls[call].sent_at + MAX_QUEUEING;
        let pick = Pick::online(ticket).deadline(deadline);
        match self.hosts[host].router.pick(self.now, &pick) {
            Decision::Send { target, lease, yields } => {
                self.hosts[host].waiting.remove(&ticket);
                let arrival = self.calls[call].arrival;
                let work = Work::Call(call);
                self.dispatch(host, &target, lease, work, arrival.prompt, arrival.length, 0);
                if yields > 0 {
                    self.send_counts_to_batch_hosts(host);
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
        if state.retries < MAX_RETRIES {
            state.retries += 1;
            state.sent_at = self.now + self.settings.caller_delay + retry_after;
            let delay = self.settings.caller_delay + retry_after + self.settings.caller_delay;
            self.schedule_after(delay, Event::Arrive { call });
        } else if self.is_measured() {
            self.outcome.refused += 1;
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn dispatch(
        &mut self,
        host: usize,
        target: &TargetId,
        lease: LeaseId,
        work: Work,
        prompt: u32,
        length: u32,
        produced: u32,
    ) {
        let target = self.target_indexes[target];
        let run = self.next_run;
        self.next_run += 1;
        let class = match work {
            Work::Call(_) => Class::Online,
            Work::Item(_) => Class::Batch,
        };
        let sequence = Sequence { run, class, prompt, length, produced };
        self.runs.insert(run, Run { host, target, lease, observed: produced, work });
        let delay = self.link_delay(self.hosts[host].zone, target);
        self.schedule_after(delay, Event::Submit { target, sequence });
    }

    /// Retries all calls that wait at a host, so that late ones are refused.
    fn retry_all(&mut self, host: usize) {
        let waiting = self.hosts[host].waiting.clone();
        for (ticket, call) in waiting {
            self.try_send(host, ticket, call);
        }
    }

    /// Retries the calls that wait at a host, in order, until one has to wait; then starts batch
    /// items.
    fn retry_waiting(&mut self, host: usize) {
        let waiting: Vec<(TicketId, usize)> =
            self.hosts[host].waiting.iter().map(|(ticket, call)| (*ticket, *call)).collect();
        for (ticket, call) in waiting {
            if self.try_send(host, ticket, call) {
                break;
            }
        }
        if host >= self.settings.entries && self.settings.batch {
            self.start_batch(host);
        }
    }

    /// Ends the measurement of a burst once batch fits beside online at every engine.
    fn check_burst(&mut self) {
        let Some(start) = self.burst_start else { return };
        let settled = self.now.since(start) >= Span::from_millis(10);
        let limit = self.settings.limit as usize;
        let fits = |engine: &Engine| {
            let batch = engine.count(Class::Batch);
            batch == 0 || batch + engine.count(Class::Online) <= limit
        };
        if settled && self.engines.iter().all(fits) {
            self.burst_start = None;
            self.outcome.yield_time.saturating_record(self.now.since(start).0);
        }
    }
}
