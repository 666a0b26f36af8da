//! Runs the apply state machine against a simulated store that loses requests and responses and
//! takes writes of another operator.

use oleander_check::properties;
use oleander_core::{ApiError, ErrorCode, Revision};
use oleander_document::Document;
use oleanderctl::{
    AdminError, Cause,
    admin::{ApplyResponse, CurrentDocument},
    apply::{Apply, Outcome, Step},
};
use quickcheck::{Arbitrary, Gen};

/// Largest number of steps of an apply.
const MAX_STEPS: usize = 50;

/// Fault injected into one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The request is lost.
    RequestLost,
    /// The request takes effect, but its response is lost.
    ResponseLost,
    Unreachable,
    /// Another operator writes another document first.
    ConcurrentChange,
    /// Another operator writes the same document first, as a new revision.
    ConcurrentRewrite,
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let all = [
            Self::None,
            Self::None,
            Self::RequestLost,
            Self::ResponseLost,
            Self::Unreachable,
            Self::ConcurrentChange,
            Self::ConcurrentRewrite,
        ];
        *g.choose(&all).expect("a fault")
    }
}

/// Store with all revisions; the flag marks those written by the apply under test.
struct Store {
    history: Vec<(Document, bool)>,
    concurrent_changes: u32,
}

impl Store {
    fn current(&self) -> CurrentDocument {
        CurrentDocument {
            revision: self.revision(),
            document: self.history.last().map(|(document, _)| document.clone()),
        }
    }

    fn revision(&self) -> Option<Revision> {
        let revision = self.history.len() as u64;
        (revision > 0).then_some(Revision(revision))
    }

    /// Makes the other operator's write, if `fault` has one.
    fn apply_concurrent_write(&mut self, fault: Fault) {
        let last = self.history.last().map(|(document, _)| document.clone());
        match fault {
            Fault::ConcurrentChange => {
                self.concurrent_changes += 1;
                self.history.push((document(&format!("other-{}", self.concurrent_changes)), false));
            }
            Fault::ConcurrentRewrite => self.history.extend(last.map(|document| (document, false))),
            _ => {}
        }
    }

    fn read(&mut self, fault: Fault) -> Result<CurrentDocument, AdminError> {
        self.apply_concurrent_write(fault);
        match fault {
            Fault::RequestLost | Fault::ResponseLost => Err(lost()),
            Fault::Unreachable => Err(unreachable()),
            _ => Ok(self.current()),
        }
    }

    fn write(
        &mut self,
        base: Option<Revision>,
        wanted: &Document,
        fault: Fault,
    ) -> Result<ApplyResponse, AdminError> {
        self.apply_concurrent_write(fault);
        match fault {
            Fault::RequestLost => return Err(lost()),
            Fault::Unreachable => return Err(unreachable()),
            _ if base != self.revision() => return Ok(ApplyResponse::Conflict(self.current())),
            _ => self.history.push((wanted.clone(), true)),
        }
        if fault == Fault::ResponseLost {
            return Err(lost());
        }
        Ok(ApplyResponse::Applied(Revision(self.history.len() as u64)))
    }
}

fn document(zone: &str) -> Document {
    Document { zones: vec![zone.parse().expect("a zone")], ..Document::default() }
}

fn error(cause: Cause) -> AdminError {
    AdminError { address: ([127, 0, 0, 1], 1).into(), cause }
}

fn lost() -> AdminError {
    let reason = ApiError::may_have_run(ErrorCode::Unavailable, "lost");
    error(Cause::ErrorResponse { status: 503, error: Some(reason) })
}

fn unreachable() -> AdminError {
    error(Cause::Unreachable("closed".to_owned()))
}

/// Outcome of a run, and the document that its first read returned.
struct Run {
    outcome: Outcome,
    base: Option<Document>,
}

/// Runs an apply until it has an outcome; `None` if it takes more than `MAX_STEPS` steps.
fn run(store: &mut Store, wanted: &Document, faults: &[Fault]) -> Option<Run> {
    let mut apply = Apply::new(wanted.clone());
    let mut step = apply.start();
    let mut base = None;
    for fault in faults.iter().copied().chain(std::iter::repeat(Fault::None)).take(MAX_STEPS) {
        step = match step {
            Step::Read => {
                let current = store.read(fault);
                base = current.as_ref().ok().and_then(|current| current.document.clone());
                apply.on_read(current)
            }
            Step::DelayedRead => apply.on_read(store.read(fault)),
            Step::Send(base) => apply.on_response(store.write(base, wanted, fault)),
            Step::Done(outcome) => return Some(Run { outcome, base }),
        };
    }
    None
}

/// Whether the write of the apply under test, if there is one, directly follows `base`.
fn replaces_only_base(history: &[(Document, bool)], base: Option<&Document>) -> bool {
    let Some(position) = history.iter().position(|(_, ours)| *ours) else { return true };
    let before = position.checked_sub(1).map(|before| &history[before].0);
    before == base
}

properties! {
    fn outcomes_are_accurate_and_only_base_is_replaced(first: bool, faults: Vec<Fault>) -> bool {
        let history = if first { vec![(document("first"), false)] } else { Vec::new() };
        let mut store = Store { history, concurrent_changes: 0 };
        let wanted = document("wanted");
        let Some(Run { outcome, base }) = run(&mut store, &wanted, &faults) else { return false };
        let ours = store.history.iter().filter(|(_, ours)| *ours).count();
        let matches_store = match outcome {
            Outcome::Applied(_) => ours == 1,
            Outcome::Conflict(conflict) => {
                store.current().document != Some(wanted) && (conflict.response_lost || ours == 0)
            }
            Outcome::Failed(_) => ours == 0,
            Outcome::Unknown(_) => true,
            Outcome::Rejected(_) => false,
        };
        matches_store && ours <= 1 && replaces_only_base(&store.history, base.as_ref())
    }

    fn apply_succeeds_despite_lost_requests_and_responses(faults: Vec<bool>) -> bool {
        let mut store = Store { history: Vec::new(), concurrent_changes: 0 };
        let faults = faults.iter().take(2);
        let faults = faults.map(|ran| if *ran { Fault::ResponseLost } else { Fault::RequestLost });
        let faults: Vec<Fault> = std::iter::once(Fault::None).chain(faults).collect();
        let Some(run) = run(&mut store, &document("wanted"), &faults) else { return false };
        matches!(run.outcome, Outcome::Applied(_)) && store.history.len() == 1
    }
}
