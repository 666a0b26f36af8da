//! Prefix cache: blocks of prompts in limited memory, with LRU eviction.
//!
//! Four bytes of a prompt count as a token, and [`BLOCK_BYTES`] as a block. The hash of a block
//! covers the prefix of the prompt up to the end of the block.

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
const MAX_EVENTS: usize = 10_000;
const MAX_EVENTS_PER_RESPONSE: usize = 1_000;

/// Insertion or eviction of a block.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event.
    pub sequence: u64,
    /// Whether the block was stored; false if it was evicted.
    pub stored: bool,
    /// Hash of the prefix up to the end of the block, in hex.
    pub prefix_hash: String,
}

/// Response to `GET /v1/cache_events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventList {
    /// Events in order; some may be missing, see [`Options::cache_gap`](super::Options).
    pub events: Vec<CacheEvent>,
    /// Value of `after` for the next request.
    pub next: u64,
}

/// Hashes of all complete blocks of a prompt, shortest prefix first.
#[must_use]
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut prefix_hash = 0_u64;
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    let hashes = blocks.map(|block| {
        let block = hash::digest(block);
        prefix_hash = hash::hash_parts(&[&prefix_hash.to_string(), block.as_str()]);
        prefix_hash
    });
    hashes.collect()
}

#[derive(Debug)]
struct TimedEvent {
    at: Instant,
    event: CacheEvent,
}

#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    /// Last use by block hash; uses are numbered consecutively.
    last_uses: HashMap<u64, u64>,
    /// Block hashes by last use.
    by_last_use: BTreeMap<u64, u64>,
    use_count: u64,
    events: VecDeque<TimedEvent>,
    sequence: u64,
    omit_every: u64,
}

impl PrefixCache {
    pub(super) fn new(omit_every: u64) -> Self {
        Self { omit_every, ..Self::default() }
    }

    /// Number of tokens in the longest cached prefix.
    pub(super) fn cached_tokens(&self, hashes: &[u64]) -> u64 {
        let blocks = hashes.iter().take_while(|hash| self.last_uses.contains_key(hash)).count();
        blocks as u64 * BLOCK_TOKENS
    }

    /// Inserts the blocks of a prompt, or marks them as used.
    pub(super) fn insert(&mut self, hashes: &[u64], now: Instant) {
        // Reverse order: a block must be evicted before the shorter prefixes that it depends on.
        for &hash in hashes.iter().rev() {
            self.use_count += 1;
            match self.last_uses.insert(hash, self.use_count) {
                Some(previous) => {
                    self.by_last_use.remove(&previous);
                }
                None => self.record_event(hash, true, now),
            }
            self.by_last_use.insert(self.use_count, hash);
        }
    }

    /// Evicts blocks until at most `tokens` are cached.
    pub(super) fn evict_to(&mut self, tokens: u64, now: Instant) {
        while self.last_uses.len() as u64 * BLOCK_TOKENS > tokens {
            let Some((_, hash)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_uses.remove(&hash);
            self.record_event(hash, false, now);
        }
    }

    /// Events after sequence number `after` that are at least `lag` old.
    pub(super) fn events_after(&self, after: u64, lag: Duration, now: Instant) -> CacheEventList {
        let visible = self.events.iter().take_while(|timed| timed.at + lag <= now);
        let matching = visible.filter(|timed| timed.event.sequence > after);
        let events: Vec<CacheEvent> =
            matching.take(MAX_EVENTS_PER_RESPONSE).map(|timed| timed.event.clone()).collect();
        let next = events.last().map_or(after, |event| event.sequence);
        CacheEventList { events, next }
    }

    fn record_event(&mut self, hash: u64, stored: bool, now: Instant) {
        self.sequence += 1;
        if self.omit_every > 0 && self.sequence.is_multiple_of(self.omit_every) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let prefix_hash = format!("{hash:016x}");
        let event = CacheEvent { sequence: self.sequence, stored, prefix_hash };
        self.events.push_back(TimedEvent { at: now, event });
    }
}
