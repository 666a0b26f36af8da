//! [`Lot`] state machines of several hosts that run one lot, against a simulated platform.
//!
//! Guards against duplicate, missing or wrong results when requests to the platform and their
//! responses are lost, hosts claim the lot concurrently, hosts restart, and targets or items fail.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, HashMap};

use oleander_core::{ChunkIndex, HostId, ItemIndex, Span, TargetId, Time};
use oleander_jobs::{
    Counts, ItemError, ItemResult, Lot, LotAction, LotConfig, LotEnd, LotEvent, LotRange,
    LotRecord, Response, RunId, RunOutcome,
};
use oleander_ledger::{LogEvent, Segment};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SEED: u64 = 1;
const HOSTS: usize = 3;
const ITEMS: u32 = 8;
const TARGETS: u32 = 3;
const MAX_TRIES: u32 = 3;
const TICK: Span = Span::from_millis(200);
const MAX_SETTLE_STEPS: usize = 4_000;
const DEADLINE: Time = Time(3_600_000_000);

/// What targets do with an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ItemKind {
    /// The response has status 200.
    Valid,
    /// The response has status 400.
    Rejected,
    /// The target crashes.
    Crashing,
    /// A target that is healthy for other items fails the request.
    Failing,
}

impl Arbitrary for ItemKind {
    fn arbitrary(g: &mut Gen) -> Self {
        *g.choose(&[
            Self::Valid,
            Self::Valid,
            Self::Valid,
            Self::Rejected,
            Self::Crashing,
            Self::Failing,
        ])
        .unwrap()
    }
}

/// One step of the simulation; the `usize` is the index of the host.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Carries out calls that the host made to the platform.
    Call(usize, u8),
    /// Carries out a call and loses its response.
    LoseResponse(usize),
    /// Loses the request of a call.
    LoseRequest(usize),
    Wait(u8),
    OfferSlot(usize, u8),
    FinishRun(usize),
    /// The target of the host's oldest run was unreachable or overloaded.
    RunNotAccepted(usize),
    Yield(usize),
    /// Reports an outcome of an ended run again.
    RepeatOutcome(usize),
    Restart(usize),
    Release(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let host = usize::arbitrary(g) % HOSTS;
        match u8::arbitrary(g) % 26 {
            0..7 => Self::Call(host, u8::arbitrary(g)),
            7 => Self::LoseResponse(host),
            8 => Self::LoseRequest(host),
            9..12 => Self::Wait(u8::arbitrary(g)),
            12..16 => Self::OfferSlot(host, u8::arbitrary(g)),
            16..20 => Self::FinishRun(host),
            20 => Self::RunNotAccepted(host),
            21 => Self::Yield(host),
            22 => Self::Restart(host),
            23 | 24 => Self::RepeatOutcome(host),
            _ => Self::Release(host),
        }
    }
}

/// Call to the platform.
#[derive(Debug)]
enum Call {
    Create(u64, Segment<LotRecord>),
    Fetch(u64),
}

struct Run {
    id: RunId,
    target: TargetId,
    alone: bool,
}

struct Host {
    lot: Lot,
    /// Calls without a response, oldest first.
    calls: Vec<Call>,
    /// Runs under way, oldest first.
    runs: Vec<Run>,
    /// Ids of all runs so far.
    started: Vec<RunId>,
    ends: Vec<LotEnd>,
}

struct Simulation {
    now: Time,
    kinds: Vec<ItemKind>,
    /// The lot's log at the platform.
    segments: BTreeMap<u64, Segment<LotRecord>>,
    hosts: Vec<Host>,
    incarnation: u64,
    /// Number of targets that each item crashed.
    crashes: HashMap<ItemIndex, u32>,
}

fn target(host: usize, number: u32) -> TargetId {
    format!("t{host}-{number}").parse().unwrap()
}

fn host(number: usize, incarnation: u64, now: Time) -> Host {
    let id: HostId = format!("batch-{number}").parse().unwrap();
    let range = LotRange { chunk: ChunkIndex(0), offset: 0, first: ItemIndex(100), count: ITEMS };
    let config = LotConfig {
        max_tries: MAX_TRIES,
        target_count: TARGETS,
        checkpoint_interval: Span::from_secs(1),
        claim_timeout: Span::from_secs(5),
        deadline: DEADLINE,
    };
    let lot = Lot::new(id, incarnation, range, config, now);
    Host { lot, calls: Vec::new(), runs: Vec::new(), started: Vec::new(), ends: Vec::new() }
}

