//! Number of actions that one target causes, and the bound on pending actions.

#![allow(clippy::unwrap_used)]

use oleander_core::{HostId, ModelId, Revision, Span, Time};
use oleander_orders::{
    Command, Goal, OrderAction, OrderEvent, OrdersConfig, ReadOutcome, Reconciler, SendOutcome,
    StoredRecord, TargetGoal, WriteOutcome,
};

const STEP: Span = Span::from_millis(10);

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Counts {
    record_reads: usize,
    writes: usize,
    state_reads: usize,
    orders: usize,
}

/// One reconciler with its store and one engine, without faults.
struct Harness {
    now: Time,
    reconciler: Reconciler,
    stored: Option<StoredRecord>,
    models: Vec<ModelId>,
    revision: u64,
    counts: Counts,
}

impl Harness {
    fn new() -> Self {
        let host: HostId = "host".parse().unwrap();
        let mut reconciler = Reconciler::new(OrdersConfig::new(), host.clone(), 1, 1);
        let now = Time(1_000_000);
        assert!(reconciler.handle(now, OrderEvent::Hosts(vec![host])).is_empty());
        let counts = Counts::default();
        Self { now, reconciler, stored: None, models: Vec::new(), revision: 0, counts }
    }

    fn set_document(&mut self, model: &str) {
        self.revision += 1;
        let goal = Goal::Hold { address: "engine".to_owned(), model: model.parse().unwrap() };
        let goals = vec![TargetGoal { target: "target".parse().unwrap(), goal }];
        let event = OrderEvent::Document { revision: Revision(self.revision), goals };
        assert!(self.reconciler.handle(self.now, event).is_empty());
    }

    /// Runs for a time and returns the number of actions in it.
    fn run(&mut self, span: Span) -> Counts {
        self.counts = Counts::default();
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            let mut actions = self.reconciler.handle(self.now, OrderEvent::Tick);
            while let Some(action) = actions.pop() {
                if let Some(event) = self.perform(action) {
                    actions.extend(self.reconciler.handle(self.now, event));
                }
            }
        }
        self.counts
    }

    fn perform(&mut self, action: OrderAction) -> Option<OrderEvent> {
        Some(match action {
            OrderAction::ReadRecord(id) => {
                self.counts.record_reads += 1;
                let outcome = self.stored.clone().map_or(ReadOutcome::Absent, ReadOutcome::Found);
                OrderEvent::RecordRead(id, outcome)
            }
            OrderAction::WriteRecord { id, record, .. } => {
                self.counts.writes += 1;
                self.revision += 1;
                let revision = Revision(self.revision);
                self.stored = Some(StoredRecord { revision, record });
                OrderEvent::RecordWritten(id, WriteOutcome::Done(revision))
            }
            OrderAction::ReadState { id, .. } => {
                self.counts.state_reads += 1;
                OrderEvent::StateRead(id, Some(self.models.clone()))
            }
            OrderAction::SendOrder { id, command, .. } => {
                self.counts.orders += 1;
                match command {
                    Command::Load(model) => self.models.push(model),
                    Command::Unload(model) => self.models.retain(|loaded| *loaded != model),
                }
                OrderEvent::OrderSent(id, SendOutcome::Accepted)
            }
            OrderAction::ListRecords => return None,
        })
    }
}

#[test]
fn one_target_causes_few_actions() {
    let mut harness = Harness::new();
    harness.set_document("old");
    let first = harness.run(Span::from_secs(1));
    assert_eq!(first, Counts { record_reads: 1, writes: 1, state_reads: 2, orders: 1 });

    let settled = harness.run(Span::from_secs(1_000));
    assert_eq!((settled.record_reads, settled.writes, settled.orders), (0, 0, 0));
    assert!((66..=200).contains(&settled.state_reads), "{settled:?}");

    harness.set_document("old");
    let unchanged = harness.run(Span::from_secs(4));
    assert_eq!((unchanged.record_reads, unchanged.writes), (0, 0));

    harness.set_document("new");
    let changed = harness.run(Span::from_secs(9));
    assert_eq!(changed, Counts { record_reads: 2, writes: 1, state_reads: 4, orders: 2 });

    harness.models.clear();
    let restarted = harness.run(Span::from_secs(20));
    assert_eq!((restarted.record_reads, restarted.writes, restarted.orders), (1, 0, 1));
}

#[test]
fn targets_with_pending_actions_are_bounded() {
    const TARGETS: usize = 500;
    const MAX_PENDING: usize = 8;
    let host: HostId = "host".parse().unwrap();
    let config = OrdersConfig::new().max_pending(MAX_PENDING);
    let mut reconciler = Reconciler::new(config, host.clone(), 1, 1);
    let goal = |i: usize| {
        let goal = Goal::Hold { address: i.to_string(), model: "model".parse().unwrap() };
        TargetGoal { target: format!("target-{i}").parse().unwrap(), goal }
    };
    let goals = (0..TARGETS).map(goal).collect();
    let mut now = Time(1_000_000);
    reconciler.handle(now, OrderEvent::Hosts(vec![host]));
    reconciler.handle(now, OrderEvent::Document { revision: Revision(1), goals });
    assert_eq!(reconciler.owned(), TARGETS);
    let mut reached = 0;
    let mut pending: Vec<OrderAction> = Vec::new();
    while reached < TARGETS {
        now = now + STEP;
        pending.extend(reconciler.handle(now, OrderEvent::Tick));
        pending.retain(|action| *action != OrderAction::ListRecords);
        assert!((1..=MAX_PENDING).contains(&pending.len()) || now < Time(2_000_000));
        let Some(action) = pending.pop() else { continue };
        let event = match action {
            OrderAction::ReadRecord(id) => OrderEvent::RecordRead(id, ReadOutcome::Absent),
            OrderAction::WriteRecord { id, .. } => {
                OrderEvent::RecordWritten(id, WriteOutcome::Done(Revision(1)))
            }
            OrderAction::ReadState { id, .. } => {
                reached += 1;
                OrderEvent::StateRead(id, Some(vec!["model".parse().unwrap()]))
            }
            other => panic!("{other:?}"),
        };
        pending.extend(reconciler.handle(now, event));
    }
}
