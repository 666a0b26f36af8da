//! State machine that runs the tasks of all owned targets and the sweep.

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
    task::{Step, Task},
};

/// Reconciles the engines of the targets that this host owns with the document.
#[derive(Debug)]
pub struct Reconciler {
    config: OrdersConfig,
    host: HostId,
    incarnation: u64,
    rng: Pcg32,
    /// Number of the last action.
    last_action: u64,
    document: Option<Revision>,
    goals: BTreeMap<TargetId, Goal>,
    addresses: BTreeSet<String>,
    placement: Placement,
    tasks: BTreeMap<TargetId, Task>,
    sweep: Sweep,
    actions: Vec<OrderAction>,
    /// Contexts of pending writes and orders, by number of the action.
    contexts: BTreeMap<u64, Context>,
}

/// Parameters of an action that are needed to handle its outcome.
#[derive(Debug)]
enum Context {
    Write { first: bool },
    Order(Command),
}

impl Reconciler {
    /// A reconciler without a document or hosts.
    #[must_use]
    pub fn new(config: OrdersConfig, host: HostId, incarnation: u64, seed: u64) -> Self {
        Self {
            config,
            host,
            incarnation,
            rng: Pcg32::seed_from_u64(seed),
            last_action: 0,
            document: None,
            goals: BTreeMap::new(),
            addresses: BTreeSet::new(),
            placement: Placement::default(),
            tasks: BTreeMap::new(),
            sweep: Sweep::default(),
            actions: Vec::new(),
            contexts: BTreeMap::new(),
        }
    }

    /// Handles one event and returns the actions to execute.
    pub fn handle(&mut self, now: Time, event: OrderEvent) -> Vec<OrderAction> {
        match event {
            OrderEvent::Tick => self.tick(now),
            OrderEvent::Document { revision, goals } => self.set_document(now, revision, goals),
            OrderEvent::Hosts(hosts) => self.set_hosts(now, &hosts),
            OrderEvent::RecordsListed(listed) => self.handle_listing(now, &listed),
            OrderEvent::RecordRead(id, outcome) => {
                self.handle_outcome(now, id, |task, config, _| {
                    Some(task.handle_read(config, now, outcome))
                });
            }
            OrderEvent::RecordWritten(id, outcome) => {
                self.handle_outcome(now, id, |task, config, context| match context {
                    Some(Context::Write { first }) => {
                        Some(task.handle_write(config, now, outcome, first))
                    }
                    _ => None,
                });
            }
            OrderEvent::StateRead(id, loaded) => {
                self.handle_outcome(now, id, |task, config, _| {
                    Some(task.handle_state(config, now, loaded.as_deref()))
                });
            }
            OrderEvent::OrderSent(id, outcome) => {
                self.handle_outcome(now, id, |task, config, context| match context {
                    Some(Context::Order(command)) => {
                        Some(task.handle_sent(config, now, command, outcome))
                    }
                    _ => None,
                });
            }
        }
        mem::take(&mut self.actions)
    }

