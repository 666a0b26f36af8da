//! Schedules of faults around the end of a job.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use oleander_core::JobId;
use oleander_platform::MemoryPlatform;
use parking_lot::Mutex;
use tokio::time::{sleep, sleep_until};

use crate::{
    draw::Draw,
    fleet::{self, Fleet},
    jobs::{job, submission},
    process::{ANSWER_LOST, ANSWERED, Ending, MESSAGE_LOST},
    store::{NextWrite, Path},
};

/// Time from the acknowledgement of an end after which no item of the job may reach a target.
const END_BOUND: Duration = Duration::from_secs(3);
/// Time for which targets are watched after that.
const WATCHED: Duration = Duration::from_secs(2);
/// Time in which an end is asked for.
const ASKED: Duration = Duration::from_secs(20);
/// Time for which a call is followed until the end has been written.
const CALL: Duration = Duration::from_millis(1_500);
/// Time after which an end that has not been acknowledged is asked for at another host.
const AGAIN: Duration = Duration::from_millis(800);
/// Repeated calls in a schedule.
const REPEATS: u32 = 8;
const PAUSE: Duration = Duration::from_millis(5);
/// Hosts of each schedule.
const HOSTS: usize = 6;
/// Items of the job that is ended, which take longer than a schedule, and of the one that is not.
const ENDED_ITEMS: u32 = 2_000;
const KEPT_ITEMS: u32 = 60;
/// Owner of the job that is ended, and of the other one.
const OWNER: usize = 1;
const OTHER: usize = 2;

/// One fault; the numbers are of hosts.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Path(usize, Path),
    /// Of all hosts but this one.
    PathOfOthers(usize, Path),
    PathOfAll(Path),
    Write(usize, NextWrite),
    Deaf(usize, u8),
    CutOff(usize),
    StandsStill(usize),
    FeederStandsStill,
    FeederFreezes,
    Freeze(usize),
    Kill(usize),
    NewProcess(usize),
    HandOver(usize),
}

/// A fault and when it begins and ends, after the start of the schedule.
#[derive(Debug, Clone, Copy)]
struct Step {
    fault: Fault,
    from: Duration,
    lasts: Duration,
}

/// What a caller does once the end has been written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Caller {
    Stays,
    /// It leaves and asks elsewhere.
    Leaves,
    /// Its host is killed, and it asks elsewhere.
    LosesHost,
}

/// A schedule.
#[derive(Debug, Clone)]
pub(crate) struct Play {
    seed: u64,
    steps: Vec<Step>,
    callers: Vec<(usize, Duration, Caller)>,
}

fn fault(draw: &mut Draw, at_owner: bool) -> Fault {
    let path = draw.one_of(&[Path::Refused, Path::Silent]);
    let host = if at_owner && draw.one_in(2) { OWNER } else { draw.below(HOSTS) };
    match draw.below(13) {
        0 | 1 => Fault::Path(host, path),
        2 => Fault::PathOfOthers(draw.below(HOSTS), path),
        3 => Fault::PathOfAll(path),
        4 => Fault::Write(draw.below(HOSTS), NextWrite::AnswerLost),
        5 => Fault::Write(draw.below(HOSTS), NextWrite::Delayed),
        6 => Fault::Deaf(host, draw.one_of(&[MESSAGE_LOST, ANSWER_LOST])),
        7 => Fault::CutOff(host),
        8 => draw.one_of(&[Fault::StandsStill(host), Fault::FeederStandsStill]),
        9 => draw.one_of(&[Fault::Freeze(host), Fault::FeederFreezes]),
        10 => Fault::Kill(host),
        11 => Fault::NewProcess(host),
        _ => Fault::HandOver(host),
    }
}

/// Faults by which the owner hears of an end late, neither by its watch nor by a message.
fn deafness(draw: &mut Draw) -> [Fault; 2] {
    let spared = OWNER + 1 + draw.below(HOSTS - OWNER - 1);
    let stale = draw.one_of(&[Fault::FeederStandsStill, Fault::PathOfOthers(spared, Path::Silent)]);
    let unheard = [
        Fault::Deaf(OWNER, MESSAGE_LOST),
        Fault::CutOff(OWNER),
        Fault::Path(OWNER, Path::Refused),
        Fault::Path(OWNER, Path::Silent),
    ];
    [stale, draw.one_of(&unheard)]
}

