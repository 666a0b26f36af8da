//! Simulation of several reconcilers with one store and engines that check or ignore fencing
//! numbers.
//!
//! Each action is sent, takes effect and returns its outcome at random times derived from the seed.
//! A paused host neither sends nor receives, but the actions that it has sent still take effect.

use std::collections::{BTreeMap, BTreeSet};

use oleander_core::{Fence, HostId, ModelId, Revision, Span, TargetId, Time};
use oleander_orders::{
    ActionId, Command, Goal, ListedRecord, OrderAction, OrderEvent, OrdersConfig, ReadOutcome,
    Reconciler, SendOutcome, StoredRecord, TargetGoal, WriteOutcome,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

pub(crate) const HOSTS: usize = 3;
pub(crate) const TARGETS: usize = 4;
const MODELS: usize = 3;
const STEP: Span = Span::from_millis(50);
const MAX_LATENCY: Span = Span::from_millis(200);
const MAX_PAUSE: Span = Span::from_secs(20);
/// Maximum time from the expiry check of an order to its effect, if a pause comes in between.
pub(crate) const MAX_ORDER_DELAY: Span = Span::from_secs(40);
/// Maximum time until a host that is not paused has a document.
const MAX_DOCUMENT_DELAY: Span = Span::from_secs(4);

/// Faults that a run has besides pauses, lost messages and incomplete host lists.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Faults {
    /// Whether a host may pause between the expiry check of an order and sending it.
    pub(crate) late_orders: bool,
    /// Whether engines restart, which clears their models and fencing numbers.
    pub(crate) restarts: bool,
}

enum Stage {
    Send(OrderAction),
    Apply { action: OrderAction, lost: bool },
    Receive(OrderEvent),
}

struct PendingStage {
    host: usize,
    at: Time,
    stage: Stage,
}

struct Host {
    reconciler: Reconciler,
    paused_until: Time,
}

/// An engine with its loaded models.
#[derive(Default)]
pub(crate) struct Engine {
    pub(crate) models: BTreeSet<ModelId>,
    pub(crate) checks_fence: bool,
    fence: Fence,
}

/// The reconcilers, their store and their engines.
pub(crate) struct Simulation {
    pub(crate) now: Time,
    pub(crate) engines: Vec<Engine>,
    pub(crate) writes: BTreeMap<TargetId, usize>,
    pub(crate) documents: usize,
    /// Orders that took effect after one with a higher fencing number.
    pub(crate) out_of_order: usize,
    /// Records that replaced one of a newer document.
    pub(crate) reverted: usize,
    rng: Pcg32,
    faults: Option<Faults>,
    config: OrdersConfig,
    revision: u64,
    store: BTreeMap<TargetId, StoredRecord>,
    desired: Vec<Option<ModelId>>,
    hosts: Vec<Host>,
    pending: Vec<PendingStage>,
}

fn host(index: usize) -> HostId {
    format!("host-{index}").parse().unwrap()
}

pub(crate) fn target(index: usize) -> TargetId {
    format!("target-{index}").parse().unwrap()
}

fn model(index: usize) -> ModelId {
    format!("model-{index}").parse().unwrap()
}

impl Simulation {
    pub(crate) fn new(seed: u64, config: OrdersConfig, faults: Faults) -> Self {
        let new = |i| Reconciler::new(config, host(i), 1, seed ^ i as u64);
        let hosts = (0..HOSTS).map(|i| Host { reconciler: new(i), paused_until: Time(0) });
        let engine = |i: usize| Engine { checks_fence: i.is_multiple_of(2), ..Engine::default() };
        let mut simulation = Self {
            now: Time(1_000_000),
            engines: (0..TARGETS).map(engine).collect(),
            writes: BTreeMap::new(),
            documents: 0,
            out_of_order: 0,
            reverted: 0,
            rng: Pcg32::seed_from_u64(seed),
            faults: Some(faults),
            config,
            revision: 0,
            store: BTreeMap::new(),
            desired: vec![None; TARGETS],
            hosts: hosts.collect(),
            pending: Vec::new(),
        };
        simulation.set_views(true);
        simulation.change_document();
        simulation
    }

