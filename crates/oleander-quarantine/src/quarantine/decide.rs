//! Decides which parts are blocked.
//!
//! Blocked parts explain a crash if one of its suspects has all of them; the other requests that
//! were there are then no suspects of it.

use std::collections::BTreeSet;

use oleander_core::{PromptPart, Span, Time};

use super::Quarantine;
use crate::{block::Block, crash::Crash, parts::PartSet};

/// Crashes one after the other that block the parts which all of them suspect.
pub(super) const BLOCKING_CRASHES: usize = 3;
/// The same for parts that a target wrote for shortly before: many requests may have them.
const BLOCKING_CRASHES_ESTABLISHED: usize = 5;
/// Crashes within this time after the first of them count once.
pub(super) const SAME_MOMENT: Span = Span::from_millis(100);
/// Time since its first output in which a host may not know which parts are established.
const WARM_UP: Span = Span::from_millis(250);

impl Quarantine {
    /// Number of crashes, each at another moment, that suspect a part.
    pub(super) fn suspicion(&self, part: PromptPart) -> usize {
        moments(self.suspecting(part).map(|crash| crash.known_at))
    }

    /// Crashes that suspect a part and are not explained by other blocked parts.
    fn suspecting(&self, part: PromptPart) -> impl Iterator<Item = &Crash> {
        self.crashes.values().filter(move |crash| {
            crash.suspects(part)
                && !self
                    .blocked()
                    .any(|blocked| !blocked.0.contains(&part) && crash.is_explained_by(&blocked))
        })
    }

    /// The sets of parts that are blocked, or were.
    fn blocked(&self) -> impl Iterator<Item = PartSet> {
        let blocks = self.blocks.iter().filter(|(_, block)| !block.is_isolation());
        let sets = blocks.map(|(parts, block)| parts.without(&block.cleared));
        sets.filter(|parts| !parts.0.is_empty())
    }

    /// Blocks the parts that crashed targets.
    pub(super) fn decide(&mut self, now: Time) {
        self.block_again(now);
        self.isolate(now);
        loop {
            let sets = self.sets_to_block(now);
            if sets.is_empty() {
                return;
            }
            for parts in sets {
                let earlier = self.blocks.get(&parts).map_or(0, |block| block.count);
                self.begin_block(parts, Block::begin(now, earlier));
            }
        }
    }

    /// Blocks parts again that crashed a target after their block had ended.
    fn block_again(&mut self, now: Time) {
        let ended = self.blocks.iter().filter(|(parts, block)| {
            let parts = parts.without(&block.cleared);
            let is_over = !block.is_active(now) && !self.is_isolated_here(&parts, block);
            is_over
                && self
                    .crashes
                    .values()
                    .any(|crash| crash.known_at > block.ends && crash.is_explained_by(&parts))
        });
        let ended: Vec<_> = ended.map(|(parts, block)| (parts.clone(), block.clone())).collect();
        for (parts, Block { cleared, count, .. }) in ended {
            self.begin_block(parts, Block { cleared, ..Block::begin(now, count) });
        }
    }

    fn begin_block(&mut self, parts: PartSet, block: Block) {
        self.blocks.insert(parts.clone(), block);
        self.changed_blocks.insert(parts.clone());
        self.begun.insert(parts);
    }

    /// The sets of parts to block next: of nested ones the largest, which refuses the fewest requests.
    fn sets_to_block(&self, now: Time) -> Vec<PartSet> {
        let suspected: BTreeSet<PromptPart> =
            self.crashes.values().flat_map(Crash::suspected).collect();
        let sets = suspected.into_iter().filter_map(|part| self.set_to_block(now, part));
        let sets: BTreeSet<PartSet> = sets.filter(|set| !self.is_blocked(now, set)).collect();
        let is_largest = |set: &&PartSet| {
            !sets.iter().any(|other| other.0.len() > set.0.len() && set.is_within(other))
        };
        sets.iter().filter(is_largest).cloned().collect()
    }

    /// The parts to block for the crashes that suspect `part`, if these are enough.
    fn set_to_block(&self, now: Time, part: PromptPart) -> Option<PartSet> {
        match self.only_request(part) {
            Some(request) => self.is_cause(&request).then(|| self.common_parts(part)).flatten(),
            None => self.shared_set_to_block(now, part),
        }
    }

    /// The parts that all crashes which suspect `part` have in common, if these are enough.
    ///
    /// For parts that many requests may have, only crashes count that no blocked parts explain.
    fn shared_set_to_block(&self, now: Time, part: PromptPart) -> Option<PartSet> {
        let crashes: Vec<&Crash> = self.suspecting(part).collect();
        let sets = crashes.iter().map(|crash| crash.suspected_with(part));
        let common = PartSet(sets.reduce(|common, other| &common & &other)?);
        let is_new = self.first_output.is_none_or(|first| now.since(first) < WARM_UP);
        let is_established = common.0.iter().all(|part| self.is_established(now, *part));
        let open = |crash: &&&Crash| !self.blocked().any(|parts| crash.is_explained_by(&parts));
        let known_at = |crash: &&Crash| crash.known_at;
        let enough = if is_established || is_new {
            moments(crashes.iter().filter(open).map(known_at)) >= BLOCKING_CRASHES_ESTABLISHED
        } else {
            moments(crashes.iter().map(known_at)) >= BLOCKING_CRASHES
        };
        enough.then_some(common)
    }

    /// Whether all requests with these parts are blocked already.
    fn is_blocked(&self, now: Time, parts: &PartSet) -> bool {
        let active = self.blocks.iter().filter(|(_, block)| block.is_active(now));
        let mut sets = active.map(|(parts, block)| parts.without(&block.cleared));
        sets.any(|blocked| blocked.is_within(parts))
    }
}

/// Number of different moments among these times.
fn moments(times: impl Iterator<Item = Time>) -> usize {
    let mut times: Vec<Time> = times.collect();
    times.sort_unstable();
    let mut count = 0;
    let mut first = None;
    for time in times {
        if first.is_none_or(|first| time.since(first) >= SAME_MOMENT) {
            first = Some(time);
            count += 1;
        }
    }
    count
}