    /// When the next tick is due; an event may move it earlier.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let waiting = self.tasks.values().filter(|task| task.pending.is_none());
        let task_due =
            if self.free_slots() > 0 { waiting.map(|task| task.due).min() } else { None };
        task_due.into_iter().chain(self.sweep.due()).min()
    }

    /// Number of targets that this host reconciles, including removed ones.
    #[must_use]
    pub fn owned(&self) -> usize {
        self.tasks.len()
    }

    fn tick(&mut self, now: Time) {
        if self.sweep.take_due(now, self.config.sweep_interval) {
            self.actions.push(OrderAction::ListRecords);
        }
        for target in self.due_targets(now) {
            if let Some(step) = self.tasks.get_mut(&target).map(Task::start_round) {
                self.perform(now, target, step);
            }
        }
    }

    /// Number of targets that may start an action.
    fn free_slots(&self) -> usize {
        let pending = self.tasks.values().filter(|task| task.pending.is_some()).count();
        self.config.max_pending.saturating_sub(pending)
    }

    /// Targets whose next round is due, longest overdue first, at most one for each free slot.
    fn due_targets(&self, now: Time) -> Vec<TargetId> {
        let due = |task: &Task| task.pending.is_none() && task.due <= now;
        let mut targets: Vec<(Time, &TargetId)> = self
            .tasks
            .iter()
            .filter(|(_, task)| due(task))
            .map(|(target, task)| (task.due, target))
            .collect();
        targets.sort_unstable();
        targets.truncate(self.free_slots());
        targets.into_iter().map(|(_, target)| target.clone()).collect()
    }

    fn set_document(&mut self, now: Time, revision: Revision, goals: Vec<TargetGoal>) {
        if self.document >= Some(revision) {
            return;
        }
        self.document = Some(revision);
        self.addresses = goals.iter().map(|goal| goal.goal.address().to_owned()).collect();
        let goals = goals.into_iter().map(|goal| (goal.target, goal.goal)).collect();
        let previous = mem::replace(&mut self.goals, goals);
        self.update_tasks(now);
        if previous.keys().any(|target| !self.goals.contains_key(target)) {
            let at = now + self.random_span(self.config.start_jitter);
            self.sweep.bring_forward(at);
        }
    }

    fn set_hosts(&mut self, now: Time, hosts: &[HostId]) {
        self.placement = Placement::new(&self.host, hosts);
        let first = now + self.random_span(self.config.recheck_interval);
        self.sweep.assign(self.placement.owns_key(ORDER_PREFIX), first);
        self.update_tasks(now);
    }

    /// Updates the tasks to the document and the live hosts.
    fn update_tasks(&mut self, now: Time) {
        let Some(document) = self.document else { return };
        let (goals, placement) = (&self.goals, &self.placement);
        let owns_sweep = placement.owns_key(ORDER_PREFIX);
        self.tasks.retain(|target, task| match goals.get(target) {
            Some(_) => placement.owns(target),
            None => owns_sweep && task.goal.as_ref().is_none_or(Goal::is_drop),
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
                    task.set_goal(goal.clone(), document, due);
                }
                Some(task) => task.set_document(document, due),
            }
        }
        for (target, task) in &mut self.tasks {
            if !self.goals.contains_key(target) {
                task.set_document(document, now);
            }
        }
    }

    /// Adds a task for each unfinished record whose target is not in the document.
    fn handle_listing(&mut self, now: Time, listed: &[ListedRecord]) {
        let Some(document) = self.document else { return };
        if listed.is_empty() || !self.placement.owns_key(ORDER_PREFIX) {
            return;
        }
        self.sweep.retain_listed(listed);
        for record in listed {
            if self.goals.contains_key(&record.target) || !self.sweep.is_unfinished(record) {
                continue;
            }
            let due = now + self.random_span(self.config.start_jitter);
            let task = || Task::removed(document, due);
            self.tasks.entry(record.target.clone()).or_insert_with(task);
        }
    }

    /// Passes the outcome of an action to its task and performs the next step; ignores the outcome
    /// if the task no longer waits for it.
    fn handle_outcome(
        &mut self,
        now: Time,
        id: ActionId,
        handle: impl FnOnce(&mut Task, &OrdersConfig, Option<Context>) -> Option<Step>,
    ) {
        let context = self.contexts.remove(&id.number);
        let Some(task) = self.tasks.get_mut(&id.target) else { return };
        if task.pending != Some(id.number) {
            return;
        }
        task.pending = None;
        if let Some(step) = handle(task, &self.config, context) {
            self.perform(now, id.target, step);
        }
    }

    fn perform(&mut self, now: Time, target: TargetId, step: Step) {
        match step {
            Step::Wait => {}
            Step::Recheck => self.schedule_recheck(now, &target),
            Step::Finish => self.finish_task(target),
            Step::ReadState | Step::SendOrder { .. } if self.is_address_reused(&target) => {
                self.finish_task(target);
            }
            action => self.start_action(now, target, action),
        }
    }

    fn schedule_recheck(&mut self, now: Time, target: &TargetId) {
        let recheck = self.config.recheck_interval;
        let jitter = self.random_span(recheck);
        if let Some(task) = self.tasks.get_mut(target) {
            task.due = now + Span(recheck.0 / 2 + jitter.0);
        }
    }

    /// Whether the target was removed and the document gives its engine's address to another
    /// target.
    fn is_address_reused(&self, target: &TargetId) -> bool {
        let goal = self.tasks.get(target).and_then(|task| task.goal.as_ref());
        goal.is_some_and(|goal| goal.is_drop() && self.addresses.contains(goal.address()))
    }

    fn finish_task(&mut self, target: TargetId) {
        let revision = self.tasks.remove(&target).and_then(|task| task.confirmed_revision());
        if let Some(revision) = revision {
            self.sweep.mark_finished(target, revision);
        }
    }

    fn start_action(&mut self, now: Time, target: TargetId, step: Step) {
        let Some(task) = self.tasks.get_mut(&target) else { return };
        self.last_action += 1;
        task.start_action(now, self.last_action);
        let id = ActionId { target, number: self.last_action };
        let address = task.goal.as_ref().map(|goal| goal.address().to_owned());
        let address = address.unwrap_or_default();
        let action = match step {
            Step::WriteRecord { expected, assigned } => return self.write(id, expected, assigned),
            Step::ReadState => OrderAction::ReadState { id, address },
            Step::SendOrder { fence, command, not_after } => {
                self.contexts.insert(self.last_action, Context::Order(command.clone()));
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
            attempt: self.attempt_id(),
        };
        self.contexts.insert(id.number, Context::Write { first });
        self.actions.push(OrderAction::WriteRecord { id, expected, record });
    }

    /// Identifier of the write that the last action starts.
    fn attempt_id(&self) -> AttemptId {
        let text = format!("{}:{}:{}", self.host, self.incarnation, self.last_action);
        AttemptId::try_from(text)
            .unwrap_or_else(|_| unreachable!("a host id is short enough for an attempt id"))
    }

    fn random_span(&mut self, span: Span) -> Span {
        Span(self.rng.random_range(0..=span.0))
    }
}