    fn one_in(&mut self, n: u32) -> bool {
        self.rng.random_range(0..n) == 0
    }

    fn random_time(&mut self, span: Span) -> Time {
        self.now + Span(self.rng.random_range(0..=span.0))
    }

    /// Runs for a time, with faults until they are stopped.
    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            if let Some(faults) = self.faults {
                self.inject_faults(faults);
            }
            self.process_pending();
            for index in 0..HOSTS {
                if !self.is_paused(index) {
                    self.handle_event(index, OrderEvent::Tick);
                }
            }
        }
    }

    /// Stops all faults; actions and events already sent still arrive.
    pub(crate) fn stop_faults(&mut self) {
        self.faults = None;
        self.set_views(true);
    }

    /// Whether each engine has just the desired model loaded, or no model if none is desired.
    pub(crate) fn is_settled(&self) -> bool {
        let reached = |(engine, desired): (&Engine, &Option<ModelId>)| {
            engine.models.iter().eq(desired.iter())
        };
        self.engines.iter().zip(&self.desired).all(reached)
    }

    fn is_paused(&self, index: usize) -> bool {
        self.hosts[index].paused_until > self.now
    }

    fn inject_faults(&mut self, faults: Faults) {
        if self.one_in(60) {
            self.change_document();
        }
        if self.one_in(60) {
            let index = self.rng.random_range(0..HOSTS);
            self.hosts[index].paused_until = self.random_time(MAX_PAUSE);
        }
        if self.one_in(60) {
            self.set_views(false);
        }
        if faults.restarts && self.one_in(300) {
            let index = self.rng.random_range(0..TARGETS);
            self.engines[index].models.clear();
            self.engines[index].fence = Fence(0);
        }
    }

    fn set_views(&mut self, complete: bool) {
        for index in 0..HOSTS {
            let mut view = vec![host(index)];
            for other in (0..HOSTS).filter(|other| *other != index) {
                if complete || !self.one_in(3) {
                    view.push(host(other));
                }
            }
            self.send_event(index, MAX_LATENCY, OrderEvent::Hosts(view));
        }
    }

    fn change_document(&mut self) {
        for index in 0..TARGETS {
            let choice = self.rng.random_range(0..MODELS);
            if self.documents == 0 || self.one_in(2) {
                self.desired[index] = (index == 0 || !self.one_in(5)).then(|| model(choice));
            }
        }
        self.revision += 1;
        self.documents += 1;
        let desired = self.desired.iter().enumerate();
        let goals: Vec<TargetGoal> = desired
            .filter_map(|(i, model)| {
                let goal = Goal::Hold { address: i.to_string(), model: model.clone()? };
                Some(TargetGoal { target: target(i), goal })
            })
            .collect();
        let revision = Revision(self.revision);
        for index in 0..HOSTS {
            let event = OrderEvent::Document { revision, goals: goals.clone() };
            self.send_event(index, MAX_DOCUMENT_DELAY, event);
        }
    }

    fn send_event(&mut self, host: usize, span: Span, event: OrderEvent) {
        let at = self.random_time(span);
        self.pending.push(PendingStage { host, at, stage: Stage::Receive(event) });
    }

    fn handle_event(&mut self, index: usize, event: OrderEvent) {
        for action in self.hosts[index].reconciler.handle(self.now, event) {
            let at = self.random_time(MAX_LATENCY);
            let order = matches!(action, OrderAction::SendOrder { .. });
            if order && self.faults.is_some() && self.one_in(6) {
                self.hosts[index].paused_until = self.random_time(MAX_PAUSE);
            }
            self.pending.push(PendingStage { host: index, at, stage: Stage::Send(action) });
        }
    }

    fn process_pending(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        for entry in pending {
            let paused = !matches!(entry.stage, Stage::Apply { .. }) && self.is_paused(entry.host);
            if entry.at > self.now || paused {
                self.pending.push(entry);
                continue;
            }
            match entry.stage {
                Stage::Send(action) => self.send(entry.host, action),
                Stage::Apply { action, lost } => self.apply(entry.host, action, lost),
                Stage::Receive(event) => self.handle_event(entry.host, event),
            }
        }
    }

    fn send(&mut self, host: usize, action: OrderAction) {
        let mut span = MAX_LATENCY;
        let odds = if matches!(action, OrderAction::SendOrder { .. }) { 3 } else { 10 };
        let mut lost = self.faults.is_some() && self.one_in(odds);
        if let OrderAction::SendOrder { id, not_after, .. } = &action {
            if self.now > *not_after {
                let event = OrderEvent::OrderSent(id.clone(), SendOutcome::Expired);
                return self.send_event(host, Span::ZERO, event);
            }
            if self.faults.is_some_and(|faults| faults.late_orders) && self.one_in(4) {
                (span, lost) = (MAX_ORDER_DELAY, true);
            }
        }
        if lost {
            let at = self.now + self.config.call_timeout();
            if let Some(event) = failure(&action) {
                self.pending.push(PendingStage { host, at, stage: Stage::Receive(event) });
            }
            if self.one_in(2) {
                return;
            }
            span = if span == MAX_LATENCY { self.config.call_timeout() } else { span };
        }
        let at = self.random_time(span);
        self.pending.push(PendingStage { host, at, stage: Stage::Apply { action, lost } });
    }

    fn apply(&mut self, host: usize, action: OrderAction, lost: bool) {
        let event = match action {
            OrderAction::ReadRecord(id) => {
                let found = self.store.get(&id.target).cloned();
                let outcome = found.map_or(ReadOutcome::Absent, ReadOutcome::Found);
                OrderEvent::RecordRead(id, outcome)
            }
            OrderAction::WriteRecord { id, expected, record } => {
                let current = self.store.get(&id.target);
                let outcome = if current.map(|stored| stored.revision) == expected {
                    self.revision += 1;
                    let revision = Revision(self.revision);
                    let older = current.is_some_and(|old| old.record.document > record.document);
                    self.reverted += usize::from(older);
                    *self.writes.entry(id.target.clone()).or_default() += 1;
                    self.store.insert(id.target.clone(), StoredRecord { revision, record });
                    WriteOutcome::Done(revision)
                } else {
                    WriteOutcome::Conflict
                };
                OrderEvent::RecordWritten(id, outcome)
            }
            OrderAction::ReadState { id, address } => {
                let engine = &self.engines[address.parse::<usize>().unwrap()];
                OrderEvent::StateRead(id, Some(engine.models.iter().cloned().collect()))
            }
            OrderAction::SendOrder { id, address, fence, command, .. } => {
                let outcome = self.apply_order(&address, fence, command);
                OrderEvent::OrderSent(id, outcome)
            }
            OrderAction::ListRecords => {
                let listed = self.store.iter().map(|(target, stored)| ListedRecord {
                    target: target.clone(),
                    revision: stored.revision,
                });
                OrderEvent::RecordsListed(listed.collect())
            }
        };
        if !lost {
            self.send_event(host, MAX_LATENCY, event);
        }
    }

    fn apply_order(&mut self, address: &str, fence: Fence, command: Command) -> SendOutcome {
        let engine = &mut self.engines[address.parse::<usize>().unwrap()];
        if fence < engine.fence {
            if engine.checks_fence {
                return SendOutcome::Refused(engine.fence);
            }
            self.out_of_order += 1;
        }
        engine.fence = fence;
        match command {
            Command::Load(model) => engine.models.insert(model),
            Command::Unload(model) => engine.models.remove(&model),
        };
        SendOutcome::Accepted
    }
}

/// The event of an action that had no response; a failed listing is not reported.
fn failure(action: &OrderAction) -> Option<OrderEvent> {
    let copy = |id: &ActionId| id.clone();
    Some(match action {
        OrderAction::ReadRecord(id) => OrderEvent::RecordRead(copy(id), ReadOutcome::Failed),
        OrderAction::WriteRecord { id, .. } => {
            OrderEvent::RecordWritten(copy(id), WriteOutcome::Failed)
        }
        OrderAction::ReadState { id, .. } => OrderEvent::StateRead(copy(id), None),
        OrderAction::SendOrder { id, .. } => OrderEvent::OrderSent(copy(id), SendOutcome::Failed),
        OrderAction::ListRecords => return None,
    })
}
