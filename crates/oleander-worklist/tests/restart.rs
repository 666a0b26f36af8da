//! Owners of jobs after a restart of all hosts, of which some never come back.
//!
//! The list of hosts has those that are gone as well. The time until each job has an owner must not
//! grow with their number. Time, the links and the platform are simulated.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "../../oleander-members/tests/network/mod.rs"]
mod network;

use std::collections::{BTreeMap, BTreeSet};

use network::{Network, host, host_list};
use oleander_core::{HostId, JobId, Revision, Span, Time, Tokens};
use oleander_members::{MemberEvent, MemberState, MembersConfig};
use oleander_worklist::{JobIndex, JobPhase, JobRecord, Owner};

const SIZES: [usize; 5] = [2, 9, 24, 58, 300];
/// Size from which on few cases are played, unless `RESTART_ALL` is set.
const LARGE: usize = 300;
/// Time after the last start within which each job has an owner.
const BOUND: Span = Span::from_millis(4_500);
/// Most calls to the platform for each job, and messages of a host for each listed one.
const MAX_CALLS: usize = 4;
const MAX_MESSAGES: u64 = 8;
/// Jobs for each host that comes back.
const JOBS: usize = 4;
/// Time between the first and the last start.
const START_SPREAD: Span = Span::from_millis(300);
/// Time after its start from which a host takes over jobs, and between two checks.
const FIRST_CHECK: Span = Span::from_millis(1_600);
const CHECK_INTERVAL: Span = Span::from_millis(400);
/// Jobs that a host takes over in one check.
const MAX_TAKEOVERS: usize = 4;
/// Time until hosts see a change at the platform.
const WATCH_DELAY: Span = Span::from_millis(300);
/// Time after which a probe fails whose connection hangs.
const PROBE_TIMEOUT: Span = Span::from_millis(400);

/// How connections to a host that is gone fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Gone {
    Hangs,
    Refuses,
}

/// A change of a job's record at the platform.
struct Change {
    at: Time,
    revision: Revision,
    record: JobRecord,
}

/// What one host that is back knows of the jobs.
struct Taker {
    index: usize,
    owner: Owner,
    jobs: JobIndex,
    seen: usize,
    next_check: Time,
}

struct Play {
    net: Network,
    how: Gone,
    changes: Vec<Change>,
    /// The last change of each job.
    last: BTreeMap<JobId, usize>,
    takers: Vec<Taker>,
    /// When each host that is back has started.
    started: BTreeMap<HostId, Time>,
    calls: usize,
}

/// What a play came to.
#[derive(Debug)]
struct Outcome {
    /// Time from the last start until each job had an owner.
    took: Span,
    calls: usize,
    /// Most messages of one host.
    messages: u64,
}

fn record(number: usize, owner: Owner) -> JobRecord {
    JobRecord {
        job: format!("job-{number}").parse().unwrap(),
        route: "r".to_owned(),
        host: "a.example".to_owned(),
        total: 1,
        tokens: Tokens(1),
        parts: 1,
        accepted: Time(0),
        due: Span::from_secs(18),
        retention: Span::from_secs(60),
        attempts: 3,
        owner: Some(owner),
        phase: JobPhase::Open,
    }
}

impl Play {
    /// All listed hosts own jobs and end; those of `back` start again.
    fn new(listed: usize, back: &BTreeSet<usize>, how: Gone) -> Self {
        let mut net = Network::new(listed, 13);
        let config = MembersConfig::new().probe_interval(Span::from_millis(300));
        net.config = config.ack_timeout(Span::from_millis(150));
        net.nodes.iter_mut().for_each(|node| node.alive = false);
        let owner = |number| Owner { host: host(number % listed), started: Time(1) };
        let changes = (0..back.len() * JOBS).map(|number| Change {
            at: Time(0),
            revision: Revision(number as u64 + 1),
            record: record(number, owner(number)),
        });
        let changes: Vec<Change> = changes.collect();
        let jobs = changes.iter().map(|change| change.record.job.clone());
        let last = jobs.zip(0..).collect();
        let (takers, started) = (Vec::new(), BTreeMap::new());
        Self { net, how, changes, last, takers, started, calls: 0 }
    }

    fn start(&mut self, index: usize, listed: usize) {
        let now = self.net.now;
        self.net.restart(index, host_list(2, 0..listed, &[]));
        let owner = Owner { host: host(index), started: now };
        self.started.insert(host(index), now);
        let next_check = now + FIRST_CHECK;
        self.takers.push(Taker { index, owner, jobs: JobIndex::default(), seen: 0, next_check });
    }

    /// The last change of a job.
    fn last(&self, job: &JobId) -> &Change {
        &self.changes[self.last[job]]
    }

    /// Whether the process that owns a job runs.
    fn is_owned(&self, job: &JobId) -> bool {
        let owner = self.last(job).record.owner.as_ref().unwrap();
        self.started.get(&owner.host) == Some(&owner.started)
    }

