//! The jobs that this host participates in.
//!
//! Four loops work on them: the scan for announced jobs, the opening of lots, and the checks for
//! cancelled and for complete jobs.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use oleander_core::{HostId, JobId, LotIndex, Span, TargetId, Time};
use oleander_jobs::{
    FileRecord, JobRecord, LotEnd, LotPlan, LotScheduler, ScheduledJob, StartLeases, key,
};

use crate::app::App;

mod cancellation;
mod completion;
mod opening;
mod scan;

pub(crate) use cancellation::forward_cancellations;
use scan::SCAN_OVERLAP;

/// The stored records of an open job.
#[derive(Debug)]
pub(crate) struct JobInfo {
    record: JobRecord,
    file: FileRecord,
    plan: LotPlan,
}

/// The jobs that this host participates in.
#[derive(Debug)]
pub(crate) struct Jobs {
    scheduler: LotScheduler,
    open: BTreeMap<JobId, Arc<JobInfo>>,
    ended: HashMap<JobId, Time>,
    leases: StartLeases,
}

impl Jobs {
    /// No jobs yet.
    pub(crate) fn new(host: HostId, takeover_delay: Span) -> Self {
        let scheduler = LotScheduler::new(host, takeover_delay);
        Self {
            scheduler,
            open: BTreeMap::new(),
            ended: HashMap::new(),
            leases: StartLeases::default(),
        }
    }

    /// Sets the live batch hosts.
    pub(crate) fn set_hosts(&mut self, now: Time, hosts: Vec<HostId>) {
        self.scheduler.set_hosts(now, hosts);
    }

    /// Whether this host runs suspects at the target.
    pub(crate) fn runs_suspects_at(&self, target: &TargetId) -> bool {
        self.scheduler.runs_suspects_at(target)
    }

    /// Records how a lot ended that this host had open.
    pub(crate) fn record_end(&mut self, now: Time, job: &JobId, lot: LotIndex, end: LotEnd) {
        self.scheduler.record_end(now, job, lot, end);
    }

    /// Whether items of a job may start; `now` is on the clock
    /// [`since_boot`](oleander_host::clock::since_boot).
    pub(crate) fn may_start(&self, job: &JobId, now: Time) -> bool {
        self.leases.allows(job, now)
    }

    /// Records that a read begun at `asked` found a job open, unless the job was removed meanwhile.
    fn confirm_open(&mut self, job: &JobId, asked: Time) {
        if self.open.contains_key(job) {
            self.leases.renew(job, asked);
        }
    }

    fn get(&self, job: &JobId) -> Option<Arc<JobInfo>> {
        self.open.get(job).cloned()
    }

    /// Whether the job was not seen before and this host participates in it.
    fn is_new(&self, found: &key::Announcement) -> bool {
        let known = self.open.contains_key(&found.job) || self.ended.contains_key(&found.job);
        !known && self.scheduler.participates_in(&found.job, found.lots)
    }

    fn add(&mut self, now: Time, info: JobInfo) {
        let record = &info.record;
        self.scheduler.add_job(
            now,
            ScheduledJob {
                job: record.job.clone(),
                service: record.service.clone(),
                lots: record.lots,
                deadline: record.deadline,
            },
        );
        self.open.insert(record.job.clone(), Arc::new(info));
    }

    /// Removes a job; the next scans skip its announcement.
    fn remove(&mut self, now: Time, job: &JobId) {
        self.scheduler.remove_job(job);
        self.open.remove(job);
        self.leases.remove(job);
        self.ended.retain(|_, at| now.since(*at) <= SCAN_OVERLAP * 2);
        self.ended.insert(job.clone(), now);
    }
}

/// Starts the loops.
pub(crate) fn start(app: &Arc<App>) {
    tokio::spawn(scan::run(Arc::clone(app)));
    tokio::spawn(opening::run(Arc::clone(app)));
    tokio::spawn(cancellation::run(Arc::clone(app)));
    tokio::spawn(completion::run(Arc::clone(app)));
}
