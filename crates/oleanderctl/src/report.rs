//! What commands print.

use oleanderctl::AdminError;
use serde::Serialize;
use serde_json::{Value, json};

use crate::exit::Exit;

/// The result of a command, for people and for programs.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) text: String,
    pub(crate) json: Value,
    pub(crate) warnings: Vec<String>,
    pub(crate) exit: Exit,
}

impl Report {
    /// A report that a command is done.
    pub(crate) fn new(text: impl Into<String>, json: impl Serialize) -> Self {
        let json = serde_json::to_value(json).unwrap_or_default();
        Self { text: text.into(), json, warnings: Vec::new(), exit: Exit::Done }
    }

    /// The same report with another exit code.
    pub(crate) const fn exit(mut self, exit: Exit) -> Self {
        self.exit = exit;
        self
    }

    /// Adds the errors of processes that did not answer.
    pub(crate) fn missing(mut self, errors: &[AdminError]) -> Self {
        if !errors.is_empty() {
            self.exit = Exit::Partial;
        }
        self.warnings.extend(errors.iter().map(ToString::to_string));
        self
    }
}

/// Why a command has no result.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) message: String,
    pub(crate) exit: Exit,
}

impl Failure {
    pub(crate) fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self { message: message.into(), exit }
    }

    /// The failure of a change, which may have taken effect.
    pub(crate) fn of_change(error: AdminError) -> Self {
        if error.may_have_run() {
            return Self::new(Exit::Unknown, error.to_string());
        }
        error.into()
    }

    /// The failure for programs.
    pub(crate) fn to_json(&self) -> Value {
        json!({ "error": self.message })
    }
}

impl From<AdminError> for Failure {
    /// The failure of a call that changes nothing, or has changed nothing.
    fn from(error: AdminError) -> Self {
        let exit = if error.is_permanent() { Exit::Refused } else { Exit::Unavailable };
        Self::new(exit, error.to_string())
    }
}
