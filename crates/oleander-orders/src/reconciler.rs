//! The state machine over all targets.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
};

use oleander_core::{AttemptId, HostId, ModelId, Revision, Span, TargetId, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::{
    config::OrdersConfig,
    event::{ActionId, ListedRecord, OrderAction, OrderEvent},
    goal::{Command, Goal, TargetGoal},
    placement::Placement,
    record::{ORDER_PREFIX, OrderRecord},
    sweep::Sweep,
    task::{Next, Task},
};

/// Orders models to the targets that this host owns.
#[derive(Debug)]
pub struct Reconciler {
    config: OrdersConfig,
    host: HostId,
    incarnation: u64,
    rng: Pcg32,
    calls: u64,
    document: Option<Revision>,
    goals: BTreeMap<TargetId, Goal>,
    addresses: BTreeSet<String>,
    placement: Placement,
    tasks: BTreeMap<TargetId, Task>,
    sweep: Sweep,
    actions: Vec<OrderAction>,
    /// What the calls under way have asked for.
    asked: BTreeMap<u64, Asked>,
}

#[derive(Debug)]
enum Asked {
    Write { first: bool },
    Order(Command),
}

impl Reconciler {
    /// A reconciler that knows no document and no other host yet.
    #[must_use]
    pub fn new(config: OrdersConfig, host: HostId, incarnation: u64, seed: u64) -> Self {
        Self {
            config,
            host,
            incarnation,
            rng: Pcg32::seed_from_u64(seed),
            calls: 0,
            document: None,
            goals: BTreeMap::new(),
            addresses: BTreeSet::new(),
            placement: Placement::default(),
            tasks: BTreeMap::new(),
            sweep: Sweep::default(),
            actions: Vec::new(),
            asked: BTreeMap::new(),
        }
    }

    /// Takes in one event and returns what is to be done about it.
    pub fn handle(&mut self, now: Time, event: OrderEvent) -> Vec<OrderAction> {
        match event {
            OrderEvent::Tick => self.tick(now),
            OrderEvent::Document { revision, goals } => self.set_document(now, revision, goals),
            OrderEvent::Hosts(hosts) => self.set_hosts(now, &hosts),
            OrderEvent::RecordsListed(keys) => self.take_listing(now, &keys),
            OrderEvent::RecordRead(id, read) => {
                self.answer(now, id, |task, config, _| Some(task.read(config, now, read)));
            }
            OrderEvent::RecordWritten(id, outcome) => {
                self.answer(now, id, |task, config, asked| match asked {
                    Some(Asked::Write { first }) => Some(task.written(config, now, outcome, first)),
                    _ => None,
                });
            }
            OrderEvent::StateRead(id, models) => {
                self.answer(now, id, |task, config, _| {
                    Some(task.state(config, now, models.as_deref()))
                });
            }
            OrderEvent::OrderSent(id, ordered) => {
                self.answer(now, id, |task, config, asked| match asked {
                    Some(Asked::Order(command)) => {
                        Some(task.ordered(config, now, command, ordered))
                    }
                    _ => None,
                });
            }
        }
        mem::take(&mut self.actions)
    }

    /// When the next tick is of use; an answer may make one useful earlier.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let resting = self.tasks.values().filter(|task| task.pending.is_none());
        let work = if self.room() > 0 { resting.map(|task| task.due).min() } else { None };
        work.into_iter().chain(self.sweep.due()).min()
    }

    /// Number of targets that this host orders at present.
    #[must_use]
    pub fn owned(&self) -> usize {
        self.tasks.len()
    }

    fn tick(&mut self, now: Time) {
        if self.sweep.take_due(now, self.config.sweep_interval) {
            self.actions.push(OrderAction::ListRecords);
        }
        for target in self.due_targets(now) {
            if let Some(next) = self.tasks.get_mut(&target).map(Task::wake) {
                self.perform(now, target, next);
            }
        }
    }

    /// Number of targets that may start a call.
    fn room(&self) -> usize {
        let busy = self.tasks.values().filter(|task| task.pending.is_some()).count();
        self.config.max_pending.saturating_sub(busy)
    }

    /// Targets to work on now, the longest due first.
    fn due_targets(&self, now: Time) -> Vec<TargetId> {
        let due = |task: &Task| task.pending.is_none() && task.due <= now;
        let mut targets: Vec<(Time, &TargetId)> = self
            .tasks
            .iter()
            .filter(|(_, task)| due(task))
            .map(|(target, task)| (task.due, target))
            .collect();
        targets.sort_unstable();
        targets.truncate(self.room());
        targets.into_iter().map(|(_, target)| target.clone()).collect()
    }

    fn set_document(&mut self, now: Time, revision: Revision, goals: Vec<TargetGoal>) {
        if self.document >= Some(revision) {
            return;
        }
        self.document = Some(revision);
        self.addresses = goals.iter().map(|goal| goal.goal.address().to_owned()).collect();
        let goals = goals.into_iter().map(|goal| (goal.target, goal.goal)).collect();
        let former = mem::replace(&mut self.goals, goals);
        self.follow(now);
        if former.keys().any(|target| !self.goals.contains_key(target)) {
            let at = now + self.draw(self.config.start_jitter);
            self.sweep.hasten(at);
        }
    }

    fn set_hosts(&mut self, now: Time, hosts: &[HostId]) {
        self.placement = Placement::new(&self.host, hosts);
        let first = now + self.draw(self.config.recheck_interval);
        self.sweep.assign(self.placement.owns_key(ORDER_PREFIX), first);
        self.follow(now);
    }

    /// Brings the tasks in line with the document and the hosts.
    fn follow(&mut self, now: Time) {
        let Some(document) = self.document else { return };
        let (goals, placement) = (&self.goals, &self.placement);
        let lists = placement.owns_key(ORDER_PREFIX);
        self.tasks.retain(|target, task| match goals.get(target) {
            Some(_) => placement.owns(target),
            None => lists && task.goal.as_ref().is_none_or(Goal::is_drop),
        });
        let owned = self.goals.iter().filter(|(target, _)| self.placement.owns(target));
        for (target, goal) in owned {
            let due = now + Span(self.rng.random_range(0..=self.config.start_jitter.0));
            match self.tasks.get_mut(target) {
                None => {
                    let task = Task::new(goal.clone(), document, due);
                    self.tasks.insert(target.clone(), task);
                }
                Some(task) if task.goal.as_ref() != Some(goal) => {
                    task.replace(goal.clone(), document, due);
                }
                Some(task) => task.advance(document, due),
            }
        }
        for (target, task) in &mut self.tasks {
            if !self.goals.contains_key(target) {
                task.advance(document, now);
            }
        }
    }

    /// Takes on the listed records of targets that have left the document.
    fn take_listing(&mut self, now: Time, keys: &[ListedRecord]) {
        let Some(document) = self.document else { return };
        if keys.is_empty() || !self.placement.owns_key(ORDER_PREFIX) {
            return;
        }
        self.sweep.keep(keys);
        for key in keys {
            if self.goals.contains_key(&key.target) || !self.sweep.is_open(key) {
                continue;
            }
            let due = now + self.draw(self.config.start_jitter);
            let task = || Task::retired(document, due);
            self.tasks.entry(key.target.clone()).or_insert_with(task);
        }
    }

    /// Hands an answer to the task that waits for it.
    fn answer(
        &mut self,
        now: Time,
        id: ActionId,
        take: impl FnOnce(&mut Task, &OrdersConfig, Option<Asked>) -> Option<Next>,
    ) {
        let asked = self.asked.remove(&id.number);
        let Some(task) = self.tasks.get_mut(&id.target) else { return };
        if task.pending != Some(id.number) {
            return;
        }
        task.pending = None;
        if let Some(next) = take(task, &self.config, asked) {
            self.perform(now, id.target, next);
        }
    }

    fn perform(&mut self, now: Time, target: TargetId, next: Next) {
        match next {
            Next::Rest => {}
            Next::Settled => self.settle(now, &target),
            Next::Done => self.finish(target),
            Next::ReadState | Next::Order { .. } if self.is_displaced(&target) => {
                self.finish(target);
            }
            call => self.call(now, target, call),
        }
    }

    fn settle(&mut self, now: Time, target: &TargetId) {
        let recheck = self.config.recheck_interval;
        let jitter = self.draw(recheck);
        if let Some(task) = self.tasks.get_mut(target) {
            task.due = now + Span(recheck.0 / 2 + jitter.0);
        }
    }

    /// Whether the engine of a dropped target serves another target by now.
    fn is_displaced(&self, target: &TargetId) -> bool {
        let goal = self.tasks.get(target).and_then(|task| task.goal.as_ref());
        goal.is_some_and(|goal| goal.is_drop() && self.addresses.contains(goal.address()))
    }

    fn finish(&mut self, target: TargetId) {
        let revision = self.tasks.remove(&target).and_then(|task| task.revision());
        if let Some(revision) = revision {
            self.sweep.finish(target, revision);
        }
    }

    fn call(&mut self, now: Time, target: TargetId, next: Next) {
        let Some(task) = self.tasks.get_mut(&target) else { return };
        self.calls += 1;
        task.issue(now, self.calls);
        let id = ActionId { target, number: self.calls };
        let address = task.goal.as_ref().map(|goal| goal.address().to_owned());
        let address = address.unwrap_or_default();
        let action = match next {
            Next::Write { expected, assigned } => return self.write(id, expected, assigned),
            Next::ReadState => OrderAction::ReadState { id, address },
            Next::Order { fence, command, not_after } => {
                self.asked.insert(self.calls, Asked::Order(command.clone()));
                OrderAction::SendOrder { id, address, fence, command, not_after }
            }
            _ => OrderAction::ReadRecord(id),
        };
        self.actions.push(action);
    }

    fn write(&mut self, id: ActionId, expected: Option<Revision>, assigned: Vec<ModelId>) {
        let Some(task) = self.tasks.get(&id.target) else { return };
        let Some(goal) = task.goal.clone() else { return };
        let first = expected.is_none();
        let record = OrderRecord {
            document: task.document,
            assigned: OrderRecord::with_assigned(assigned, &goal),
            goal,
            first,
            host: self.host.clone(),
            attempt: self.attempt(),
        };
        self.asked.insert(id.number, Asked::Write { first });
        self.actions.push(OrderAction::WriteRecord { id, expected, record });
    }

    /// A name for the write that is under way.
    fn attempt(&self) -> AttemptId {
        let text = format!("{}:{}:{}", self.host, self.incarnation, self.calls);
        AttemptId::try_from(text).unwrap_or_else(|_| unreachable!("host ids leave room"))
    }

    fn draw(&mut self, span: Span) -> Span {
        Span(self.rng.random_range(0..=span.0))
    }
}
