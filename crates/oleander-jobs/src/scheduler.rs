//! Which lot a host opens next.
//!
//! Each lot has a rank order of hosts by rendezvous hashing. The first host may open the lot at
//! once, the next ones after a span each, so that a lot whose host is gone or busy is taken over.
//! Among the lots a host may open, jobs with the least slack go first; every
//! [`FAIR_TURN`]th lot goes to the job that was served least recently.

use std::collections::{BTreeMap, BTreeSet};

use oleander_core::{HostId, JobId, LotIndex, ServiceId, Span, TargetId, Time, hash, value};

use crate::lot::LotEnd;

/// One lot in this many goes to the job that was served least recently.
const FAIR_TURN: u64 = 4;
/// Hosts of a lot's rank order that look after it.
const RANKS: usize = 3;
/// Assumed run time of a lot before one was measured.
const FIRST_LOT_TIME: Span = Span::from_secs(60);
/// Weight of past lots in the measured run time, against one of the latest.
const LOT_TIME_WEIGHT: u64 = 7;

value! {
    /// What the board knows of a job.
    pub struct ScheduledJob {
        /// The job.
        pub job: JobId,
        /// Service that runs it.
        pub service: ServiceId,
        /// Number of lots.
        pub lots: u32,
        /// When its remaining items fail.
        pub deadline: Time,
    }
}

#[derive(Debug)]
struct Entry {
    service: ServiceId,
    lots: u32,
    deadline: Time,
    learned: Time,
    /// Lots to look after, with the earliest time to open each.
    waiting: BTreeMap<LotIndex, Time>,
    active: BTreeMap<LotIndex, Time>,
    closed: BTreeSet<LotIndex>,
    served: u64,
}

/// The jobs that a host takes part in.
#[derive(Debug)]
pub struct LotScheduler {
    host: HostId,
    hosts: Vec<HostId>,
    stale: Span,
    lot_time: Span,
    turn: u64,
    jobs: BTreeMap<JobId, Entry>,
}

impl LotScheduler {
    /// An empty board; `stale` is the time after which the next host of a lot's order steps in.
    #[must_use]
    pub fn new(host: HostId, stale: Span) -> Self {
        let hosts = vec![host.clone()];
        Self { host, hosts, stale, lot_time: FIRST_LOT_TIME, turn: 0, jobs: BTreeMap::new() }
    }

    /// Takes in the live batch hosts; this host always counts as live.
    pub fn set_hosts(&mut self, now: Time, mut hosts: Vec<HostId>) {
        hosts.push(self.host.clone());
        hosts.sort();
        hosts.dedup();
        if hosts == self.hosts {
            return;
        }
        self.hosts = hosts;
        let jobs: Vec<JobId> = self.jobs.keys().cloned().collect();
        for job in jobs {
            self.assign(now, &job);
        }
    }

    /// Whether this host looks after any lot of the job.
    #[must_use]
    pub fn participates_in(&self, job: &JobId, lots: u32) -> bool {
        self.is_coordinator(job) || (0..lots).any(|lot| self.rank(job, LotIndex(lot)).is_some())
    }

    /// Whether this host is the first to complete the job.
    #[must_use]
    pub fn is_coordinator(&self, job: &JobId) -> bool {
        let hosts = self.hosts.iter().map(HostId::as_str);
        hash::rendezvous(job.as_str(), hosts) == Some(self.host.as_str())
    }

    /// Whether this host runs suspects at the target.
    ///
    /// One host does so at each target, so that a suspect of another host that kills the target
    /// puts no blame on this host's.
    #[must_use]
    pub fn runs_suspects_at(&self, target: &TargetId) -> bool {
        let hosts = self.hosts.iter().map(HostId::as_str);
        hash::rendezvous(target.as_str(), hosts) == Some(self.host.as_str())
    }

    /// Takes in an open job.
    pub fn add_job(&mut self, now: Time, job: ScheduledJob) {
        if self.jobs.contains_key(&job.job) {
            return;
        }
        let entry = Entry {
            service: job.service,
            lots: job.lots,
            deadline: job.deadline,
            learned: now,
            waiting: BTreeMap::new(),
            active: BTreeMap::new(),
            closed: BTreeSet::new(),
            served: 0,
        };
        self.jobs.insert(job.job.clone(), entry);
        self.assign(now, &job.job);
    }

