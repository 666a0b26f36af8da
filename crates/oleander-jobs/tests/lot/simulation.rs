//! Hosts with a [`Lot`] each, their targets, and the platform that holds the log.

use std::collections::{BTreeMap, HashMap};

use oleander_core::{ChunkIndex, HostId, ItemIndex, Span, TargetId, Time};
use oleander_jobs::{
    Counts, ItemError, ItemResult, Lot, LotAction, LotConfig, LotEnd, LotEvent, LotRange,
    LotRecord, Response, RunId, RunOutcome,
};
use oleander_ledger::{LogEvent, Segment};
use quickcheck::{Arbitrary, Gen};

pub(crate) const SEED: u64 = 1;
pub(crate) const HOSTS: usize = 3;
pub(crate) const ITEMS: u32 = 8;
pub(crate) const TARGETS: u32 = 3;
pub(crate) const MAX_TRIES: u32 = 3;
pub(crate) const TICK: Span = Span::from_millis(200);
pub(crate) const MAX_SETTLE_STEPS: usize = 4_000;
pub(crate) const DEADLINE: Time = Time(3_600_000_000);

/// What targets do with an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ItemKind {
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
pub(crate) enum Step {
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
pub(crate) enum Call {
    Create(u64, Segment<LotRecord>),
    Fetch(u64),
}

pub(crate) struct Run {
    pub(crate) id: RunId,
    pub(crate) target: TargetId,
    pub(crate) alone: bool,
}

pub(crate) struct Host {
    pub(crate) lot: Lot,
    /// Calls without a response, oldest first.
    pub(crate) calls: Vec<Call>,
    /// Runs under way, oldest first.
    pub(crate) runs: Vec<Run>,
    /// Ids of all runs so far.
    pub(crate) started: Vec<RunId>,
    pub(crate) ends: Vec<LotEnd>,
}

pub(crate) struct Simulation {
    pub(crate) now: Time,
    pub(crate) kinds: Vec<ItemKind>,
    /// The lot's log at the platform.
    pub(crate) segments: BTreeMap<u64, Segment<LotRecord>>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) incarnation: u64,
    /// Number of targets that each item crashed.
    pub(crate) crashes: HashMap<ItemIndex, u32>,
}

pub(crate) fn target(host: usize, number: u32) -> TargetId {
    format!("t{host}-{number}").parse().unwrap()
}

pub(crate) fn host(number: usize, incarnation: u64, now: Time) -> Host {
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
    pub(crate) fn new(kinds: Vec<ItemKind>) -> Self {
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

    pub(crate) fn kind(&self, item: ItemIndex) -> ItemKind {
        self.kinds[(item.0 - 100) as usize]
    }

    pub(crate) fn send(&mut self, h: usize, event: LotEvent) {
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
    pub(crate) fn call(&mut self, h: usize, executes: bool, responds: bool) {
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
    pub(crate) fn offer_slot(&mut self, h: usize, number: u32) {
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
    pub(crate) fn finish_run(&mut self, h: usize) {
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
    pub(crate) fn crash_target(&mut self, h: usize, run: Run) {
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
    pub(crate) fn finish_oldest(&mut self, h: usize, outcome: RunOutcome) {
        if self.hosts[h].runs.is_empty() {
            return;
        }
        let run = self.hosts[h].runs.remove(0);
        self.send(h, LotEvent::RunEnded { run: run.id, outcome });
    }

    /// Reports another outcome of a run that has ended; the lot must ignore it.
    pub(crate) fn repeat_outcome(&mut self, h: usize) {
        let host = &self.hosts[h];
        let ended = |id: &&RunId| !host.runs.iter().any(|run| run.id == **id);
        let Some(&run) = host.started.iter().find(ended) else { return };
        self.send(
            h,
            LotEvent::RunEnded { run, outcome: RunOutcome::Responded(response(500, run)) },
        );
    }

    pub(crate) fn restart(&mut self, h: usize) {
        self.incarnation += 1;
        self.hosts[h] = host(h, self.incarnation, self.now);
    }

    pub(crate) fn wait(&mut self, steps: u64) {
        self.now = self.now + TICK * steps;
        for h in 0..HOSTS {
            self.send(h, LotEvent::Tick);
        }
    }

    pub(crate) fn step(&mut self, step: Step) {
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

    pub(crate) fn closed(&self) -> Option<Counts> {
        let records = self.segments.values().flat_map(|segment| &segment.records);
        records.into_iter().find_map(|record| match record {
            LotRecord::Closed { counts } => Some(*counts),
            _ => None,
        })
    }

    /// Steps without lost calls until the lot is closed; hosts that are done open the lot again.
    pub(crate) fn settle(&mut self) {
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
    pub(crate) fn outcomes(&self) -> Vec<Vec<&ItemResult>> {
        let mut outcomes = vec![Vec::new(); ITEMS as usize];
        for record in self.segments.values().flat_map(|segment| &segment.records) {
            if let LotRecord::Outcome { item, result } = record {
                outcomes[(item.0 - 100) as usize].push(result);
            }
        }
        outcomes
    }
}

pub(crate) fn response(status: u16, run: RunId) -> Response {
    Response { status, request: format!("{}", run.number), body: format!("{}", run.item) }
}

/// Extends generated kinds to the number of items.
pub(crate) fn pad_kinds(kinds: &[ItemKind]) -> Vec<ItemKind> {
    let mut kinds = kinds.to_vec();
    kinds.resize(ITEMS as usize, ItemKind::Valid);
    kinds
}

pub(crate) fn is_expected(kind: ItemKind, result: &ItemResult) -> bool {
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
