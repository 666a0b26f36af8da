//! Several reconcilers over one store and engines that check or ignore fencing numbers.
//!
//! A call goes out, takes effect and is answered at times drawn from the seed. A paused host
//! neither sends nor hears, but what it has sent still takes effect.

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
const LATENCY: Span = Span::from_millis(200);
const LONGEST_PAUSE: Span = Span::from_secs(20);
/// Longest time that an order may be on its way once a pause has held it up.
pub(crate) const LATEST: Span = Span::from_secs(40);
/// Longest time until a running host has a document.
const SPREADING: Span = Span::from_secs(4);

/// Which faults a run shows.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Faults {
    /// Whether a pause may come between the check of an order's age and its way out.
    pub(crate) late_orders: bool,
    /// Whether engines restart without their models.
    pub(crate) restarts: bool,
}

enum Stage {
    Send(OrderAction),
    Land { action: OrderAction, lost: bool },
    Hear(OrderEvent),
}

struct Pending {
    host: usize,
    at: Time,
    stage: Stage,
}

struct Host {
    reconciler: Reconciler,
    paused_until: Time,
}

/// An engine that holds models.
#[derive(Default)]
pub(crate) struct Engine {
    pub(crate) models: BTreeSet<ModelId>,
    pub(crate) checks: bool,
    fence: Fence,
}

/// Everything outside the reconcilers, and the reconcilers.
pub(crate) struct World {
    pub(crate) now: Time,
    pub(crate) engines: Vec<Engine>,
    pub(crate) writes: BTreeMap<TargetId, usize>,
    pub(crate) documents: usize,
    /// Orders that took effect after one with a higher fencing number.
    pub(crate) overtaken: usize,
    /// Records that came from an older document than the one before.
    pub(crate) reverted: usize,
    rng: Pcg32,
    faults: Option<Faults>,
    config: OrdersConfig,
    revision: u64,
    store: BTreeMap<TargetId, StoredRecord>,
    wanted: Vec<Option<ModelId>>,
    hosts: Vec<Host>,
    pending: Vec<Pending>,
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

impl World {
    pub(crate) fn new(seed: u64, config: OrdersConfig, faults: Faults) -> Self {
        let new = |i| Reconciler::new(config, host(i), 1, seed ^ i as u64);
        let hosts = (0..HOSTS).map(|i| Host { reconciler: new(i), paused_until: Time(0) });
        let engine = |i: usize| Engine { checks: i.is_multiple_of(2), ..Engine::default() };
        let mut world = Self {
            now: Time(1_000_000),
            engines: (0..TARGETS).map(engine).collect(),
            writes: BTreeMap::new(),
            documents: 0,
            overtaken: 0,
            reverted: 0,
            rng: Pcg32::seed_from_u64(seed),
            faults: Some(faults),
            config,
            revision: 0,
            store: BTreeMap::new(),
            wanted: vec![None; TARGETS],
            hosts: hosts.collect(),
            pending: Vec::new(),
        };
        world.set_views(true);
        world.change_document();
        world
    }

    fn one_in(&mut self, n: u32) -> bool {
        self.rng.random_range(0..n) == 0
    }

    fn within(&mut self, span: Span) -> Time {
        self.now + Span(self.rng.random_range(0..=span.0))
    }

