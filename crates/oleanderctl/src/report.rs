//! Output of the commands.

use oleanderctl::AdminError;
use serde::Serialize;
use serde_json::{Value, json};

use crate::exit::Exit;

/// Result of a command, as text and as JSON.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) text: String,
    pub(crate) json: Value,
    pub(crate) warnings: Vec<String>,
    pub(crate) exit: Exit,
}

impl Report {
    /// A report with exit code 0.
    pub(crate) fn new(text: impl Into<String>, json: impl Serialize) -> Self {
        let json = serde_json::to_value(json).unwrap_or_default();
        Self { text: text.into(), json, warnings: Vec::new(), exit: Exit::Done }
    }

    /// Sets the exit code.
    pub(crate) const fn with_exit(mut self, exit: Exit) -> Self {
        self.exit = exit;
        self
    }

    /// Adds a warning for each error; with at least one, the exit code is [`Exit::Partial`].
    pub(crate) fn with_errors(mut self, errors: &[AdminError]) -> Self {
        if !errors.is_empty() {
            self.exit = Exit::Partial;
        }
        self.warnings.extend(errors.iter().map(ToString::to_string));
        self
    }
}

/// Error that ends a command.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) message: String,
    pub(crate) exit: Exit,
}

impl Failure {
    pub(crate) fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self { message: message.into(), exit }
    }

    /// The failure of a call that changes state: unknown if the change may have taken effect.
    pub(crate) fn from_change(error: AdminError) -> Self {
        if error.may_have_run() {
            return Self::new(Exit::Unknown, error.to_string());
        }
        error.into()
    }

    /// The failure as JSON.
    pub(crate) fn to_json(&self) -> Value {
        json!({ "error": self.message })
    }
}

impl From<AdminError> for Failure {
    /// The failure of a call that changed nothing.
    fn from(error: AdminError) -> Self {
        let exit = if error.is_permanent() { Exit::Refused } else { Exit::Unavailable };
        Self::new(exit, error.to_string())
    }
}
