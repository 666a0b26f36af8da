//! Which targets are likely to have a prompt prefix in their cache.
//!
//! Entries come from own sends and from the targets' cache events. They are hints: events come
//! late and with gaps. Memory is bounded by two generations of entries; the older one goes when
//! the younger one is full, and a use moves an entry to the younger one.

use std::{collections::HashMap, mem};

/// Most targets remembered for one prefix.
const TARGETS: usize = 4;

/// Stable number of a target within one router.
pub(crate) type TargetKey = u32;

/// A bounded map from prefixes to targets.
#[derive(Debug, Clone)]
pub struct PrefixIndex {
    young: HashMap<u64, Vec<TargetKey>>,
    old: HashMap<u64, Vec<TargetKey>>,
    generation: usize,
}

impl PrefixIndex {
    /// Prefixes in one generation.
    pub const GENERATION_SIZE: usize = 16_384;

    /// An empty index with `generation` prefixes in each of two generations.
    #[must_use]
    pub fn new(generation: usize) -> Self {
        Self { young: HashMap::new(), old: HashMap::new(), generation: generation.max(1) }
    }

    /// Remembers that `target` has `prefix`.
    pub fn insert(&mut self, prefix: u64, target: TargetKey) {
        let targets = self.touch(prefix);
        targets.retain(|known| *known != target);
        targets.truncate(TARGETS - 1);
        targets.insert(0, target);
    }

    /// Forgets that `target` has `prefix`.
    pub fn remove(&mut self, prefix: u64, target: TargetKey) {
        for generation in [&mut self.young, &mut self.old] {
            if let Some(targets) = generation.get_mut(&prefix) {
                targets.retain(|known| *known != target);
            }
        }
    }

    /// Targets that may have `prefix`, the latest first.
    #[must_use]
    pub fn targets(&self, prefix: u64) -> &[TargetKey] {
        let found = self.young.get(&prefix).or_else(|| self.old.get(&prefix));
        found.map_or(&[], Vec::as_slice)
    }

    /// Number of prefixes held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether no prefix is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.young.is_empty() && self.old.is_empty()
    }

    fn touch(&mut self, prefix: u64) -> &mut Vec<TargetKey> {
        let known = self.old.remove(&prefix);
        if !self.young.contains_key(&prefix) && self.young.len() >= self.generation {
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
