//! The lot machine under lost answers, racing runners, crashes and faults of items and targets.

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
const RUNNERS: usize = 3;
const ITEMS: u32 = 8;
const TARGETS: u32 = 3;
const TRIES: u32 = 3;
const STEP: Span = Span::from_millis(200);
const FAIR_STEPS: usize = 4_000;
const DEADLINE: Time = Time(3_600_000_000);

/// What an item does to the target that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Nature {
    Good,
    Bad,
    Poison,
    Refused,
}

impl Arbitrary for Nature {
    fn arbitrary(g: &mut Gen) -> Self {
        *g.choose(&[Self::Good, Self::Good, Self::Good, Self::Bad, Self::Poison, Self::Refused])
            .unwrap()
    }
}

/// One step of the schedule.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Carry out calls of the platform that the runner makes.
    Call(usize, u8),
    /// Carry it out and lose the answer.
    LoseAnswer(usize),
    /// Lose the call itself.
    LoseCall(usize),
    Wait(u8),
    Start(usize, u8),
    Finish(usize),
    /// The target of the runner's oldest run was unreachable or overloaded.
    TargetFault(usize),
    Yield(usize),
    /// The end of an earlier run is reported once more.
    LateEnd(usize),
    Crash(usize),
    Release(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let runner = usize::arbitrary(g) % RUNNERS;
        match u8::arbitrary(g) % 26 {
            0..7 => Self::Call(runner, u8::arbitrary(g)),
            7 => Self::LoseAnswer(runner),
            8 => Self::LoseCall(runner),
            9..12 => Self::Wait(u8::arbitrary(g)),
            12..16 => Self::Start(runner, u8::arbitrary(g)),
            16..20 => Self::Finish(runner),
            20 => Self::TargetFault(runner),
            21 => Self::Yield(runner),
            22 => Self::Crash(runner),
            23 | 24 => Self::LateEnd(runner),
            _ => Self::Release(runner),
        }
    }
}

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

struct Runner {
    lot: Lot,
    calls: Vec<Call>,
    runs: Vec<Run>,
    past: Vec<RunId>,
    ends: Vec<LotEnd>,
}

struct World {
    now: Time,
    natures: Vec<Nature>,
    store: BTreeMap<u64, Segment<LotRecord>>,
    runners: Vec<Runner>,
    incarnation: u64,
    kills: HashMap<ItemIndex, u32>,
}

fn target(runner: usize, number: u32) -> TargetId {
    format!("t{runner}-{number}").parse().unwrap()
}

fn runner(number: usize, incarnation: u64, now: Time) -> Runner {
    let host: HostId = format!("batch-{number}").parse().unwrap();
    let range = LotRange { chunk: ChunkIndex(0), offset: 0, first: ItemIndex(100), count: ITEMS };
    let config = LotConfig {
        max_tries: TRIES,
        target_count: TARGETS,
        checkpoint_interval: Span::from_secs(1),
        claim_timeout: Span::from_secs(5),
        deadline: DEADLINE,
    };
    let lot = Lot::new(host, incarnation, range, config, now);
    Runner { lot, calls: Vec::new(), runs: Vec::new(), past: Vec::new(), ends: Vec::new() }
}

impl World {
    fn new(natures: Vec<Nature>) -> Self {
        let now = Time(1_000_000);
        let runners = (0..RUNNERS).map(|r| runner(r, r as u64, now)).collect();
        Self {
            now,
            natures,
            store: BTreeMap::new(),
            runners,
            incarnation: RUNNERS as u64,
            kills: HashMap::new(),
        }
    }

    fn nature(&self, item: ItemIndex) -> Nature {
        self.natures[(item.0 - 100) as usize]
    }

    fn send(&mut self, r: usize, event: LotEvent) {
        let runner = &mut self.runners[r];
        for action in runner.lot.handle(self.now, event) {
            match action {
                LotAction::Create(sequence, segment) => {
                    runner.calls.push(Call::Create(sequence, segment));
                }
                LotAction::Fetch(sequence) => runner.calls.push(Call::Fetch(sequence)),
                LotAction::StartRun { run, target, alone, .. } => {
                    runner.runs.push(Run { id: run, target, alone });
                    runner.past.push(run);
                }
                LotAction::CancelRun(run) => runner.runs.retain(|r| r.id != run),
                LotAction::DeclineSlot(_) => {}
                LotAction::Finished(end) => runner.ends.push(end),
            }
        }
    }

    fn call(&mut self, r: usize, effect: bool, answer: bool) {
        if self.runners[r].calls.is_empty() {
            return;
        }
        let event = match self.runners[r].calls.remove(0) {
            Call::Create(sequence, _) | Call::Fetch(sequence) if !effect => {
                LogEvent::Failed(sequence)
            }
            Call::Create(sequence, segment) => {
                let exists = self.store.contains_key(&sequence);
                self.store.entry(sequence).or_insert(segment);
                match (answer, exists) {
                    (false, _) => LogEvent::Failed(sequence),
                    (true, true) => LogEvent::Exists(sequence),
                    (true, false) => LogEvent::Created(sequence),
                }
            }
            Call::Fetch(sequence) => {
                LogEvent::Fetched(sequence, self.store.get(&sequence).cloned())
            }
        };
        self.send(r, LotEvent::Log(event));
    }