impl Simulation {
    fn new(kinds: Vec<ItemKind>) -> Self {
        let now = Time(1_000_000);
        let hosts = (0..HOSTS).map(|h| host(h, h as u64, now)).collect();
        Self {
            now,
            kinds,
            segments: BTreeMap::new(),
            hosts,
            incarnation: HOSTS as u64,
            crashes: HashMap::new(),
        }
    }

    fn kind(&self, item: ItemIndex) -> ItemKind {
        self.kinds[(item.0 - 100) as usize]
    }

    fn send(&mut self, h: usize, event: LotEvent) {
        let host = &mut self.hosts[h];
        for action in host.lot.handle(self.now, event) {
            match action {
                LotAction::Create(sequence, segment) => {
                    host.calls.push(Call::Create(sequence, segment));
                }
                LotAction::Fetch(sequence) => host.calls.push(Call::Fetch(sequence)),
                LotAction::StartRun { run, target, alone, .. } => {
                    host.runs.push(Run { id: run, target, alone });
                    host.started.push(run);
                }
                LotAction::CancelRun(run) => host.runs.retain(|r| r.id != run),
                LotAction::DeclineSlot(_) => {}
                LotAction::Finished(end) => host.ends.push(end),
            }
        }
    }

    /// Completes the host's oldest call; the platform may not execute it or not respond.
    fn call(&mut self, h: usize, executes: bool, responds: bool) {
        if self.hosts[h].calls.is_empty() {
            return;
        }
        let event = match self.hosts[h].calls.remove(0) {
            Call::Create(sequence, _) | Call::Fetch(sequence) if !executes => {
                LogEvent::Failed(sequence)
            }
            Call::Create(sequence, segment) => {
                let exists = self.segments.contains_key(&sequence);
                self.segments.entry(sequence).or_insert(segment);
                match (responds, exists) {
                    (false, _) => LogEvent::Failed(sequence),
                    (true, true) => LogEvent::Exists(sequence),
                    (true, false) => LogEvent::Created(sequence),
                }
            }
            Call::Fetch(sequence) => {
                LogEvent::Fetched(sequence, self.segments.get(&sequence).cloned())
            }
        };
        self.send(h, LotEvent::Log(event));
    }

    /// Offers a slot at a target; it is for a suspect if one is ready and the target is unused.
    fn offer_slot(&mut self, h: usize, number: u32) {
        let target = target(h, number % TARGETS);
        let runs: Vec<&Run> =
            self.hosts[h].runs.iter().filter(|run| run.target == target).collect();
        if runs.iter().any(|run| run.alone) {
            return;
        }
        let alone = runs.is_empty() && self.hosts[h].lot.has_ready_suspect(self.now);
        self.send(h, LotEvent::OfferSlot { target, alone });
    }

    /// Ends the host's oldest run with the outcome that its item leads to.
    fn finish_run(&mut self, h: usize) {
        if self.hosts[h].runs.is_empty() {
            return;
        }
        let run = self.hosts[h].runs.remove(0);
        let outcome = match self.kind(run.id.item) {
            ItemKind::Valid => RunOutcome::Responded(response(200, run.id)),
            ItemKind::Rejected => RunOutcome::Responded(response(400, run.id)),
            ItemKind::Failing => RunOutcome::Failed { target_healthy: true },
            ItemKind::Crashing => return self.crash_target(h, run),
        };
        self.send(h, LotEvent::RunEnded { run: run.id, outcome });
    }

    /// Crashes the target of the run; all its runs are lost.
    fn crash_target(&mut self, h: usize, run: Run) {
        *self.crashes.entry(run.id.item).or_default() += 1;
        let runs = std::mem::take(&mut self.hosts[h].runs);
        let (mut lost, kept): (Vec<Run>, Vec<Run>) =
            runs.into_iter().partition(|other| other.target == run.target);
        self.hosts[h].runs = kept;
        lost.push(run);
        for run in lost {
            self.send(h, LotEvent::RunEnded { run: run.id, outcome: RunOutcome::TargetLost });
        }
    }