    /// Whether nothing of the job is left to this host.
    #[must_use]
    pub fn is_idle(&self, job: &JobId) -> bool {
        self.jobs.get(job).is_none_or(|e| e.waiting.is_empty() && e.active.is_empty())
    }

    /// Drops a job that has ended.
    pub fn remove_job(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// Jobs on the board.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.keys()
    }

    /// Whether the job is on the board.
    #[must_use]
    pub fn contains(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Takes the lot to open next among services that `has_room`.
    pub fn pick(
        &mut self,
        now: Time,
        has_room: impl Fn(&ServiceId) -> bool,
    ) -> Option<(JobId, LotIndex)> {
        let fair = self.turn.wrapping_add(1).is_multiple_of(FAIR_TURN);
        let ready = self.jobs.iter().filter(|(_, e)| has_room(&e.service) && e.is_ready(now));
        let job = if fair {
            ready.min_by_key(|(_, entry)| entry.served)
        } else {
            ready.min_by_key(|(_, entry)| entry.latest_start(self.lot_time))
        };
        let job = job.map(|(job, _)| job.clone())?;
        let entry = self.jobs.get_mut(&job)?;
        let lot = entry.take_ready(now)?;
        self.turn += 1;
        entry.served = self.turn;
        Some((job, lot))
    }

    /// Takes in how a lot that this host opened ended for it.
    pub fn record_end(&mut self, now: Time, job: &JobId, lot: LotIndex, end: LotEnd) {
        let Some(entry) = self.jobs.get_mut(job) else { return };
        let opened = entry.active.remove(&lot);
        match end {
            LotEnd::Closed(_) => {
                entry.closed.insert(lot);
                if let Some(opened) = opened {
                    let sum = self.lot_time * LOT_TIME_WEIGHT + now.since(opened);
                    self.lot_time = Span(sum.0 / (LOT_TIME_WEIGHT + 1));
                }
            }
            LotEnd::Superseded | LotEnd::Released => {
                entry.waiting.insert(lot, now + self.stale);
            }
        }
    }

    /// Whether a lot is known to be closed.
    #[must_use]
    pub fn is_closed(&self, job: &JobId, lot: LotIndex) -> bool {
        self.jobs.get(job).is_none_or(|entry| entry.closed.contains(&lot))
    }

    /// Marks a lot as closed by another host.
    pub fn record_closed(&mut self, job: &JobId, lot: LotIndex) {
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.closed.insert(lot);
            entry.waiting.remove(&lot);
            entry.active.remove(&lot);
        }
    }

    fn assign(&mut self, now: Time, job: &JobId) {
        let Some(entry) = self.jobs.get(job) else { return };
        let waiting: BTreeMap<LotIndex, Time> = (0..entry.lots)
            .map(LotIndex)
            .filter(|lot| !entry.closed.contains(lot) && !entry.active.contains_key(lot))
            .filter_map(|lot| {
                let rank = self.rank(job, lot)? as u64;
                let at = if rank == 0 { now } else { entry.learned + self.stale * rank };
                Some((lot, entry.waiting.get(&lot).map_or(at, |&held| held.min(at).max(now))))
            })
            .collect();
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.waiting = waiting;
        }
    }

    /// Position of this host in a lot's order, if it is among the first.
    fn rank(&self, job: &JobId, lot: LotIndex) -> Option<usize> {
        let key = lot.to_string();
        let weight = |host: &HostId| hash::hash_parts(&[job.as_str(), &key, host.as_str()]);
        let own = weight(&self.host);
        let above = self.hosts.iter().filter(|host| weight(host) > own).take(RANKS).count();
        (above < RANKS).then_some(above)
    }
}

impl Entry {
    fn is_ready(&self, now: Time) -> bool {
        self.waiting.values().any(|&at| at <= now)
    }

    /// When the remaining lots have to start, one after another, to meet the deadline.
    fn latest_start(&self, lot_time: Span) -> Time {
        let left = u64::from(self.lots).saturating_sub(self.closed.len() as u64);
        self.deadline - lot_time * left
    }

    fn take_ready(&mut self, now: Time) -> Option<LotIndex> {
        let lot = self.waiting.iter().find(|(_, at)| **at <= now).map(|(lot, _)| *lot)?;
        self.waiting.remove(&lot);
        self.active.insert(lot, now);
        Some(lot)
    }
}