/// A host other than the owner, or any host, seldom.
fn other_host(draw: &mut Draw) -> usize {
    if draw.one_in(10) { draw.below(HOSTS) } else { OWNER + 1 + draw.below(HOSTS - OWNER - 1) }
}

impl Play {
    pub(crate) fn new(seed: u64) -> Self {
        let mut draw = Draw::new(seed);
        let mut steps = Vec::new();
        let is_deaf = !draw.one_in(3);
        if is_deaf {
            for fault in deafness(&mut draw) {
                let (from, lasts) = (draw.millis(0..600), draw.millis(4_000..9_000));
                steps.push(Step { fault, from, lasts });
            }
        }
        for _ in 0..1 + draw.below(4) {
            let (fault, from) = (fault(&mut draw, !is_deaf), draw.millis(0..2_000));
            steps.push(Step { fault, from, lasts: draw.millis(300..5_000) });
        }
        let ways = [Caller::Stays, Caller::Leaves, Caller::LosesHost];
        let mut callers: Vec<(usize, Duration, Caller)> = Vec::new();
        for _ in 0..1 + draw.below(3) {
            callers.push((other_host(&mut draw), draw.millis(600..1_800), draw.one_of(&ways)));
        }
        for repeat in 0..REPEATS {
            let at = Duration::from_millis(1_800) + AGAIN * repeat;
            callers.push((other_host(&mut draw), at, Caller::Stays));
        }
        Self { seed, steps, callers }
    }

    /// Plays the schedule and checks that the job ends in time, and that the other one is done.
    pub(crate) async fn run(self) {
        let seed = self.seed;
        let mut fleet = Fleet::start(HOSTS).await;
        let (kept, ended) = (job("kept"), job("ended"));
        fleet.accept(OTHER, submission("kept", KEPT_ITEMS)).await;
        fleet.accept(OWNER, submission("ended", ENDED_ITEMS)).await;
        let began = Instant::now();
        let acknowledged = self.play(&mut fleet, &ended).await;
        let Some(at) = acknowledged else {
            panic!("seed {seed}: the end was not acknowledged within {ASKED:?}: {self:?}");
        };
        sleep(END_BOUND + WATCHED).await;
        let starts = fleet.starts_of(&ended);
        let late = starts.iter().filter(|start| start.at > at + END_BOUND);
        let late: Vec<_> =
            late.map(|start| (&start.item, &start.host, start.at - began)).take(5).collect();
        assert!(
            late.is_empty(),
            "seed {seed}: after the end at {:?}: {late:?}; {self:?}",
            at - began
        );
        let done = fleet.wait_for_results(&kept, KEPT_ITEMS as usize).await;
        assert_eq!(done, KEPT_ITEMS as usize, "seed {seed}: results of the open job; {self:?}");
    }

    /// Plays the faults and the callers; returns when the end was first acknowledged.
    async fn play(&self, fleet: &mut Fleet, ended: &JobId) -> Option<Instant> {
        let began = Instant::now();
        let mut events: Vec<(Duration, Event)> = Vec::new();
        for step in &self.steps {
            events.push((step.from, Event::Begin(step.fault, step.lasts)));
            events.push((step.from + step.lasts, Event::End(step.fault)));
        }
        events.extend(self.callers.iter().map(|(host, at, way)| (*at, Event::Call(*host, *way))));
        events.sort_by_key(|(at, _)| *at);
        let acknowledged = Acknowledged::default();
        for (at, event) in events {
            sleep_until((began + at).into()).await;
            match event {
                Event::Begin(fault, lasts) => begin(fleet, fault, lasts).await,
                Event::End(fault) => end(fleet, fault).await,
                Event::Call(host, way) => call(fleet, host, way, ended, &acknowledged).await,
            }
        }
        for host in (0..HOSTS).cycle() {
            if acknowledged.lock().is_some() || began.elapsed() > ASKED {
                break;
            }
            call(fleet, host, Caller::Stays, ended, &acknowledged).await;
            sleep(AGAIN).await;
        }
        *acknowledged.lock()
    }
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Begin(Fault, Duration),
    End(Fault),
    Call(usize, Caller),
}