    /// Runs for a time with faults, or without once they were stopped.
    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            if let Some(faults) = self.faults {
                self.disturb(faults);
            }
            self.deliver();
            for index in 0..HOSTS {
                if !self.is_paused(index) {
                    self.feed(index, OrderEvent::Tick);
                }
            }
        }
    }

    /// Ends all faults; what is on its way still arrives.
    pub(crate) fn stop_faults(&mut self) {
        self.faults = None;
        self.set_views(true);
    }

    /// Whether each engine holds what the last document wants, and nothing else.
    pub(crate) fn is_settled(&self) -> bool {
        let holds =
            |(engine, wanted): (&Engine, &Option<ModelId>)| engine.models.iter().eq(wanted.iter());
        self.engines.iter().zip(&self.wanted).all(holds)
    }

    fn is_paused(&self, index: usize) -> bool {
        self.hosts[index].paused_until > self.now
    }

    fn disturb(&mut self, faults: Faults) {
        if self.one_in(60) {
            self.change_document();
        }
        if self.one_in(60) {
            let index = self.rng.random_range(0..HOSTS);
            self.hosts[index].paused_until = self.within(LONGEST_PAUSE);
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

    fn set_views(&mut self, whole: bool) {
        for index in 0..HOSTS {
            let mut view = vec![host(index)];
            for other in (0..HOSTS).filter(|other| *other != index) {
                if whole || !self.one_in(3) {
                    view.push(host(other));
                }
            }
            self.hear(index, LATENCY, OrderEvent::Hosts(view));
        }
    }

    fn change_document(&mut self) {
        for index in 0..TARGETS {
            let kind = self.rng.random_range(0..MODELS);
            if self.documents == 0 || self.one_in(2) {
                self.wanted[index] = (index == 0 || !self.one_in(5)).then(|| model(kind));
            }
        }
        self.revision += 1;
        self.documents += 1;
        let wanted = self.wanted.iter().enumerate();
        let goals: Vec<TargetGoal> = wanted
            .filter_map(|(i, model)| {
                let goal = Goal::Hold { address: i.to_string(), model: model.clone()? };
                Some(TargetGoal { target: target(i), goal })
            })
            .collect();
        let revision = Revision(self.revision);
        for index in 0..HOSTS {
            let event = OrderEvent::Document { revision, goals: goals.clone() };
            self.hear(index, SPREADING, event);
        }
    }

    fn hear(&mut self, host: usize, span: Span, event: OrderEvent) {
        let at = self.within(span);
        self.pending.push(Pending { host, at, stage: Stage::Hear(event) });
    }

    fn feed(&mut self, index: usize, event: OrderEvent) {
        for action in self.hosts[index].reconciler.handle(self.now, event) {
            let at = self.within(LATENCY);
            let order = matches!(action, OrderAction::SendOrder { .. });
            if order && self.faults.is_some() && self.one_in(6) {
                self.hosts[index].paused_until = self.within(LONGEST_PAUSE);
            }
            self.pending.push(Pending { host: index, at, stage: Stage::Send(action) });
        }
    }

    fn deliver(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        for item in pending {
            let held = !matches!(item.stage, Stage::Land { .. }) && self.is_paused(item.host);
            if item.at > self.now || held {
                self.pending.push(item);
                continue;
            }
            match item.stage {
                Stage::Send(action) => self.send(item.host, action),
                Stage::Land { action, lost } => self.land(item.host, action, lost),
                Stage::Hear(event) => self.feed(item.host, event),
            }
        }
    }

    fn send(&mut self, host: usize, action: OrderAction) {
        let mut span = LATENCY;
        let rate = if matches!(action, OrderAction::SendOrder { .. }) { 3 } else { 10 };
        let mut lost = self.faults.is_some() && self.one_in(rate);
        if let OrderAction::SendOrder { id, not_after, .. } = &action {
            if self.now > *not_after {
                let event = OrderEvent::OrderSent(id.clone(), SendOutcome::Expired);
                return self.hear(host, Span::ZERO, event);
            }
            if self.faults.is_some_and(|faults| faults.late_orders) && self.one_in(4) {
                (span, lost) = (LATEST, true);
            }
        }
        if lost {
            let at = self.now + self.config.call_timeout();
            if let Some(event) = failure(&action) {
                self.pending.push(Pending { host, at, stage: Stage::Hear(event) });
            }
            if self.one_in(2) {
                return;
            }
            span = if span == LATENCY { self.config.call_timeout() } else { span };
        }
        let at = self.within(span);
        self.pending.push(Pending { host, at, stage: Stage::Land { action, lost } });
    }

    fn land(&mut self, host: usize, action: OrderAction, lost: bool) {
        let event = match action {
            OrderAction::ReadRecord(id) => {
                let found = self.store.get(&id.target).cloned();
                let read = found.map_or(ReadOutcome::Absent, ReadOutcome::Found);
                OrderEvent::RecordRead(id, read)
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
                let ordered = self.order(&address, fence, command);
                OrderEvent::OrderSent(id, ordered)
            }
            OrderAction::ListRecords => {
                let keys = self.store.iter().map(|(target, stored)| ListedRecord {
                    target: target.clone(),
                    revision: stored.revision,
                });
                OrderEvent::RecordsListed(keys.collect())
            }
        };
        if !lost {
            self.hear(host, LATENCY, event);
        }
    }

    fn order(&mut self, address: &str, fence: Fence, command: Command) -> SendOutcome {
        let engine = &mut self.engines[address.parse::<usize>().unwrap()];
        if fence < engine.fence {
            if engine.checks {
                return SendOutcome::Refused(engine.fence);
            }
            self.overtaken += 1;
        }
        engine.fence = fence;
        match command {
            Command::Load(model) => engine.models.insert(model),
            Command::Unload(model) => engine.models.remove(&model),
        };
        SendOutcome::Accepted
    }
}

/// What the host hears when a call's answer does not come.
fn failure(action: &OrderAction) -> Option<OrderEvent> {
    let failed = |id: &ActionId| id.clone();
    Some(match action {
        OrderAction::ReadRecord(id) => OrderEvent::RecordRead(failed(id), ReadOutcome::Failed),
        OrderAction::WriteRecord { id, .. } => {
            OrderEvent::RecordWritten(failed(id), WriteOutcome::Failed)
        }
        OrderAction::ReadState { id, .. } => OrderEvent::StateRead(failed(id), None),
        OrderAction::SendOrder { id, .. } => OrderEvent::OrderSent(failed(id), SendOutcome::Failed),
        OrderAction::ListRecords => return None,
    })
}
