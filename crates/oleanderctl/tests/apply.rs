//! Decisions of an apply against a simulated store with lost answers and racing operators.

use oleander_check::properties;
use oleander_core::{ApiError, ErrorCode, Revision};
use oleander_document::Document;
use oleanderctl::{
    AdminError, Cause,
    admin::{ApplyResponse, CurrentDocument},
    apply::{Apply, Outcome, Step},
};
use quickcheck::{Arbitrary, Gen};

/// Most calls that an apply may make.
const MAX_STEPS: usize = 50;

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    LostBefore,
    LostAfter,
    Unreachable,
    RivalFirst,
    /// Another operator writes the same document anew.
    TouchFirst,
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let all = [
            Self::None,
            Self::None,
            Self::LostBefore,
            Self::LostAfter,
            Self::Unreachable,
            Self::RivalFirst,
            Self::TouchFirst,
        ];
        *g.choose(&all).expect("a fault")
    }
}

/// The store with all that was ever in force.
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

    /// Lets the other operator act.
    fn disturb(&mut self, fault: Fault) {
        let last = self.history.last().map(|(document, _)| document.clone());
        match fault {
            Fault::RivalFirst => {
                self.concurrent_changes += 1;
                self.history.push((document(&format!("rival-{}", self.concurrent_changes)), false));
            }
            Fault::TouchFirst => self.history.extend(last.map(|document| (document, false))),
            _ => {}
        }
    }

    fn read(&mut self, fault: Fault) -> Result<CurrentDocument, AdminError> {
        self.disturb(fault);
        match fault {
            Fault::LostBefore | Fault::LostAfter => Err(lost()),
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
        self.disturb(fault);
        match fault {
            Fault::LostBefore => return Err(lost()),
            Fault::Unreachable => return Err(unreachable()),
            _ if base != self.revision() => return Ok(ApplyResponse::Conflict(self.current())),
            _ => self.history.push((wanted.clone(), true)),
        }
        if fault == Fault::LostAfter {
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
    let reason = ApiError::unknown(ErrorCode::Unavailable, "lost");
    error(Cause::ErrorResponse { status: 503, error: Some(reason) })
}

fn unreachable() -> AdminError {
    error(Cause::Unreachable("closed".to_owned()))
}

/// How a run ended and the document that it was decided against.
struct Run {
    outcome: Outcome,
    base: Option<Document>,
}

/// Runs an apply to its end; `None` if it takes more steps than it may.
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

/// Whether our write, if there is one, stands right after the document `base`.
fn replaces_only(history: &[(Document, bool)], base: Option<&Document>) -> bool {
    let Some(at) = history.iter().position(|(_, ours)| *ours) else { return true };
    let before = at.checked_sub(1).map(|before| &history[before].0);
    before == base
}

properties! {
    fn outcomes_are_true_and_nothing_unseen_is_replaced(first: bool, faults: Vec<Fault>) -> bool {
        let history = if first { vec![(document("first"), false)] } else { Vec::new() };
        let mut store = Store { history, concurrent_changes: 0 };
        let wanted = document("wanted");
        let Some(Run { outcome, base }) = run(&mut store, &wanted, &faults) else { return false };
        let ours = store.history.iter().filter(|(_, ours)| *ours).count();
        let honest = match outcome {
            Outcome::Applied(_) => ours == 1,
            Outcome::Conflict(conflict) => {
                store.current().document != Some(wanted) && (conflict.response_lost || ours == 0)
            }
            Outcome::Failed(_) => ours == 0,
            Outcome::Unknown(_) => true,
            Outcome::Rejected(_) => false,
        };
        honest && ours <= 1 && replaces_only(&store.history, base.as_ref())
    }

    fn lost_answers_alone_end_as_applied(faults: Vec<bool>) -> bool {
        let mut store = Store { history: Vec::new(), concurrent_changes: 0 };
        let faults = faults.iter().take(2);
        let faults = faults.map(|after| if *after { Fault::LostAfter } else { Fault::LostBefore });
        let faults: Vec<Fault> = std::iter::once(Fault::None).chain(faults).collect();
        let Some(run) = run(&mut store, &document("wanted"), &faults) else { return false };
        matches!(run.outcome, Outcome::Applied(_)) && store.history.len() == 1
    }
}
