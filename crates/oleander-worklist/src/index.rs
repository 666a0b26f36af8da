//! Index of all jobs known to this host.

use std::collections::{BTreeSet, HashMap, HashSet};

use oleander_core::{HostId, JobId, Revision, Time, hash};

use crate::record::{JobPhase, JobRecord, Owner};

/// What this host must do after a job's record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobAction {
    /// Nothing.
    None,
    /// Load the job: this process owns it.
    Load,
    /// Stop the job: this process no longer owns it, or it is no longer open.
    Stop,
}

/// The host among `live` that takes over the job, by rendezvous hashing.
#[must_use]
pub(crate) fn next_owner<'a, T: AsRef<str>>(job: &JobId, live: &'a [T]) -> Option<&'a T> {
    hash::rendezvous(job.as_str(), live)
}

/// Records of all jobs, by id.
#[derive(Debug, Clone, Default)]
pub struct JobIndex {
    records: HashMap<JobId, (Revision, JobRecord)>,
}

impl JobIndex {
    /// Record of a job, with its revision.
    #[must_use]
    pub fn get(&self, job: &JobId) -> Option<&(Revision, JobRecord)> {
        self.records.get(job)
    }

    /// Stores a record unless a newer one is known; returns what the process `local` must do.
    pub fn put(&mut self, revision: Revision, record: JobRecord, local: &Owner) -> JobAction {
        let known = self.records.get(&record.job);
        if known.is_some_and(|(known, _)| *known >= revision) {
            return JobAction::None;
        }
        let is_owned = record.owner.as_ref() == Some(local) && record.phase == JobPhase::Open;
        let was_owned = known.is_some_and(|(_, old)| old.owner.as_ref() == Some(local));
        let change = match (is_owned, was_owned) {
            (true, _) => JobAction::Load,
            (false, true) => JobAction::Stop,
            (false, false) => JobAction::None,
        };
        self.records.insert(record.job.clone(), (revision, record));
        change
    }

    /// Jobs that are not `listed`, though their records are not newer than `revision`.
    #[must_use]
    pub fn missing(&self, listed: &HashSet<JobId>, revision: Revision) -> Vec<JobId> {
        let unlisted = self.records.iter().filter(|(job, _)| !listed.contains(*job));
        let missing = unlisted.filter(|(_, (known, _))| *known <= revision);
        missing.map(|(job, _)| job.clone()).collect()
    }

    /// Removes a job.
    pub fn remove(&mut self, job: &JobId) {
        self.records.remove(job);
    }

    /// Records of all jobs.
    pub fn records(&self) -> impl Iterator<Item = &JobRecord> {
        self.records.values().map(|(_, record)| record)
    }

    /// Hosts of the owners of open jobs.
    #[must_use]
    pub fn owners(&self) -> BTreeSet<HostId> {
        let open = self.records().filter(|record| record.phase == JobPhase::Open);
        open.filter_map(|record| Some(record.owner.as_ref()?.host.clone())).collect()
    }

    /// Open jobs that have no running owner and whose next owner is `local`.
    ///
    /// Hosts that see the same `live` hosts agree on the next owner; if they don't, the
    /// conditional update of the record decides.
    pub fn orphans<'a, T: AsRef<str>>(
        &'a self,
        local: &'a Owner,
        live: &'a [T],
        is_gone: impl Fn(&Owner) -> bool + 'a,
    ) -> impl Iterator<Item = &'a (Revision, JobRecord)> {
        self.records.values().filter(move |(_, record)| {
            record.phase == JobPhase::Open
                && record.owner.as_ref().is_none_or(&is_gone)
                && next_owner(&record.job, live)
                    .is_some_and(|next| next.as_ref() == local.host.as_str())
        })
    }

    /// Jobs that are no longer open and were accepted before `accepted_before`.
    pub fn removable(&self, accepted_before: Time) -> impl Iterator<Item = &(Revision, JobRecord)> {
        self.records.values().filter(move |(_, record)| {
            record.phase != JobPhase::Open && record.accepted < accepted_before
        })
    }
}
