//! Search for the records of targets that are no longer in the document.
//!
//! One host lists the records periodically. Such a record is finished once the models that it
//! names are unloaded, the engine did not respond to repeated reads, or another target has taken
//! over the engine's address.

use std::collections::BTreeMap;

use oleander_core::{Revision, Span, TargetId, Time};

use crate::event::ListedRecord;

/// Schedule of the listings, and the listed records that need no more work.
#[derive(Debug, Default)]
pub(crate) struct Sweep {
    due: Option<Time>,
    finished: BTreeMap<TargetId, Revision>,
}

impl Sweep {
    /// When the next listing is due; `None` if another host lists the records.
    pub(crate) const fn due(&self) -> Option<Time> {
        self.due
    }

    /// Sets whether this host lists the records; if it did not before, the first listing is due at
    /// `first`.
    pub(crate) fn assign(&mut self, own: bool, first: Time) {
        self.due = own.then(|| self.due.unwrap_or(first));
    }

    /// Makes the next listing due no later than `at`.
    pub(crate) fn bring_forward(&mut self, at: Time) {
        self.due = self.due.map(|due| due.min(at));
    }

    /// Whether a listing is due; schedules the next one if so.
    pub(crate) fn take_due(&mut self, now: Time, interval: Span) -> bool {
        if self.due.is_none_or(|due| due > now) {
            return false;
        }
        self.due = Some(now + interval);
        true
    }

    /// Marks a record as finished until its revision changes.
    pub(crate) fn mark_finished(&mut self, target: TargetId, revision: Revision) {
        self.finished.insert(target, revision);
    }

    /// Whether a listed record is not marked as finished.
    pub(crate) fn is_unfinished(&self, listed: &ListedRecord) -> bool {
        self.finished.get(&listed.target) != Some(&listed.revision)
    }

    /// Drops the marks of records that are no longer listed.
    pub(crate) fn retain_listed(&mut self, listed: &[ListedRecord]) {
        let finished = std::mem::take(&mut self.finished);
        for record in listed {
            if let Some(revision) = finished.get(&record.target) {
                self.finished.insert(record.target.clone(), *revision);
            }
        }
    }
}
