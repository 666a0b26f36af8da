//! A submitted form.

use std::fmt;

use oleander_core::Revision;
use oleander_document::Document;
use oleanderctl::admin::CurrentDocument;

use crate::{Draft, DraftError};

/// Hidden field with the revision that the edit is based on.
pub(crate) const REVISION_FIELD: &str = "revision";
/// Hidden field with the document that the edit is based on, as JSON.
pub(crate) const BASE_FIELD: &str = "base";
/// Name of all buttons; the value of the pressed one encodes the [`Action`].
pub(crate) const ACTION_FIELD: &str = "action";

/// Action of the pressed button.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Action {
    /// Validate the draft and show its faults.
    Check,
    /// Validate the draft and show the changes.
    Preview,
    /// Validate the draft and put it in force.
    Apply,
    /// Append an element to the list at this path.
    Add(String),
    /// Remove the list element at this path.
    Remove(String),
}

/// A submitted form.
#[derive(Debug)]
pub(crate) struct Submission {
    pub(crate) action: Action,
    /// Document and revision that the edit is based on.
    pub(crate) base: CurrentDocument,
    pub(crate) draft: Draft,
}

/// Why a submitted form was rejected.
#[derive(Debug)]
pub(crate) enum SubmissionError {
    /// The action is unknown.
    UnknownAction(String),
    /// The hidden revision or document is invalid.
    InvalidBase,
    /// The other fields don't form a draft.
    Draft(DraftError),
}

impl TryFrom<&[(String, String)]> for Submission {
    type Error = SubmissionError;

    fn try_from(fields: &[(String, String)]) -> Result<Self, Self::Error> {
        let value = |name: &str| fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str());
        let action = Action::try_from(value(ACTION_FIELD).unwrap_or_default())?;
        let base = parse_base(value(REVISION_FIELD), value(BASE_FIELD))?;
        let draft_fields = fields.iter().filter(|(name, _)| name.starts_with('$'));
        let draft =
            Draft::from_fields(draft_fields.map(|(name, text)| (name.as_str(), text.as_str())))?;
        Ok(Self { action, base, draft })
    }
}

/// Parses the hidden fields; an empty or missing one means none.
fn parse_base(
    revision: Option<&str>,
    base: Option<&str>,
) -> Result<CurrentDocument, SubmissionError> {
    let revision: Option<Revision> = match revision {
        None | Some("") => None,
        Some(text) => Some(text.parse().map_err(|_| SubmissionError::InvalidBase)?),
    };
    let document = match base {
        None | Some("") => None,
        Some(text) => Some(Document::from_json(text.as_bytes())),
    };
    let document = document.transpose().map_err(|_| SubmissionError::InvalidBase)?;
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
            _ => Err(SubmissionError::UnknownAction(text.to_owned())),
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
            Self::UnknownAction(action) => write!(f, "unknown action {action:?}"),
            Self::InvalidBase => f.write_str("form field `revision` or `base` is invalid"),
            Self::Draft(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for SubmissionError {}
