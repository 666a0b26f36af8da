//! All jobs as the platform lists them.

use std::collections::HashMap;

use oleander_core::{JobId, Revision, Time, hash};

use crate::record::{JobEntry, JobPhase, Owner};

/// What an entry's change means for this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryAction {
    /// Nothing.
    None,
    /// This host is to run the job.
    Load,
    /// This host no longer runs the job, or the job runs no more.
    Stop,
}

/// The host among `live` that takes a job over.
#[must_use]
pub(crate) fn next_owner<'a, T: AsRef<str>>(job: &JobId, live: &'a [T]) -> Option<&'a T> {
    hash::rendezvous(job.as_str(), live)
}

/// Entries of all jobs.
#[derive(Debug, Clone, Default)]
pub struct JobIndex {
    entries: HashMap<JobId, (Revision, JobEntry)>,
}

impl JobIndex {
    /// Entry of a job, with its revision.
    #[must_use]
    pub fn get(&self, job: &JobId) -> Option<&(Revision, JobEntry)> {
        self.entries.get(job)
    }

    /// Takes an entry unless a newer one is known; tells what it means for the process `me`.
    pub fn put(&mut self, revision: Revision, entry: JobEntry, me: &Owner) -> EntryAction {
        let known = self.entries.get(&entry.job);
        if known.is_some_and(|(at, _)| *at >= revision) {
            return EntryAction::None;
        }
        let mine = entry.owner.as_ref() == Some(me) && entry.phase == JobPhase::Open;
        let was_mine = known.is_some_and(|(_, old)| old.owner.as_ref() == Some(me));
        let change = match (mine, was_mine) {
            (true, _) => EntryAction::Load,
            (false, true) => EntryAction::Stop,
            (false, false) => EntryAction::None,
        };
        self.entries.insert(entry.job.clone(), (revision, entry));
        change
    }

    /// Drops a job that was removed.
    pub fn remove(&mut self, job: &JobId) {
        self.entries.remove(job);
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &JobEntry> {
        self.entries.values().map(|(_, entry)| entry)
    }

    /// Open jobs without an owner that runs and of which `me` is the next owner.
    ///
    /// Hosts that see the same `live` hosts agree on the next owner; if they don't, the
    /// conditional update of the entry decides.
    pub fn orphans<'a, T: AsRef<str>>(
        &'a self,
        me: &'a Owner,
        live: &'a [T],
        is_gone: impl Fn(&Owner) -> bool + 'a,
    ) -> impl Iterator<Item = &'a (Revision, JobEntry)> {
        self.entries.values().filter(move |(_, entry)| {
            entry.phase == JobPhase::Open
                && entry.owner.as_ref().is_none_or(&is_gone)
                && next_owner(&entry.job, live)
                    .is_some_and(|next| next.as_ref() == me.host.as_str())
        })
    }

    /// Jobs whose results nobody may ask for any more.
    pub fn removable(&self, accepted_before: Time) -> impl Iterator<Item = &(Revision, JobEntry)> {
        self.entries.values().filter(move |(_, entry)| {
            entry.phase != JobPhase::Open && entry.accepted < accepted_before
        })
    }
}
