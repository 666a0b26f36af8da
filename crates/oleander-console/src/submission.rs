//! A submitted form.

use std::fmt;

use oleander_core::Revision;
use oleander_document::Document;
use oleanderctl::admin::CurrentDocument;

use crate::{Draft, DraftError};

/// Field with the revision that was read.
pub(crate) const REVISION: &str = "revision";
/// Field with the document that was read.
pub(crate) const BASE: &str = "base";
/// Field of the pressed button.
pub(crate) const ACTION: &str = "action";

/// What the operator asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Action {
    /// Show faults.
    Check,
    /// Show faults and changes.
    Preview,
    /// Put the document in force.
    Apply,
    /// Add an element to the list at this path.
    Add(String),
    /// Remove the element at this path.
    Remove(String),
}

/// A submitted form.
#[derive(Debug)]
pub(crate) struct Submission {
    pub(crate) action: Action,
    pub(crate) base: CurrentDocument,
    pub(crate) draft: Draft,
}

/// Why a form can't be read.
#[derive(Debug)]
pub(crate) enum SubmissionError {
    /// The button is unknown.
    BadAction(String),
    /// The revision or document that was read is broken.
    BadBase,
    /// The fields are no draft.
    Draft(DraftError),
}

impl TryFrom<&[(String, String)]> for Submission {
    type Error = SubmissionError;

    fn try_from(fields: &[(String, String)]) -> Result<Self, Self::Error> {
        let value = |name: &str| fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str());
        let action = Action::try_from(value(ACTION).unwrap_or_default())?;
        let base = read_base(value(REVISION), value(BASE))?;
        let places = fields.iter().filter(|(name, _)| name.starts_with('$'));
        let draft = Draft::from_fields(places.map(|(name, text)| (name.as_str(), text.as_str())))?;
        Ok(Self { action, base, draft })
    }
}

fn read_base(
    revision: Option<&str>,
    base: Option<&str>,
) -> Result<CurrentDocument, SubmissionError> {
    let revision: Option<Revision> = match revision {
        None | Some("") => None,
        Some(text) => Some(text.parse().map_err(|_| SubmissionError::BadBase)?),
    };
    let document = match base {
        None | Some("") => None,
        Some(text) => Some(Document::from_json(text.as_bytes())),
    };
    let document = document.transpose().map_err(|_| SubmissionError::BadBase)?;
    Ok(CurrentDocument { revision, document })
}

impl TryFrom<&str> for Action {
    type Error = SubmissionError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        match text.split_once(' ').unwrap_or((text, "")) {
            ("check", "") => Ok(Self::Check),
            ("preview", "") => Ok(Self::Preview),
            ("apply", "") => Ok(Self::Apply),
            ("add", path) => Ok(Self::Add(path.to_owned())),
            ("remove", path) => Ok(Self::Remove(path.to_owned())),
            _ => Err(SubmissionError::BadAction(text.to_owned())),
        }
    }
}

impl From<DraftError> for SubmissionError {
    fn from(error: DraftError) -> Self {
        Self::Draft(error)
    }
}

impl fmt::Display for SubmissionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadAction(action) => write!(f, "unknown action {action:?}"),
            Self::BadBase => f.write_str("the form lost the document that was read"),
            Self::Draft(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for SubmissionError {}