    /// Lets the probes fail that are due.
    fn fail_probes(&mut self) {
        let (now, how) = (self.net.now, self.how);
        let delay = if how == Gone::Refuses { Span::ZERO } else { PROBE_TIMEOUT };
        let (due, later) = std::mem::take(&mut self.net.unanswered)
            .into_iter()
            .partition(|(sent, _, _)| now.since(*sent) >= delay);
        self.net.unanswered = later;
        let due: Vec<(Time, usize, HostId)> = due;
        for (_, from, to) in due {
            let is_refused = how == Gone::Refuses;
            self.net.handle_event(from, MemberEvent::Unanswered { host: to, is_refused });
        }
    }

    /// One check of a host for jobs without an owner.
    fn check(&mut self, number: usize) {
        let now = self.net.now;
        let taker = &mut self.takers[number];
        taker.next_check = now + CHECK_INTERVAL;
        while let Some(change) = self.changes.get(taker.seen)
            && change.at + WATCH_DELAY <= now
        {
            let _ = taker.jobs.put(change.revision, change.record.clone(), &taker.owner);
            taker.seen += 1;
        }
        let (index, owners) = (taker.index, taker.jobs.owners());
        for host in owners {
            self.net.handle_event(index, MemberEvent::Contact { host });
        }
        let (taker, members) = (&self.takers[number], &self.net.nodes[index].members);
        let view = members.view().filter(|view| {
            matches!(view.state, MemberState::Live | MemberState::Candidate)
                && members.is_awaited(now, &view.profile.host)
        });
        let mut live: Vec<HostId> = view.map(|view| view.profile.host).collect();
        live.push(taker.owner.host.clone());
        let is_gone = |owner: &Owner| {
            let later = self.started.get(&owner.host).is_some_and(|at| *at > owner.started);
            later || members.state(&owner.host) == Some(MemberState::Failed)
        };
        let orphans = taker.jobs.orphans(&taker.owner, &live, is_gone).take(MAX_TAKEOVERS);
        let orphans: Vec<(Revision, JobRecord)> = orphans.cloned().collect();
        for (expected, record) in orphans {
            self.calls += 1;
            if self.last(&record.job).revision != expected {
                // The record is read again.
                self.calls += 1;
                continue;
            }
            let owner = Some(self.takers[number].owner.clone());
            let revision = Revision(self.changes.len() as u64 + 1);
            self.last.insert(record.job.clone(), self.changes.len());
            self.changes.push(Change { at: now, revision, record: JobRecord { owner, ..record } });
        }
    }
}

/// Plays a restart of all of `listed` hosts, of which `gone` do not come back; `None` if a job has no
/// owner in time.
fn play(listed: usize, gone: usize, how: Gone) -> Option<Outcome> {
    // Spread over the order of names.
    let is_gone = |index: &usize| (index * gone) / listed != ((index + 1) * gone) / listed;
    let back: BTreeSet<usize> = (0..listed).filter(|index| !is_gone(index)).collect();
    let mut play = Play::new(listed, &back, how);
    let begin = play.net.now;
    let mut waiting = back.iter().copied().enumerate().peekable();
    let start_of = |order: usize| begin + Span(START_SPREAD.0 * order as u64 / back.len() as u64);
    let jobs: Vec<JobId> = play.changes.iter().map(|change| change.record.job.clone()).collect();
    while play.net.now.since(begin) < START_SPREAD + BOUND {
        while let Some((_, index)) = waiting.next_if(|(order, _)| start_of(*order) <= play.net.now)
        {
            play.start(index, listed);
        }
        play.net.step();
        play.fail_probes();
        let due = (0..play.takers.len()).filter(|n| play.takers[*n].next_check <= play.net.now);
        let due: Vec<usize> = due.collect();
        due.into_iter().for_each(|number| play.check(number));
        if waiting.peek().is_none() && jobs.iter().all(|job| play.is_owned(job)) {
            let messages = back.iter().map(|index| play.net.nodes[*index].messages).max();
            let took = play.net.now.since(begin + START_SPREAD);
            return Some(Outcome { took, calls: play.calls, messages: messages.unwrap() });
        }
    }
    None
}

/// Guards against jobs that wait for a second or more for each host that is gone for good.
#[test]
fn after_a_restart_of_all_each_job_has_an_owner_in_a_time_that_does_not_grow_with_the_list() {
    let all = std::env::var("RESTART_ALL").is_ok();
    for listed in SIZES {
        let few = [0, 1, listed / 8].into_iter().take(if listed < LARGE || all { 3 } else { 0 });
        let some = few.chain([listed / 2, listed - 2]);
        let numbers: BTreeSet<usize> = some.filter(|gone| *gone < listed).collect();
        for gone in numbers {
            let ways = [Gone::Hangs, Gone::Refuses];
            for how in ways.into_iter().take(if listed < LARGE || all { 2 } else { 1 }) {
                let case = format!("{gone} of {listed} are gone, {how:?}");
                let outcome = play(listed, gone, how);
                let outcome = outcome.unwrap_or_else(|| panic!("{case}: no owner in {BOUND:?}"));
                println!("{case}: {} ms, {outcome:?}", outcome.took.as_millis());
                let jobs = (listed - gone) * JOBS;
                assert!(outcome.calls <= MAX_CALLS * jobs, "{case}: {outcome:?}, {jobs} jobs");
                assert!(
                    outcome.messages <= MAX_MESSAGES * listed as u64 + 64,
                    "{case}: {outcome:?}"
                );
            }
        }
    }
}
