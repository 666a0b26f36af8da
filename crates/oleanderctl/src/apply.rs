//! Puts a document in force.
//!
//! [`Apply`] decides, [`apply`] carries out. A change is bound to the revision that was read, so
//! a repeated request can't take effect twice, and a lost response is resolved by reading back: if
//! the wanted document is in force, the change took effect.

use std::time::Duration;

use oleander_core::{Revision, value};
use oleander_document::{Change, Document, Fault, diff};

use crate::{
    AdminError, Fleet,
    admin::{ApplyRequest, ApplyResponse, CurrentDocument},
};

/// Requests that are sent before the outcome counts as unknown.
const MAX_SENDS: u32 = 4;
/// Reads that may fail before the outcome of a lost answer counts as unknown.
const MAX_FAILED_READS: u32 = 5;
/// Pause before a read that resolves a lost response.
const PAUSE: Duration = Duration::from_millis(300);

/// How an apply ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The document is in force.
    Applied(Applied),
    /// Another change came first.
    Conflict(Conflict),
    /// The document was rejected.
    Rejected(Vec<Fault>),
    /// The change may or may not have taken effect.
    Unknown(AdminError),
    /// Nothing was changed.
    Failed(AdminError),
}

value! {
    /// A document in force.
    pub struct Applied {
        /// Its revision.
        pub revision: Option<Revision>,
        /// What it changed; empty if it was in force already.
        pub changes: Vec<Change>,
        /// Whether an answer was lost and the outcome was read back.
        pub response_lost: bool,
    }

    /// A change that came first.
    pub struct Conflict {
        /// Revision that was read.
        pub base: Option<Revision>,
        /// Revision in force.
        pub revision: Option<Revision>,
        /// What the other change did.
        pub changes: Vec<Change>,
        /// Whether an answer was lost, so that the wanted document may have been in force before.
        pub response_lost: bool,
    }
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the document in force.
    Read,
    /// Ask for the change against this revision.
    Send(Option<Revision>),
    /// Wait, then read the document in force.
    DelayedRead,
    /// Stop.
    Done(Outcome),
}

/// The decisions of one apply.
#[derive(Debug, Clone)]
pub struct Apply {
    wanted: Document,
    base: CurrentDocument,
    pinned: bool,
    lost: Option<AdminError>,
    sends: u32,
    failed_reads: u32,
}

impl Apply {
    /// Applies `wanted` in place of whatever is in force when it starts.
    #[must_use]
    pub const fn new(wanted: Document) -> Self {
        let base = CurrentDocument { revision: None, document: None };
        Self { wanted, base, pinned: false, lost: None, sends: 0, failed_reads: 0 }
    }

    /// Applies `wanted` in place of `base` only.
    #[must_use]
    pub const fn against(wanted: Document, base: CurrentDocument) -> Self {
        Self { wanted, base, pinned: true, lost: None, sends: 0, failed_reads: 0 }
    }

    /// The first step.
    #[must_use]
    pub fn start(&mut self) -> Step {
        if self.pinned { self.send() } else { Step::Read }
    }

    /// Takes in the document in force.
    #[must_use]
    pub fn on_read(&mut self, current: Result<CurrentDocument, AdminError>) -> Step {
        let current = match current {
            Ok(current) => current,
            Err(error) => return self.on_read_error(error),
        };
        if current.document.as_ref() == Some(&self.wanted) {
            return self.in_force(current.revision);
        }
        if !self.pinned {
            self.base = current;
            self.pinned = true;
            return self.send();
        }
        if current.revision == self.base.revision {
            return self.send();
        }
        self.conflict(&current)
    }

    /// Takes in the answer to a request.
    #[must_use]
    pub fn on_response(&mut self, answer: Result<ApplyResponse, AdminError>) -> Step {
        match answer {
            Ok(ApplyResponse::Applied(revision)) => self.in_force(Some(revision)),
            Ok(ApplyResponse::Conflict(current)) => self.on_conflict(current),
            Ok(ApplyResponse::Rejected(faults)) => Step::Done(Outcome::Rejected(faults)),
            Err(error) if error.may_have_run() => {
                self.lost = Some(error);
                Step::DelayedRead
            }
            Err(error) => Step::Done(self.failed(error)),
        }
    }

    fn send(&mut self) -> Step {
        if self.sends < MAX_SENDS {
            self.sends += 1;
            return Step::Send(self.base.revision);
        }
        match self.lost.take() {
            Some(error) => Step::Done(Outcome::Unknown(error)),
            None => self.conflict(&self.base),
        }
    }

    fn on_read_error(&mut self, error: AdminError) -> Step {
        self.failed_reads += 1;
        if self.lost.is_some() && self.failed_reads < MAX_FAILED_READS {
            return Step::DelayedRead;
        }
        Step::Done(self.failed(error))
    }

    fn on_conflict(&mut self, current: CurrentDocument) -> Step {
        if current.document.as_ref() == Some(&self.wanted) {
            return self.in_force(current.revision);
        }
        if current.document == self.base.document {
            // Only the revision is newer than the one that was read: nothing to decide anew.
            self.base = current;
            return self.send();
        }
        self.conflict(&current)
    }

    fn in_force(&self, revision: Option<Revision>) -> Step {
        let changes = changes(self.base.document.as_ref(), Some(&self.wanted));
        let changes = if self.pinned { changes } else { Vec::new() };
        Step::Done(Outcome::Applied(Applied {
            revision,
            changes,
            response_lost: self.lost.is_some(),
        }))
    }

    fn conflict(&self, current: &CurrentDocument) -> Step {
        Step::Done(Outcome::Conflict(Conflict {
            base: self.base.revision,
            revision: current.revision,
            changes: changes(self.base.document.as_ref(), current.document.as_ref()),
            response_lost: self.lost.is_some(),
        }))
    }

    /// The outcome of an error: unknown if an earlier request may have taken effect.
    fn failed(&self, error: AdminError) -> Outcome {
        if self.lost.is_some() { Outcome::Unknown(error) } else { Outcome::Failed(error) }
    }
}

/// Changes between two documents, either of which may not be there yet.
#[must_use]
pub fn changes(old: Option<&Document>, new: Option<&Document>) -> Vec<Change> {
    let nothing = Document::default();
    diff(old.unwrap_or(&nothing), new.unwrap_or(&nothing))
}

/// Carries out an apply to its end.
pub async fn apply(fleet: &Fleet, mut apply: Apply) -> Outcome {
    let mut step = apply.start();
    let mut sends = 0;
    loop {
        step = match step {
            Step::Read => apply.on_read(fleet.document().await),
            Step::Send(base) => {
                let request = ApplyRequest::new(base, &apply.wanted);
                let answer = fleet.apply(sends, &request).await;
                sends += 1;
                apply.on_response(answer)
            }
            Step::DelayedRead => {
                tokio::time::sleep(PAUSE).await;
                apply.on_read(fleet.document().await)
            }
            Step::Done(outcome) => return outcome,
        };
    }
}