async fn begin(fleet: &mut Fleet, fault: Fault, lasts: Duration) {
    match fault {
        Fault::Path(host, path) => fleet.host(host).path.faults.lock().path = path,
        Fault::PathOfOthers(spared, path) => {
            let others = (0..HOSTS).filter(|host| *host != spared);
            others.for_each(|host| fleet.host(host).path.faults.lock().path = path);
        }
        Fault::PathOfAll(path) => fleet.set_paths(path),
        Fault::Write(host, write) => fleet.host(host).path.faults.lock().next_write = write,
        Fault::Deaf(host, loss) => fleet.host(host).set_loss(loss),
        Fault::CutOff(host) => fleet.host(host).cut_off(),
        Fault::StandsStill(host) => fleet.host(host).path.faults.lock().stands_still = true,
        Fault::FeederStandsStill => fleet.feeder.path.faults.lock().stands_still = true,
        Fault::FeederFreezes => fleet.feeder.freeze(lasts),
        Fault::Freeze(host) => fleet.host(host).freeze(lasts),
        Fault::Kill(host) => drop(fleet.hosts[host].take()),
        Fault::NewProcess(host) => fleet.start_host(host).await,
        Fault::HandOver(host) => fleet.host(host).hand_over(),
    }
    restart(fleet, fault).await;
}

/// Starts a killed host again at once; its earlier process's jobs are then without an owner.
async fn restart(fleet: &mut Fleet, fault: Fault) {
    if let Fault::Kill(host) = fault {
        fleet.start_host(host).await;
    }
}

async fn end(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::Path(host, _) => fleet.host(host).path.faults.lock().path = Path::Open,
        Fault::PathOfOthers(..) | Fault::PathOfAll(_) => fleet.set_paths(Path::Open),
        Fault::Deaf(host, _) => fleet.host(host).set_loss(ANSWERED),
        Fault::CutOff(host) => fleet.host(host).connect(),
        Fault::StandsStill(host) => fleet.host(host).path.faults.lock().stands_still = false,
        Fault::FeederStandsStill => fleet.feeder.path.faults.lock().stands_still = false,
        // A process that gives its jobs away ends then.
        Fault::HandOver(host) => {
            drop(fleet.hosts[host].take());
            fleet.start_host(host).await;
        }
        Fault::Write(..)
        | Fault::FeederFreezes
        | Fault::Freeze(_)
        | Fault::Kill(_)
        | Fault::NewProcess(_) => {}
    }
}

/// When an end was first acknowledged.
type Acknowledged = Arc<Mutex<Option<Instant>>>;

/// Asks a host to end the job; other events of the schedule go on meanwhile, unless the host is to
/// be killed.
async fn call(
    fleet: &mut Fleet,
    index: usize,
    way: Caller,
    job: &JobId,
    acknowledged: &Acknowledged,
) {
    let cancel = fleet.host(index).cancel(job);
    let acknowledged = Arc::clone(acknowledged);
    match way {
        Caller::Stays => {
            tokio::spawn(async move { wait_for_answer(cancel, &acknowledged).await });
        }
        Caller::Leaves => {
            let (platform, job) = (fleet.platform.clone(), job.clone());
            tokio::spawn(async move {
                wait_for_write(&platform, &job, &cancel).await;
                cancel.abort();
                wait_for_answer(cancel, &acknowledged).await;
            });
        }
        Caller::LosesHost => {
            wait_for_write(&fleet.platform, job, &cancel).await;
            if cancel.is_finished() {
                wait_for_answer(cancel, &acknowledged).await;
            }
            drop(fleet.hosts[index].take());
            fleet.start_host(index).await;
        }
    }
}

async fn wait_for_answer(cancel: Ending, acknowledged: &Acknowledged) {
    if matches!(cancel.await, Ok(Ok(true))) {
        acknowledged.lock().get_or_insert_with(Instant::now);
    }
}

/// Waits until the end has been written, or the call is over.
async fn wait_for_write(platform: &MemoryPlatform, job: &JobId, cancel: &Ending) {
    let end = Instant::now() + CALL;
    while !fleet::is_ended(platform, job).await && !cancel.is_finished() && Instant::now() < end {
        sleep(PAUSE).await;
    }
}