    /// Ends the host's oldest run with the given outcome.
    fn finish_oldest(&mut self, h: usize, outcome: RunOutcome) {
        if self.hosts[h].runs.is_empty() {
            return;
        }
        let run = self.hosts[h].runs.remove(0);
        self.send(h, LotEvent::RunEnded { run: run.id, outcome });
    }

    /// Reports another outcome of a run that has ended; the lot must ignore it.
    fn repeat_outcome(&mut self, h: usize) {
        let host = &self.hosts[h];
        let ended = |id: &&RunId| !host.runs.iter().any(|run| run.id == **id);
        let Some(&run) = host.started.iter().find(ended) else { return };
        self.send(
            h,
            LotEvent::RunEnded { run, outcome: RunOutcome::Responded(response(500, run)) },
        );
    }

    fn restart(&mut self, h: usize) {
        self.incarnation += 1;
        self.hosts[h] = host(h, self.incarnation, self.now);
    }

    fn wait(&mut self, steps: u64) {
        self.now = self.now + TICK * steps;
        for h in 0..HOSTS {
            self.send(h, LotEvent::Tick);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Call(h, count) => (0..count % 12).for_each(|_| self.call(h, true, true)),
            Step::LoseResponse(h) => self.call(h, true, false),
            Step::LoseRequest(h) => self.call(h, false, false),
            Step::Wait(steps) => self.wait(u64::from(steps % 40) + 1),
            Step::OfferSlot(h, number) => self.offer_slot(h, u32::from(number)),
            Step::FinishRun(h) => self.finish_run(h),
            Step::RunNotAccepted(h) => self.finish_oldest(h, RunOutcome::NotRun),
            Step::RepeatOutcome(h) => self.repeat_outcome(h),
            Step::Yield(h) => self.finish_oldest(h, RunOutcome::Yielded(None)),
            Step::Restart(h) => self.restart(h),
            Step::Release(h) => self.send(h, LotEvent::Release),
        }
    }

    fn closed(&self) -> Option<Counts> {
        let records = self.segments.values().flat_map(|segment| &segment.records);
        records.into_iter().find_map(|record| match record {
            LotRecord::Closed { counts } => Some(*counts),
            _ => None,
        })
    }

    /// Steps without lost calls until the lot is closed; hosts that are done open the lot again.
    fn settle(&mut self) {
        for step in 0..MAX_SETTLE_STEPS {
            if self.closed().is_some() {
                return;
            }
            self.wait(1);
            for h in 0..HOSTS {
                if self.hosts[h].lot.is_ended() {
                    self.restart(h);
                }
                self.call(h, true, true);
                self.offer_slot(h, step as u32);
                self.finish_run(h);
            }
        }
    }

    /// All committed results of each item.
    fn outcomes(&self) -> Vec<Vec<&ItemResult>> {
        let mut outcomes = vec![Vec::new(); ITEMS as usize];
        for record in self.segments.values().flat_map(|segment| &segment.records) {
            if let LotRecord::Outcome { item, result } = record {
                outcomes[(item.0 - 100) as usize].push(result);
            }
        }
        outcomes
    }
}

fn response(status: u16, run: RunId) -> Response {
    Response { status, request: format!("{}", run.number), body: format!("{}", run.item) }
}

/// Extends generated kinds to the number of items.
fn pad_kinds(kinds: &[ItemKind]) -> Vec<ItemKind> {
    let mut kinds = kinds.to_vec();
    kinds.resize(ITEMS as usize, ItemKind::Valid);
    kinds
}

fn is_expected(kind: ItemKind, result: &ItemResult) -> bool {
    match (kind, result) {
        (ItemKind::Valid, ItemResult::Response(response)) => response.status == 200,
        (ItemKind::Rejected, ItemResult::Response(response)) => response.status == 400,
        (ItemKind::Crashing, ItemResult::Failed(failure)) => failure.error == ItemError::TargetLost,
        (ItemKind::Failing, ItemResult::Failed(failure)) => {
            failure.error == ItemError::TargetFailed && failure.tries == MAX_TRIES
        }
        _ => false,
    }
}

