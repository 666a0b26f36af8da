//! Requests that come again: a whole request that was at several crashed targets.
//!
//! Such a request may have been there by chance, and nobody else's output clears its content. So it
//! goes on alone, one at a time, and is blocked once another target crashes under it. It is no proof
//! if another request of the same kind was there too, which then may be the cause.

use std::collections::BTreeSet;

use oleander_core::{PromptPart, Time};

use super::{Quarantine, decide::SAME_MOMENT};
use crate::{block::Block, crash::Crash, parts::PartSet};

/// Crashed targets that had a request after which it only runs alone.
pub(super) const ISOLATING_CRASHES: usize = 3;
/// Crashed targets that had a request after which it is blocked, whatever else was there.
const BLOCKING_CRASHES: usize = 6;

impl Quarantine {
    /// Number of crashes, also at one moment, that suspect a part.
    pub(super) fn crashes_with(&self, part: PromptPart) -> usize {
        self.crashes.values().filter(|crash| crash.suspects(part)).count()
    }

    /// The request with `part` at crashed targets, if all of them had the same one.
    pub(super) fn only_request(&self, part: PromptPart) -> Option<PartSet> {
        let crashes = self.crashes.values().filter(|crash| crash.suspects(part));
        let requests = crashes.flat_map(|crash| &crash.suspects);
        let requests: BTreeSet<&PartSet> =
            requests.filter(|request| request.0.contains(&part)).collect();
        let mut requests = requests.into_iter();
        requests.next().filter(|_| requests.next().is_none()).cloned()
    }

    /// The parts that no output has cleared at any crash which suspects `part`.
    pub(super) fn common_parts(&self, part: PromptPart) -> Option<PartSet> {
        let crashes = self.crashes.values().filter(|crash| crash.suspects(part));
        let sets = crashes.map(|crash| crash.suspected_with(part));
        sets.reduce(|common, other| &common & &other).map(PartSet)
    }

    /// Records the requests that run alone from now on, for hosts that start when all have ended.
    pub(super) fn isolate(&mut self, now: Time) {
        let suspected: BTreeSet<PromptPart> =
            self.crashes.values().flat_map(Crash::suspected).collect();
        for part in suspected {
            if self.crashes_with(part) < ISOLATING_CRASHES {
                continue;
            }
            let request = self.only_request(part);
            let is_new =
                |request: &PartSet| !self.blocks.keys().any(|known| known.is_within(request));
            if request.is_none_or(|request| !is_new(&request)) {
                continue;
            }
            if let Some(parts) = self.common_parts(part) {
                self.blocks.insert(parts.clone(), Block::isolate(now));
                self.begun.insert(parts);
            }
        }
    }

    /// Whether a request runs alone by crashes that this host knows, which then decide on a block.
    pub(super) fn is_isolated_here(&self, parts: &PartSet, block: &Block) -> bool {
        let is_known = |part: &PromptPart| self.crashes_with(*part) >= ISOLATING_CRASHES;
        block.is_isolation() && parts.0.iter().any(is_known)
    }

    /// Whether a request is the cause of crashes.
    pub(super) fn is_cause(&self, request: &PartSet) -> bool {
        let mut crashes: Vec<&Crash> =
            self.crashes.values().filter(|crash| crash.is_open_for(request)).collect();
        crashes.sort_by_key(|crash| crash.known_at);
        let Some(isolating) = crashes.get(ISOLATING_CRASHES - 1) else { return false };
        let is_later = |crash: &&&Crash| crash.known_at.since(isolating.known_at) >= SAME_MOMENT;
        let mut later = crashes.iter().filter(is_later);
        later.any(|crash| crashes.len() >= BLOCKING_CRASHES || self.is_alone(request, crash))
    }

    /// Whether no other request that only runs alone was at a crashed target.
    fn is_alone(&self, request: &PartSet, crash: &Crash) -> bool {
        let mut others = crash.suspects.iter().filter(|other| *other != request);
        !others.any(|other| crash.is_open_for(other) && self.was_isolated(other, crash))
    }

    /// Whether a request only ran alone when a target crashed.
    fn was_isolated(&self, request: &PartSet, at: &Crash) -> bool {
        let earlier = self.crashes.values().filter(|crash| crash.known_at < at.known_at);
        earlier.filter(|crash| crash.is_open_for(request)).count() >= ISOLATING_CRASHES
    }
}
