//! Exit codes.

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Exit {
    /// Done.
    Done,
    /// The document has faults.
    Faults,
    /// Wrong usage; also the code of the command line parser.
    Usage,
    /// Another operator's change came first.
    Conflict,
    /// No process could answer; nothing was changed.
    Unavailable,
    /// Some processes did not answer.
    Partial,
    /// A process refused, or nothing has the given name.
    Refused,
    /// The change may or may not have taken effect.
    Unknown,
    /// A file can't be read.
    Unreadable,
    /// The documents differ (`diff --exit-code`).
    Differs,
}

/// The codes as the help shows them.
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
    /// The code of the process.
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
