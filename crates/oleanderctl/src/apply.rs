//! Applies a document.
//!
//! [`Apply`] is a state machine that decides the next step; [`apply`] makes the calls. Each request
//! names the revision that was read and replaces only that one, so a repeated request can't take
//! effect twice. If a response is lost, the document in force is read back: if it is the wanted
//! document, the change took effect.

use std::time::Duration;

use oleander_core::{Revision, value};
use oleander_document::{Change, Document, Fault, diff};

use crate::{
    AdminError, Fleet,
    admin::{ApplyRequest, ApplyResponse, CurrentDocument},
};

/// Requests sent before the apply ends as a conflict, or as unknown if a response was lost.
const MAX_SENDS: u32 = 4;
/// Failed reads after which the outcome is unknown if a response was lost.
const MAX_FAILED_READS: u32 = 5;
/// Delay before reading back after a lost response.
const READ_BACK_DELAY: Duration = Duration::from_millis(300);

/// Outcome of an apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The document is in force.
    Applied(Applied),
    /// Another change was applied first.
    Conflict(Conflict),
    /// The document was rejected.
    Rejected(Vec<Fault>),
    /// The change may or may not have taken effect.
    Unknown(AdminError),
    /// Nothing was changed.
    Failed(AdminError),
}

value! {
    /// An applied document.
    pub struct Applied {
        /// Its revision.
        pub revision: Option<Revision>,
        /// Changes that it made; empty if it was in force already.
        pub changes: Vec<Change>,
        /// Whether a response was lost, so that the document in force was read back.
        pub response_lost: bool,
    }

    /// Another change that was applied first.
    pub struct Conflict {
        /// Revision that was read.
        pub base: Option<Revision>,
        /// Revision in force.
        pub revision: Option<Revision>,
        /// Changes from the document that was read to the one in force.
        pub changes: Vec<Change>,
        /// Whether a response was lost, so that the wanted document may have been in force before
        /// the other change.
        pub response_lost: bool,
    }
}

/// Next step of an apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the document in force.
    Read,
    /// Send a request to replace this revision.
    Send(Option<Revision>),
    /// Wait, then read the document in force.
    DelayedRead,
    /// Stop with this outcome.
    Done(Outcome),
}

/// State machine of one apply; does no I/O.
#[derive(Debug, Clone)]
pub struct Apply {
    wanted: Document,
    base: CurrentDocument,
    /// Whether `base` was given or read.
    has_base: bool,
    /// Error of the last request that may have taken effect.
    lost_response: Option<AdminError>,
    sends: u32,
    failed_reads: u32,
}

impl Apply {
    /// Applies `wanted` in place of the document in force at the start.
    #[must_use]
    pub const fn new(wanted: Document) -> Self {
        let base = CurrentDocument { revision: None, document: None };
        Self { wanted, base, has_base: false, lost_response: None, sends: 0, failed_reads: 0 }
    }

    /// Applies `wanted` only if `base` is in force.
    #[must_use]
    pub const fn against(wanted: Document, base: CurrentDocument) -> Self {
        Self { wanted, base, has_base: true, lost_response: None, sends: 0, failed_reads: 0 }
    }

    /// The first step.
    #[must_use]
    pub fn start(&mut self) -> Step {
        if self.has_base { self.send() } else { Step::Read }
    }

    /// Handles the result of reading the document in force.
    #[must_use]
    pub fn on_read(&mut self, current: Result<CurrentDocument, AdminError>) -> Step {
        let current = match current {
            Ok(current) => current,
            Err(error) => return self.on_read_error(error),
        };
        if current.document.as_ref() == Some(&self.wanted) {
            return self.applied(current.revision);
        }
        if !self.has_base {
            self.base = current;
            self.has_base = true;
            return self.send();
        }
        if current.revision == self.base.revision {
            return self.send();
        }
        self.conflict(&current)
    }

    /// Handles the result of an apply request.
    #[must_use]
    pub fn on_response(&mut self, response: Result<ApplyResponse, AdminError>) -> Step {
        match response {
            Ok(ApplyResponse::Applied(revision)) => self.applied(Some(revision)),
            Ok(ApplyResponse::Conflict(current)) => self.on_conflict(current),
            Ok(ApplyResponse::Rejected(faults)) => Step::Done(Outcome::Rejected(faults)),
            Err(error) if error.may_have_run() => {
                self.lost_response = Some(error);
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
        match self.lost_response.take() {
            Some(error) => Step::Done(Outcome::Unknown(error)),
            None => self.conflict(&self.base),
        }
    }

    fn on_read_error(&mut self, error: AdminError) -> Step {
        self.failed_reads += 1;
        if self.lost_response.is_some() && self.failed_reads < MAX_FAILED_READS {
            return Step::DelayedRead;
        }
        Step::Done(self.failed(error))
    }

    fn on_conflict(&mut self, current: CurrentDocument) -> Step {
        if current.document.as_ref() == Some(&self.wanted) {
            return self.applied(current.revision);
        }
        if current.document == self.base.document {
            // Only the revision is newer; the document is still the one that was read.
            self.base = current;
            return self.send();
        }
        self.conflict(&current)
    }

    fn applied(&self, revision: Option<Revision>) -> Step {
        let changes = changes(self.base.document.as_ref(), Some(&self.wanted));
        let changes = if self.has_base { changes } else { Vec::new() };
        Step::Done(Outcome::Applied(Applied {
            revision,
            changes,
            response_lost: self.lost_response.is_some(),
        }))
    }

    fn conflict(&self, current: &CurrentDocument) -> Step {
        Step::Done(Outcome::Conflict(Conflict {
            base: self.base.revision,
            revision: current.revision,
            changes: changes(self.base.document.as_ref(), current.document.as_ref()),
            response_lost: self.lost_response.is_some(),
        }))
    }

    /// The outcome after an error: unknown if an earlier request may have taken effect.
    fn failed(&self, error: AdminError) -> Outcome {
        if self.lost_response.is_some() { Outcome::Unknown(error) } else { Outcome::Failed(error) }
    }
}

/// Changes between two documents; `None` counts as an empty document.
#[must_use]
pub fn changes(old: Option<&Document>, new: Option<&Document>) -> Vec<Change> {
    let empty = Document::default();
    diff(old.unwrap_or(&empty), new.unwrap_or(&empty))
}

/// Runs an apply until it has an outcome.
pub async fn apply(fleet: &Fleet, mut apply: Apply) -> Outcome {
    let mut step = apply.start();
    let mut sends = 0;
    loop {
        step = match step {
            Step::Read => apply.on_read(fleet.document().await),
            Step::Send(base) => {
                let request = ApplyRequest::new(base, &apply.wanted);
                let response = fleet.apply(sends, &request).await;
                sends += 1;
                apply.on_response(response)
            }
            Step::DelayedRead => {
                tokio::time::sleep(READ_BACK_DELAY).await;
                apply.on_read(fleet.document().await)
            }
            Step::Done(outcome) => return outcome,
        };
    }
}
