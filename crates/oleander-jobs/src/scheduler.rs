//! Scheduler that chooses the lot that a host opens next.
//!
//! Rendezvous hashing ranks the hosts for each lot. The first host may open the lot at once, each
//! following one a takeover delay later, so that lots of failed or busy hosts are taken over.
//! Among the lots that a host may open, those of the job with the least slack are opened first;
//! every [`FAIR_INTERVAL`]th lot is one of the least recently scheduled job.

use std::collections::{BTreeMap, BTreeSet};

use oleander_core::{HostId, JobId, LotIndex, ServiceId, Span, TargetId, Time, hash, value};

use crate::lot::LotEnd;

/// One lot in this many is one of the least recently scheduled job, so that no job starves.
const FAIR_INTERVAL: u64 = 4;
/// Number of hosts that are candidates to run a lot, by rank.
const MAX_CANDIDATES: usize = 3;
/// Estimated run time of a lot until one has closed.
const INITIAL_LOT_TIME: Span = Span::from_secs(60);
/// Weight of earlier lots in the moving average of the run time; the latest lot has weight 1.
const LOT_TIME_WEIGHT: u64 = 7;

value! {
    /// A job as the scheduler needs it.
    pub struct ScheduledJob {
        /// The job.
        pub job: JobId,
        /// Service that its items call.
        pub service: ServiceId,
        /// Number of lots.
        pub lots: u32,
        /// Time at which its unfinished items fail.
        pub deadline: Time,
    }
}

#[derive(Debug)]
struct Entry {
    service: ServiceId,
    lots: u32,
    deadline: Time,
    added: Time,
    /// Lots that this host is a candidate for, with the earliest time to open each.
    waiting: BTreeMap<LotIndex, Time>,
    /// Lots that this host has open, with the time when it opened each.
    active: BTreeMap<LotIndex, Time>,
    closed: BTreeSet<LotIndex>,
    /// Turn in which a lot of the job was last opened; 0 if none was.
    last_turn: u64,
}

/// Scheduler of the lots that a host opens.
#[derive(Debug)]
pub struct LotScheduler {
    host: HostId,
    hosts: Vec<HostId>,
    takeover_delay: Span,
    /// Moving average of the run time of a lot.
    lot_time: Span,
    /// Number of lots opened so far.
    turn: u64,
    jobs: BTreeMap<JobId, Entry>,
}

impl LotScheduler {
    /// Creates a scheduler without jobs; each further host in a lot's ranking may open the lot
    /// `takeover_delay` later than the one before it.
    #[must_use]
    pub fn new(host: HostId, takeover_delay: Span) -> Self {
        let hosts = vec![host.clone()];
        Self {
            host,
            hosts,
            takeover_delay,
            lot_time: INITIAL_LOT_TIME,
            turn: 0,
            jobs: BTreeMap::new(),
        }
    }

    /// Sets the live batch hosts; this host always counts as live.
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

    /// Whether this host coordinates the job or is a candidate for any of its lots.
    #[must_use]
    pub fn participates_in(&self, job: &JobId, lots: u32) -> bool {
        self.is_coordinator(job) || (0..lots).any(|lot| self.rank(job, LotIndex(lot)).is_some())
    }

    /// Whether this host coordinates the job, that is, checks whether all lots are closed.
    ///
    /// This only avoids duplicate checks; any host may complete the job.
    #[must_use]
    pub fn is_coordinator(&self, job: &JobId) -> bool {
        let hosts = self.hosts.iter().map(HostId::as_str);
        hash::rendezvous(job.as_str(), hosts) == Some(self.host.as_str())
    }

    /// Whether this host runs suspect items at the target.
    ///
    /// One host does so at each target, so that a target lost to another host's suspect is not
    /// counted against an item of this host.
    #[must_use]
    pub fn runs_suspects_at(&self, target: &TargetId) -> bool {
        let hosts = self.hosts.iter().map(HostId::as_str);
        hash::rendezvous(target.as_str(), hosts) == Some(self.host.as_str())
    }

    /// Adds an open job, unless it is known.
    pub fn add_job(&mut self, now: Time, job: ScheduledJob) {
        if self.jobs.contains_key(&job.job) {
            return;
        }
        let entry = Entry {
            service: job.service,
            lots: job.lots,
            deadline: job.deadline,
            added: now,
            waiting: BTreeMap::new(),
            active: BTreeMap::new(),
            closed: BTreeSet::new(),
            last_turn: 0,
        };
        self.jobs.insert(job.job.clone(), entry);
        self.assign(now, &job.job);
    }

