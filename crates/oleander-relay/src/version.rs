//! Versions of the targets' software.

use std::{fmt, str::FromStr};

use oleander_quarantine::TargetRun;
use serde::{Deserialize, Serialize};

/// A version of a target's software; versions have no order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SoftwareVersion(String);

/// Begin of the name that stands for a version that is not known. Names of this kind differ by the run,
/// so that nothing counts as written by the same version.
const UNLISTED: &str = "unlisted ";

impl SoftwareVersion {
    /// Stands for the version of a run that has followed `ended`, and is not listed yet.
    pub(crate) fn unlisted(ended: &TargetRun) -> Self {
        let started = ended.started.unwrap_or(0);
        Self(format!("{UNLISTED}{} {started}", ended.target))
    }

    /// Whether it stands for a version that is not known.
    pub(crate) fn is_unlisted(&self) -> bool {
        self.0.starts_with(UNLISTED)
    }
}

/// A target states no version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EmptyVersion;

impl fmt::Display for EmptyVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("software version is empty")
    }
}

impl std::error::Error for EmptyVersion {}

impl TryFrom<String> for SoftwareVersion {
    type Error = EmptyVersion;

    fn try_from(text: String) -> Result<Self, EmptyVersion> {
        if text.is_empty() { Err(EmptyVersion) } else { Ok(Self(text)) }
    }
}

impl FromStr for SoftwareVersion {
    type Err = EmptyVersion;

    fn from_str(text: &str) -> Result<Self, EmptyVersion> {
        Self::try_from(text.to_owned())
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> Self {
        version.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