#[test]
fn each_item_has_one_fitting_outcome() {
    fn property(kinds: Vec<ItemKind>, steps: Vec<Step>) -> bool {
        let kinds = pad_kinds(&kinds);
        let mut sim = Simulation::new(kinds.clone());
        steps.into_iter().for_each(|step| sim.step(step));
        sim.settle();
        let Some(counts) = sim.closed() else { return false };
        let outcomes = sim.outcomes();
        let are_expected = outcomes.iter().zip(&kinds).all(|(results, &kind)| {
            results.len() == 1 && results.iter().all(|result| is_expected(kind, result))
        });
        let valid = kinds.iter().filter(|&&kind| kind == ItemKind::Valid).count() as u32;
        are_expected && counts == Counts { completed: valid, failed: ITEMS - valid }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, SEED))
        .tests(400)
        .quickcheck(property as fn(Vec<ItemKind>, Vec<Step>) -> bool);
}

#[test]
fn an_item_that_kills_its_target_fails_within_the_bound() {
    let mut kinds = vec![ItemKind::Valid; ITEMS as usize];
    kinds[3] = ItemKind::Crashing;
    let mut sim = Simulation::new(kinds);
    sim.settle();
    assert_eq!(sim.closed(), Some(Counts { completed: ITEMS - 1, failed: 1 }));
    assert_eq!(sim.crashes.get(&ItemIndex(103)), Some(&(MAX_TRIES + 1)));
}

#[test]
fn faults_of_targets_use_up_no_try() {
    let mut sim = Simulation::new(vec![ItemKind::Valid; ITEMS as usize]);
    for step in 0..600 {
        sim.wait(10);
        for h in 0..HOSTS {
            sim.call(h, true, true);
            sim.offer_slot(h, step);
            sim.finish_oldest(h, RunOutcome::NotRun);
            sim.offer_slot(h, step + 1);
            sim.finish_oldest(h, RunOutcome::Failed { target_healthy: false });
        }
    }
    assert_eq!(sim.closed(), None);
    sim.settle();
    assert_eq!(sim.closed(), Some(Counts { completed: ITEMS, failed: 0 }));
}

#[test]
fn remaining_items_fail_at_the_deadline() {
    let mut sim = Simulation::new(vec![ItemKind::Valid; ITEMS as usize]);
    sim.now = DEADLINE;
    sim.settle();
    let expected = ItemResult::failed(ItemError::DeadlineExceeded, 0);
    assert_eq!(sim.closed(), Some(Counts { completed: 0, failed: ITEMS }));
    assert!(sim.outcomes().iter().all(|results| results == &[&expected]));
}

#[test]
fn a_paused_holder_writes_nothing_after_its_successor() {
    let mut sim = Simulation::new(vec![ItemKind::Valid; ITEMS as usize]);
    for _ in 0..10 {
        sim.wait(1);
        sim.call(0, true, true);
    }
    assert!(sim.hosts[0].lot.is_held());
    sim.offer_slot(0, 0);
    let paused = std::mem::replace(&mut sim.hosts[0], host(9, 99, sim.now));
    sim.settle();
    let segments = sim.segments.len();
    sim.hosts[0] = paused;
    sim.finish_run(0);
    sim.wait(50);
    for _ in 0..10 {
        sim.call(0, true, true);
    }
    assert_eq!(sim.segments.len(), segments);
    assert!(sim.outcomes().iter().all(|results| results.len() == 1));
    assert_eq!(sim.hosts[0].ends, [LotEnd::Superseded]);
}

#[test]
fn an_outage_takes_no_lot_from_its_holder() {
    let mut sim = Simulation::new(vec![ItemKind::Valid; ITEMS as usize]);
    for _ in 0..10 {
        sim.wait(1);
        sim.call(0, true, true);
    }
    assert!(sim.hosts[0].lot.is_held());
    for _ in 0..10 {
        sim.wait(1);
        sim.call(1, true, true);
    }
    sim.offer_slot(0, 0);
    sim.finish_run(0);
    sim.offer_slot(0, 1);
    // The platform fails all calls for 60 s, which is longer than the claim timeout.
    for _ in 0..300 {
        sim.wait(1);
        (0..2).for_each(|h| sim.call(h, false, false));
    }
    // After the outage only the other host has a path to the platform for 3 s.
    for _ in 0..15 {
        sim.wait(1);
        (0..4).for_each(|_| sim.call(1, true, true));
    }
    for _ in 0..20 {
        sim.wait(1);
        (0..2).for_each(|h| sim.call(h, true, true));
    }
    assert!(sim.hosts[0].lot.is_held());
    assert_eq!(sim.hosts[0].ends, []);
    assert_eq!(sim.outcomes().iter().map(Vec::len).sum::<usize>(), 1);
}
