//! Commands on documents.

use std::path::Path;

use oleander_core::Revision;
use oleander_document::{Change, Document, Fault};
use oleanderctl::{
    Fleet,
    apply::{self, Applied, Apply, Conflict, Outcome},
};
use serde::Serialize;

use super::{fleet, read_document};
use crate::{
    cli::Options,
    exit::Exit,
    report::{Failure, Report},
};

/// Added to a conflict after a lost answer.
const UNSURE_NOTE: &str = "an answer was lost: this document may have been in force before that\n";

/// Outcome of `validate`, for programs.
#[derive(Debug, Serialize)]
struct Validation<'a> {
    valid: bool,
    faults: &'a [Fault],
}

/// Outcome of `diff`, for programs.
#[derive(Debug, Serialize)]
struct Difference<'a> {
    revision: Option<Revision>,
    changes: &'a [Change],
}

/// Outcome of `apply`, for programs.
#[derive(Debug, Default, Serialize)]
struct Application<'a> {
    outcome: &'static str,
    revision: Option<Revision>,
    changes: &'a [Change],
    settled: bool,
    unsure: bool,
    error: Option<String>,
}

/// Lists the faults of a document.
pub(super) fn validate(file: &Path) -> Result<Report, Failure> {
    Ok(match read_document(file)? {
        Ok(document) => Report::new(summary(&document), Validation { valid: true, faults: &[] }),
        Err(faults) => faulty(&faults),
    })
}

fn summary(document: &Document) -> String {
    let targets: usize = document.services.iter().map(|service| service.targets.len()).sum();
    format!(
        "valid: {} zones, {} services, {targets} targets, {} workspaces\n",
        document.zones.len(),
        document.services.len(),
        document.workspaces.len(),
    )
}

fn faulty(faults: &[Fault]) -> Report {
    let text = format!("{}{} faults\n", lines(faults), faults.len());
    Report::new(text, Validation { valid: false, faults }).exit(Exit::Faults)
}

fn lines(items: &[impl ToString]) -> String {
    items.iter().map(|item| item.to_string() + "\n").collect()
}

/// Shows what a document would change.
pub(super) async fn diff(
    options: &Options,
    file: &Path,
    against: Option<&Path>,
    exit_code: bool,
) -> Result<Report, Failure> {
    let new = match read_document(file)? {
        Ok(document) => document,
        Err(faults) => return Ok(faulty(&faults)),
    };
    let (revision, old) = match against {
        Some(file) => match read_document(file)? {
            Ok(document) => (None, Some(document)),
            Err(faults) => return Ok(faulty(&faults)),
        },
        None => {
            let current = fleet(options)?.document().await?;
            (current.revision, current.document)
        }
    };
    let changes = apply::changes(old.as_ref(), Some(&new));
    let text = if changes.is_empty() { "no changes\n".to_owned() } else { lines(&changes) };
    let differs = exit_code && !changes.is_empty();
    let exit = if differs { Exit::Differs } else { Exit::Done };
    Ok(Report::new(text, Difference { revision, changes: &changes }).exit(exit))
}

/// Puts a document in force.
pub(super) async fn apply(fleet: &Fleet, file: &Path) -> Result<Report, Failure> {
    let document = match read_document(file)? {
        Ok(document) => document,
        Err(faults) => return Ok(faulty(&faults)),
    };
    match apply::apply(fleet, Apply::new(document)).await {
        Outcome::Applied(applied) => Ok(report_applied(&applied)),
        Outcome::Conflict(conflict) => Ok(report_conflict(&conflict)),
        Outcome::Rejected(faults) => Ok(faulty(&faults)),
        Outcome::Unknown(error) => Ok(report_unknown(&error)),
        Outcome::Failed(error) => Err(error.into()),
    }
}

fn report_applied(applied: &Applied) -> Report {
    let Applied { revision, changes, response_lost } = applied;
    let head = match (changes.is_empty(), response_lost) {
        (true, _) => "in force already",
        (false, true) => "applied (an answer was lost; read back)",
        (false, false) => "applied",
    };
    let text = format!("{}{head}: revision {}\n", lines(changes), show_revision(*revision));
    let outcome = if changes.is_empty() { "unchanged" } else { "applied" };
    let (revision, settled) = (*revision, *response_lost);
    Report::new(text, Application { outcome, revision, changes, settled, ..Application::default() })
}

fn report_conflict(conflict: &Conflict) -> Report {
    let Conflict { base, revision, changes, response_lost } = conflict;
    let note = if *response_lost { UNSURE_NOTE } else { "" };
    let text = format!(
        "conflict: revision {} was read, revision {} is in force; the change that won:\n{}{note}",
        show_revision(*base),
        show_revision(*revision),
        lines(changes),
    );
    let (revision, unsure) = (*revision, *response_lost);
    let outcome = "conflict";
    let json = Application { outcome, revision, changes, unsure, ..Application::default() };
    Report::new(text, json).exit(Exit::Conflict)
}

fn report_unknown(error: &oleanderctl::AdminError) -> Report {
    let text = format!("unknown: the change may have taken effect; apply again ({error})\n");
    let error = Some(error.to_string());
    let json = Application { outcome: "unknown", error, ..Application::default() };
    Report::new(text, json).exit(Exit::Unknown)
}

fn show_revision(revision: Option<Revision>) -> String {
    revision.map_or_else(|| "none".to_owned(), |revision| revision.to_string())
}
