//! Exit codes.

/// Outcome of a command, as an exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done,
    /// The document has faults.
    Faults,
    /// The arguments are wrong; `clap` uses the same code.
    Usage,
    /// Another change was applied first.
    Conflict,
    /// No process could serve the call; nothing was changed.
    Unavailable,
    /// Some processes did not respond.
    Partial,
    /// A process rejected the call, or no host or job has the given name.
    Refused,
    /// The change may or may not have taken effect.
    Unknown,
    /// A file can't be read.
    Unreadable,
    /// The documents differ (`diff --exit-code`).
    Differs,
}

/// Exit codes in the help text; the operators' handbook has the same list.
pub(crate) const HELP: &str = "\
Exit codes:
  0  done
  1  the document has faults
  2  wrong usage
  3  conflict: another change came first
  4  unavailable: no process could answer; nothing was changed
  5  partial: some processes did not answer
  6  refused, or nothing has the given name
  7  unknown: the change may or may not have taken effect
  8  a file can't be read
  9  the documents differ (diff --exit-code)";

impl Exit {
    /// Numeric exit code.
    pub(crate) const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Faults => 1,
            Self::Usage => 2,
            Self::Conflict => 3,
            Self::Unavailable => 4,
            Self::Partial => 5,
            Self::Refused => 6,
            Self::Unknown => 7,
            Self::Unreadable => 8,
            Self::Differs => 9,
        }
    }
}