    fn start(&mut self, r: usize, number: u32) {
        let target = target(r, number % TARGETS);
        let there: Vec<&Run> =
            self.runners[r].runs.iter().filter(|run| run.target == target).collect();
        if there.iter().any(|run| run.alone) {
            return;
        }
        let alone = there.is_empty() && self.runners[r].lot.has_ready_suspect(self.now);
        self.send(r, LotEvent::OfferSlot { target, alone });
    }

    fn finish(&mut self, r: usize) {
        if self.runners[r].runs.is_empty() {
            return;
        }
        let run = self.runners[r].runs.remove(0);
        let end = match self.nature(run.id.item) {
            Nature::Good => RunOutcome::Responded(answer(200, run.id)),
            Nature::Bad => RunOutcome::Responded(answer(400, run.id)),
            Nature::Refused => RunOutcome::Failed { target_healthy: true },
            Nature::Poison => return self.kill(r, run),
        };
        self.send(r, LotEvent::RunEnded { run: run.id, outcome: end });
    }

    /// The target of the run dies under all that runs there.
    fn kill(&mut self, r: usize, run: Run) {
        *self.kills.entry(run.id.item).or_default() += 1;
        let runs = std::mem::take(&mut self.runners[r].runs);
        let (mut lost, kept): (Vec<Run>, Vec<Run>) =
            runs.into_iter().partition(|other| other.target == run.target);
        self.runners[r].runs = kept;
        lost.push(run);
        for run in lost {
            self.send(r, LotEvent::RunEnded { run: run.id, outcome: RunOutcome::TargetLost });
        }
    }

    fn end_oldest(&mut self, r: usize, end: RunOutcome) {
        if self.runners[r].runs.is_empty() {
            return;
        }
        let run = self.runners[r].runs.remove(0);
        self.send(r, LotEvent::RunEnded { run: run.id, outcome: end });
    }

    fn end_again(&mut self, r: usize) {
        let runner = &self.runners[r];
        let ended = |id: &&RunId| !runner.runs.iter().any(|run| run.id == **id);
        let Some(&run) = runner.past.iter().find(ended) else { return };
        self.send(r, LotEvent::RunEnded { run, outcome: RunOutcome::Responded(answer(500, run)) });
    }

    fn crash(&mut self, r: usize) {
        self.incarnation += 1;
        self.runners[r] = runner(r, self.incarnation, self.now);
    }

    fn wait(&mut self, steps: u64) {
        self.now = self.now + STEP * steps;
        for r in 0..RUNNERS {
            self.send(r, LotEvent::Tick);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Call(r, count) => (0..count % 12).for_each(|_| self.call(r, true, true)),
            Step::LoseAnswer(r) => self.call(r, true, false),
            Step::LoseCall(r) => self.call(r, false, false),
            Step::Wait(steps) => self.wait(u64::from(steps % 40) + 1),
            Step::Start(r, number) => self.start(r, u32::from(number)),
            Step::Finish(r) => self.finish(r),
            Step::TargetFault(r) => self.end_oldest(r, RunOutcome::NotRun),
            Step::LateEnd(r) => self.end_again(r),
            Step::Yield(r) => self.end_oldest(r, RunOutcome::Yielded(None)),
            Step::Crash(r) => self.crash(r),
            Step::Release(r) => self.send(r, LotEvent::Release),
        }
    }

    fn closed(&self) -> Option<Counts> {
        let records = self.store.values().flat_map(|segment| &segment.records);
        records.into_iter().find_map(|record| match record {
            LotRecord::Closed { counts } => Some(*counts),
            _ => None,
        })
    }

    /// Runs without faults until the lot is closed.
    fn settle(&mut self) {
        for step in 0..FAIR_STEPS {
            if self.closed().is_some() {
                return;
            }
            self.wait(1);
            for r in 0..RUNNERS {
                if self.runners[r].lot.is_ended() {
                    self.crash(r);
                }
                self.call(r, true, true);
                self.start(r, step as u32);
                self.finish(r);
            }
        }
    }

    fn outcomes(&self) -> Vec<Vec<&ItemResult>> {
        let mut outcomes = vec![Vec::new(); ITEMS as usize];
        for record in self.store.values().flat_map(|segment| &segment.records) {
            if let LotRecord::Outcome { item, result } = record {
                outcomes[(item.0 - 100) as usize].push(result);
            }
        }
        outcomes
    }
}

fn answer(status: u16, run: RunId) -> Response {
    Response { status, request: format!("{}", run.number), body: format!("{}", run.item) }
}

