//! Which targets are likely to have a prompt prefix in their cache.
//!
//! Entries come from this host's own requests and from the targets' cache events. They are hints:
//! events arrive late and some are lost. Memory is bounded by two generations of entries: when the
//! young generation is full, it replaces the old one, and each use of an entry moves it to the
//! young generation.

use std::{collections::HashMap, mem};

/// Maximum number of targets kept for one prefix.
const MAX_TARGETS: usize = 4;

/// Stable number of a target within one router.
pub(crate) type TargetKey = u32;

/// A bounded map from prefixes to targets.
#[derive(Debug, Clone)]
pub struct PrefixIndex {
    young: HashMap<u64, Vec<TargetKey>>,
    old: HashMap<u64, Vec<TargetKey>>,
    generation_size: usize,
}

impl PrefixIndex {
    /// Default maximum number of prefixes in one generation.
    pub const GENERATION_SIZE: usize = 16_384;

    /// Creates an empty index of two generations with at most `generation_size` prefixes each.
    #[must_use]
    pub fn new(generation_size: usize) -> Self {
        Self { young: HashMap::new(), old: HashMap::new(), generation_size: generation_size.max(1) }
    }

    /// Records that `target` has `prefix` in its cache.
    pub fn insert(&mut self, prefix: u64, target: TargetKey) {
        let targets = self.touch(prefix);
        targets.retain(|known| *known != target);
        targets.truncate(MAX_TARGETS - 1);
        targets.insert(0, target);
    }

    /// Records that `target` no longer has `prefix` in its cache.
    pub fn remove(&mut self, prefix: u64, target: TargetKey) {
        for generation in [&mut self.young, &mut self.old] {
            if let Some(targets) = generation.get_mut(&prefix) {
                targets.retain(|known| *known != target);
            }
        }
    }

    /// Targets that may have `prefix` in their caches, most recent first.
    #[must_use]
    pub fn targets(&self, prefix: u64) -> &[TargetKey] {
        let found = self.young.get(&prefix).or_else(|| self.old.get(&prefix));
        found.map_or(&[], Vec::as_slice)
    }

    /// Number of prefixes in the index.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether the index has no prefixes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.young.is_empty() && self.old.is_empty()
    }

    /// The entry of `prefix`, moved to the young generation or created there.
    fn touch(&mut self, prefix: u64) -> &mut Vec<TargetKey> {
        let known = self.old.remove(&prefix);
        if !self.young.contains_key(&prefix) && self.young.len() >= self.generation_size {
            self.old = mem::take(&mut self.young);
        }
        let entry = self.young.entry(prefix).or_default();
        if let Some(known) = known.filter(|_| entry.is_empty()) {
            *entry = known;
        }
        entry
    }
}

impl Default for PrefixIndex {
    fn default() -> Self {
        Self::new(Self::GENERATION_SIZE)
    }
}