    /// Whether this host has no open lots of the job and is a candidate for no others.
    #[must_use]
    pub fn is_idle(&self, job: &JobId) -> bool {
        self.jobs.get(job).is_none_or(|e| e.waiting.is_empty() && e.active.is_empty())
    }

    /// Removes a job.
    pub fn remove_job(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// Ids of the known jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.keys()
    }

    /// Whether the job is known.
    #[must_use]
    pub fn contains(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Chooses the next lot to open, among jobs whose service `has_capacity`, and marks it active.
    pub fn pick(
        &mut self,
        now: Time,
        has_capacity: impl Fn(&ServiceId) -> bool,
    ) -> Option<(JobId, LotIndex)> {
        let is_fair = self.turn.wrapping_add(1).is_multiple_of(FAIR_INTERVAL);
        let due = self.jobs.iter().filter(|(_, e)| has_capacity(&e.service) && e.has_due(now));
        let job = if is_fair {
            due.min_by_key(|(_, entry)| entry.last_turn)
        } else {
            due.min_by_key(|(_, entry)| entry.latest_start(self.lot_time))
        };
        let job = job.map(|(job, _)| job.clone())?;
        let entry = self.jobs.get_mut(&job)?;
        let lot = entry.take_due(now)?;
        self.turn += 1;
        entry.last_turn = self.turn;
        Some((job, lot))
    }

    /// Records how a lot ended that this host had open.
    ///
    /// A lot that was not closed is due again after the takeover delay.
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
                entry.waiting.insert(lot, now + self.takeover_delay);
            }
        }
    }

    /// Whether a lot is known to be closed; true for an unknown job.
    #[must_use]
    pub fn is_closed(&self, job: &JobId, lot: LotIndex) -> bool {
        self.jobs.get(job).is_none_or(|entry| entry.closed.contains(&lot))
    }

    /// Records that a lot was closed by any host.
    pub fn record_closed(&mut self, job: &JobId, lot: LotIndex) {
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.closed.insert(lot);
            entry.waiting.remove(&lot);
            entry.active.remove(&lot);
        }
    }

    /// Recomputes the lots of a job that this host is a candidate for.
    fn assign(&mut self, now: Time, job: &JobId) {
        let Some(entry) = self.jobs.get(job) else { return };
        let waiting: BTreeMap<LotIndex, Time> = (0..entry.lots)
            .map(LotIndex)
            .filter(|lot| !entry.closed.contains(lot) && !entry.active.contains_key(lot))
            .filter_map(|lot| {
                let rank = self.rank(job, lot)? as u64;
                let at = if rank == 0 { now } else { entry.added + self.takeover_delay * rank };
                Some((lot, entry.waiting.get(&lot).map_or(at, |&due| due.min(at).max(now))))
            })
            .collect();
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.waiting = waiting;
        }
    }

    /// Rank of this host for a lot, from 0; `None` if it is no candidate.
    fn rank(&self, job: &JobId, lot: LotIndex) -> Option<usize> {
        let lot = lot.to_string();
        let weight = |host: &HostId| hash::hash_parts(&[job.as_str(), &lot, host.as_str()]);
        let own = weight(&self.host);
        let rank = self.hosts.iter().filter(|host| weight(host) > own).take(MAX_CANDIDATES).count();
        (rank < MAX_CANDIDATES).then_some(rank)
    }
}

impl Entry {
    fn has_due(&self, now: Time) -> bool {
        self.waiting.values().any(|&at| at <= now)
    }

    /// Latest time to start the remaining lots, one after another, to meet the deadline.
    fn latest_start(&self, lot_time: Span) -> Time {
        let remaining = u64::from(self.lots).saturating_sub(self.closed.len() as u64);
        self.deadline - lot_time * remaining
    }

    fn take_due(&mut self, now: Time) -> Option<LotIndex> {
        let lot = self.waiting.iter().find(|(_, at)| **at <= now).map(|(lot, _)| *lot)?;
        self.waiting.remove(&lot);
        self.active.insert(lot, now);
        Some(lot)
    }
}
