//! The prefix cache: blocks of prompts in limited memory, the least recently used go first.
//!
//! Prompts are counted in bytes: four bytes are a token, [`BLOCK_BYTES`] a block. The hash of a
//! block covers the whole prefix up to its end.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use oleander_core::hash;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Tokens in a cached block.
pub const BLOCK_TOKENS: u64 = 16;
/// Prompt bytes in a cached block.
pub const BLOCK_BYTES: usize = 64;
const EVENTS_KEPT: usize = 10_000;
const EVENTS_PER_ANSWER: usize = 1_000;

/// A block was stored or evicted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the stream of events.
    pub sequence: u64,
    /// Whether the block was stored, else evicted.
    pub stored: bool,
    /// Hash of the prefix up to the end of the block, in hex.
    pub prefix_hash: String,
}

/// The answer to `GET /v1/cache_events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventList {
    /// Events in order, with gaps.
    pub events: Vec<CacheEvent>,
    /// Value of `after` for the next call.
    pub next: u64,
}

/// Hashes of all whole blocks of a prompt, shortest prefix first.
#[must_use]
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut chained = 0_u64;
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    let hashes = blocks.map(|block| {
        let block = hash::digest(block);
        chained = hash::hash_parts(&[&chained.to_string(), block.as_str()]);
        chained
    });
    hashes.collect()
}

#[derive(Debug)]
struct DatedEvent {
    at: Instant,
    event: CacheEvent,
}

#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    used_at: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    events: VecDeque<DatedEvent>,
    sequence: u64,
    gap: u64,
}

impl PrefixCache {
    pub(super) fn new(gap: u64) -> Self {
        Self { gap, ..Self::default() }
    }

    /// Tokens of the longest cached prefix.
    pub(super) fn cached_tokens(&self, hashes: &[u64]) -> u64 {
        let blocks = hashes.iter().take_while(|hash| self.used_at.contains_key(hash)).count();
        blocks as u64 * BLOCK_TOKENS
    }

    /// Stores the blocks of a prompt, or marks them used.
    pub(super) fn store(&mut self, hashes: &[u64], now: Instant) {
        // The longest prefix is the oldest use, so that it goes before the ones it builds on.
        for &hash in hashes.iter().rev() {
            self.uses += 1;
            match self.used_at.insert(hash, self.uses) {
                Some(before) => {
                    self.by_use.remove(&before);
                }
                None => self.log_event(hash, true, now),
            }
            self.by_use.insert(self.uses, hash);
        }
    }

    /// Evicts blocks until at most `tokens` are held.
    pub(super) fn shrink(&mut self, tokens: u64, now: Instant) {
        while self.used_at.len() as u64 * BLOCK_TOKENS > tokens {
            let Some((_, hash)) = self.by_use.pop_first() else {
                return;
            };
            self.used_at.remove(&hash);
            self.log_event(hash, false, now);
        }
    }

    /// Events after `after` that are at least `lag` old.
    pub(super) fn events_after(&self, after: u64, lag: Duration, now: Instant) -> CacheEventList {
        let visible = self.events.iter().take_while(|dated| dated.at + lag <= now);
        let wanted = visible.filter(|dated| dated.event.sequence > after);
        let events: Vec<CacheEvent> =
            wanted.take(EVENTS_PER_ANSWER).map(|dated| dated.event.clone()).collect();
        let next = events.last().map_or(after, |event| event.sequence);
        CacheEventList { events, next }
    }

    fn log_event(&mut self, hash: u64, stored: bool, now: Instant) {
        self.sequence += 1;
        if self.gap > 0 && self.sequence.is_multiple_of(self.gap) {
            return;
        }
        if self.events.len() == EVENTS_KEPT {
            self.events.pop_front();
        }
        let prefix_hash = format!("{hash:016x}");
        let event = CacheEvent { sequence: self.sequence, stored, prefix_hash };
        self.events.push_back(DatedEvent { at: now, event });
    }
}