fn natures(seed: &[Nature]) -> Vec<Nature> {
    let mut natures = seed.to_vec();
    natures.resize(ITEMS as usize, Nature::Good);
    natures
}

fn is_fitting(nature: Nature, result: &ItemResult) -> bool {
    match (nature, result) {
        (Nature::Good, ItemResult::Response(answer)) => answer.status == 200,
        (Nature::Bad, ItemResult::Response(answer)) => answer.status == 400,
        (Nature::Poison, ItemResult::Failed(failure)) => failure.error == ItemError::TargetLost,
        (Nature::Refused, ItemResult::Failed(failure)) => {
            failure.error == ItemError::TargetFailed && failure.tries == TRIES
        }
        _ => false,
    }
}

#[test]
fn each_item_has_one_fitting_outcome() {
    fn property(seed: Vec<Nature>, steps: Vec<Step>) -> bool {
        let natures = natures(&seed);
        let mut world = World::new(natures.clone());
        steps.into_iter().for_each(|step| world.step(step));
        world.settle();
        let Some(counts) = world.closed() else { return false };
        let outcomes = world.outcomes();
        let fitting = outcomes.iter().zip(&natures).all(|(results, &nature)| {
            results.len() == 1 && results.iter().all(|result| is_fitting(nature, result))
        });
        let good = natures.iter().filter(|&&nature| nature == Nature::Good).count() as u32;
        fitting && counts == Counts { completed: good, failed: ITEMS - good }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, SEED))
        .tests(400)
        .quickcheck(property as fn(Vec<Nature>, Vec<Step>) -> bool);
}

#[test]
fn an_item_that_kills_its_target_fails_within_the_bound() {
    let mut natures = vec![Nature::Good; ITEMS as usize];
    natures[3] = Nature::Poison;
    let mut world = World::new(natures);
    world.settle();
    assert_eq!(world.closed(), Some(Counts { completed: ITEMS - 1, failed: 1 }));
    assert_eq!(world.kills.get(&ItemIndex(103)), Some(&(TRIES + 1)));
}

#[test]
fn faults_of_targets_use_up_no_try() {
    let mut world = World::new(vec![Nature::Good; ITEMS as usize]);
    for step in 0..600 {
        world.wait(10);
        for r in 0..RUNNERS {
            world.call(r, true, true);
            world.start(r, step);
            world.end_oldest(r, RunOutcome::NotRun);
            world.start(r, step + 1);
            world.end_oldest(r, RunOutcome::Failed { target_healthy: false });
        }
    }
    assert_eq!(world.closed(), None);
    world.settle();
    assert_eq!(world.closed(), Some(Counts { completed: ITEMS, failed: 0 }));
}

#[test]
fn remaining_items_fail_at_the_deadline() {
    let mut world = World::new(vec![Nature::Good; ITEMS as usize]);
    world.now = DEADLINE;
    world.settle();
    let expected = ItemResult::failed(ItemError::DeadlineExceeded, 0);
    assert_eq!(world.closed(), Some(Counts { completed: 0, failed: ITEMS }));
    assert!(world.outcomes().iter().all(|results| results == &[&expected]));
}

#[test]
fn a_paused_holder_writes_nothing_after_its_successor() {
    let mut world = World::new(vec![Nature::Good; ITEMS as usize]);
    for _ in 0..10 {
        world.wait(1);
        world.call(0, true, true);
    }
    assert!(world.runners[0].lot.is_held());
    world.start(0, 0);
    let paused = std::mem::replace(&mut world.runners[0], runner(9, 99, world.now));
    world.settle();
    let segments = world.store.len();
    world.runners[0] = paused;
    world.finish(0);
    world.wait(50);
    for _ in 0..10 {
        world.call(0, true, true);
    }
    assert_eq!(world.store.len(), segments);
    assert!(world.outcomes().iter().all(|results| results.len() == 1));
    assert_eq!(world.runners[0].ends, [LotEnd::Superseded]);
}

#[test]
fn an_outage_takes_no_lot_from_its_holder() {
    let mut world = World::new(vec![Nature::Good; ITEMS as usize]);
    for _ in 0..10 {
        world.wait(1);
        world.call(0, true, true);
    }
    assert!(world.runners[0].lot.is_held());
    for _ in 0..10 {
        world.wait(1);
        world.call(1, true, true);
    }
    world.start(0, 0);
    world.finish(0);
    world.start(0, 1);
    for _ in 0..300 {
        world.wait(1);
        (0..2).for_each(|r| world.call(r, false, false));
    }
    for _ in 0..15 {
        world.wait(1);
        (0..4).for_each(|_| world.call(1, true, true));
    }
    for _ in 0..20 {
        world.wait(1);
        (0..2).for_each(|r| world.call(r, true, true));
    }
    assert!(world.runners[0].lot.is_held());
    assert_eq!(world.runners[0].ends, []);
    assert_eq!(world.outcomes().iter().map(Vec::len).sum::<usize>(), 1);
}
