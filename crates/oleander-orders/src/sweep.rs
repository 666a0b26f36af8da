//! Records of targets that the document no longer has.
//!
//! One host lists the records now and then. A record whose target is not in the document is
//! finished once its engine was seen without the model.

use std::collections::BTreeMap;

use oleander_core::{Revision, Span, TargetId, Time};

use crate::event::ListedRecord;

/// When records are listed, and which need no more work.
#[derive(Debug, Default)]
pub(crate) struct Sweep {
    due: Option<Time>,
    finished: BTreeMap<TargetId, Revision>,
}

impl Sweep {
    /// When the next listing is due, if this host makes it.
    pub(crate) const fn due(&self) -> Option<Time> {
        self.due
    }

    /// Sets whether this host lists; a new duty is due at `first`.
    pub(crate) fn assign(&mut self, mine: bool, first: Time) {
        self.due = mine.then(|| self.due.unwrap_or(first));
    }

    /// Makes the next listing due no later than `at`.
    pub(crate) fn hasten(&mut self, at: Time) {
        self.due = self.due.map(|due| due.min(at));
    }

    /// Whether a listing is due; plans the next one if so.
    pub(crate) fn take_due(&mut self, now: Time, interval: Span) -> bool {
        if self.due.is_none_or(|due| due > now) {
            return false;
        }
        self.due = Some(now + interval);
        true
    }

    /// Notes that a record needs no more work.
    pub(crate) fn finish(&mut self, target: TargetId, revision: Revision) {
        self.finished.insert(target, revision);
    }

    /// Whether a listed record may need work.
    pub(crate) fn is_open(&self, key: &ListedRecord) -> bool {
        self.finished.get(&key.target) != Some(&key.revision)
    }

    /// Forgets finished records that are no longer listed.
    pub(crate) fn keep(&mut self, listed: &[ListedRecord]) {
        let finished = std::mem::take(&mut self.finished);
        for key in listed {
            if let Some(revision) = finished.get(&key.target) {
                self.finished.insert(key.target.clone(), *revision);
            }
        }
    }
}
