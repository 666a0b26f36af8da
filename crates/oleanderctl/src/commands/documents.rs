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

/// Printed with a conflict if a response was lost.
const LOST_RESPONSE_NOTE: &str =
    "a response was lost: this document may have been in force before those changes\n";

/// JSON output of `validate`.
#[derive(Debug, Serialize)]
struct ValidateOutput<'a> {
    valid: bool,
    faults: &'a [Fault],
}

/// JSON output of `diff`.
#[derive(Debug, Serialize)]
struct DiffOutput<'a> {
    revision: Option<Revision>,
    changes: &'a [Change],
}

/// JSON output of `apply`.
#[derive(Debug, Default, Serialize)]
struct ApplyOutput<'a> {
    outcome: &'static str,
    revision: Option<Revision>,
    changes: &'a [Change],
    /// Whether a response was lost, for an applied document.
    settled: bool,
    /// Whether a response was lost, for a conflict.
    unsure: bool,
    error: Option<String>,
}

/// Lists the faults of a document, or counts its elements if it is valid.
pub(super) fn validate(file: &Path) -> Result<Report, Failure> {
    Ok(match read_document(file)? {
        Ok(document) => {
            Report::new(summary(&document), ValidateOutput { valid: true, faults: &[] })
        }
        Err(faults) => report_faults(&faults),
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

fn report_faults(faults: &[Fault]) -> Report {
    let text = format!("{}{} faults\n", to_lines(faults), faults.len());
    Report::new(text, ValidateOutput { valid: false, faults }).with_exit(Exit::Faults)
}

fn to_lines(items: &[impl ToString]) -> String {
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
        Err(faults) => return Ok(report_faults(&faults)),
    };
    let (revision, old) = match against {
        Some(file) => match read_document(file)? {
            Ok(document) => (None, Some(document)),
            Err(faults) => return Ok(report_faults(&faults)),
        },
        None => {
            let current = fleet(options)?.document().await?;
            (current.revision, current.document)
        }
    };
    let changes = apply::changes(old.as_ref(), Some(&new));
    let text = if changes.is_empty() { "no changes\n".to_owned() } else { to_lines(&changes) };
    let differs = exit_code && !changes.is_empty();
    let exit = if differs { Exit::Differs } else { Exit::Done };
    Ok(Report::new(text, DiffOutput { revision, changes: &changes }).with_exit(exit))
}

/// Applies a document.
pub(super) async fn apply(fleet: &Fleet, file: &Path) -> Result<Report, Failure> {
    let document = match read_document(file)? {
        Ok(document) => document,
        Err(faults) => return Ok(report_faults(&faults)),
    };
    match apply::apply(fleet, Apply::new(document)).await {
        Outcome::Applied(applied) => Ok(report_applied(&applied)),
        Outcome::Conflict(conflict) => Ok(report_conflict(&conflict)),
        Outcome::Rejected(faults) => Ok(report_faults(&faults)),
        Outcome::Unknown(error) => Ok(report_unknown(&error)),
        Outcome::Failed(error) => Err(error.into()),
    }
}

fn report_applied(applied: &Applied) -> Report {
    let Applied { revision, changes, response_lost } = applied;
    let head = match (changes.is_empty(), response_lost) {
        (true, _) => "in force already",
        (false, true) => "applied (a response was lost; the document was read back)",
        (false, false) => "applied",
    };
    let text = format!("{}{head}: revision {}\n", to_lines(changes), format_revision(*revision));
    let outcome = if changes.is_empty() { "unchanged" } else { "applied" };
    let (revision, settled) = (*revision, *response_lost);
    Report::new(text, ApplyOutput { outcome, revision, changes, settled, ..ApplyOutput::default() })
}

fn report_conflict(conflict: &Conflict) -> Report {
    let Conflict { base, revision, changes, response_lost } = conflict;
    let note = if *response_lost { LOST_RESPONSE_NOTE } else { "" };
    let text = format!(
        "conflict: revision {} was read, revision {} is in force; changes between them:\n{}{note}",
        format_revision(*base),
        format_revision(*revision),
        to_lines(changes),
    );
    let (revision, unsure) = (*revision, *response_lost);
    let outcome = "conflict";
    let json = ApplyOutput { outcome, revision, changes, unsure, ..ApplyOutput::default() };
    Report::new(text, json).with_exit(Exit::Conflict)
}

fn report_unknown(error: &oleanderctl::AdminError) -> Report {
    let text = format!("unknown: the change may have taken effect; apply again ({error})\n");
    let error = Some(error.to_string());
    let json = ApplyOutput { outcome: "unknown", error, ..ApplyOutput::default() };
    Report::new(text, json).with_exit(Exit::Unknown)
}

fn format_revision(revision: Option<Revision>) -> String {
    revision.map_or_else(|| "none".to_owned(), |revision| revision.to_string())
}
