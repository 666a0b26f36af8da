//! What requests and crashes are known by.

use std::{collections::BTreeSet, fmt};

use oleander_core::{PromptPart, TargetId, hash, value};
use serde::{Deserialize, Serialize};

value! {
    /// One run of a target's process.
    #[derive(PartialOrd, Ord)]
    pub struct TargetRun {
        /// The target.
        pub target: TargetId,
        /// Its start in milliseconds since the Unix epoch, if stated.
        pub started: Option<u64>,
    }
}

impl TargetRun {
    /// The part that hosts clear, beside those of the requests, to say that this run goes on.
    pub(crate) fn refutation(&self) -> PromptPart {
        let started = self.started.map_or_else(String::new, |started| started.to_string());
        PromptPart(hash::hash_parts(&["run goes on", self.target.as_str(), &started]))
    }
}

/// A set of parts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartSet(pub BTreeSet<PromptPart>);

impl PartSet {
    /// The parts that are not in `others`.
    #[must_use]
    pub fn without(&self, others: &Self) -> Self {
        Self(&self.0 - &others.0)
    }

    /// Whether all parts are in `others`, and there are any.
    #[must_use]
    pub fn is_within(&self, others: &Self) -> bool {
        !self.0.is_empty() && self.0.is_subset(&others.0)
    }
}

impl fmt::Display for PartSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}

/// The parts of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestParts {
    /// Parts that other requests may share.
    pub shared: Vec<PromptPart>,
    /// The content as a whole, which only the same request has again.
    pub content: Option<PromptPart>,
    /// All parts: the shared ones and the content.
    pub all: PartSet,
}

impl RequestParts {
    /// Parts of a request with these shared parts and this hash of its whole content.
    #[must_use]
    pub fn new(shared: Vec<PromptPart>, content: u64) -> Self {
        let content = PromptPart(content);
        let all = shared.iter().copied().chain([content]).collect();
        Self { shared, content: Some(content), all: PartSet(all) }
    }
}
