//! The crashes and blocked parts that one host knows of one service.

mod decide;
mod repeats;
mod runs;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use oleander_core::{PromptPart, Span, Time};

use self::{decide::BLOCKING_CRASHES, repeats::ISOLATING_CRASHES};
use crate::{
    block::Block,
    crash::Crash,
    news::{BlockNews, CrashNews, QuarantineNews},
    parts::{PartSet, RequestParts, TargetRun},
};

/// Time for which a crash is kept.
const CRASH_RETENTION: Span = Span::from_secs(15 * 60);
/// Maximum number of crashes that are kept, the newest ones.
const MAX_CRASHES: usize = 64;
/// Maximum number of suspects of one crash; a target runs fewer requests at once.
const MAX_SUSPECTS: usize = 256;
/// Maximum number of blocks that are kept, those that end last.
const MAX_BLOCKS: usize = 256;
/// Time for which a block is kept after its end; a crash in that time blocks its parts again.
const PROBATION: Span = Span::from_secs(60 * 60);
/// Time for which a break is kept until the target is known to have crashed; the list may show only
/// its restart.
const BREAK_RETENTION: Span = Span::from_secs(10);
/// Time since the last output for a part within which it counts as established, so that one crash
/// makes it no suspect.
const ESTABLISHED: Span = Span::from_secs(10);
/// Maximum number of parts whose last output is kept.
const MAX_OUTPUTS: usize = 4_096;
/// Time after a crash for which hosts tell each other all that they know.
const ACTIVE: Span = Span::from_secs(60);

/// Whether a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Standing {
    /// To any target.
    Clear,
    /// To the target only to which all requests with this part are sent.
    Suspect {
        /// The part.
        part: PromptPart,
        /// Crashes that suspect it.
        crashes: usize,
    },
    /// To one target only, and not while the same request runs: it was at several crashed targets.
    Alone {
        /// The content of the request.
        content: PromptPart,
    },
    /// Not at all, for this time.
    Blocked {
        /// Parts that crash targets.
        parts: PartSet,
        /// Time until the block ends.
        remaining: Span,
    },
}

/// The crashes and blocked parts that one host knows of one service.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    crashes: BTreeMap<TargetRun, Crash>,
    blocks: BTreeMap<PartSet, Block>,
    /// Requests of this host that had no output from targets that broke off.
    breaks: BTreeMap<TargetRun, (Time, BTreeSet<PartSet>)>,
    /// Last output by part.
    outputs: HashMap<PromptPart, Time>,
    /// When this host first recorded output.
    first_output: Option<Time>,
    /// What other hosts have to learn.
    changed_crashes: BTreeSet<TargetRun>,
    changed_blocks: BTreeSet<PartSet>,
    /// Blocks that this host has begun and that are not stored yet.
    begun: BTreeSet<PartSet>,
}

impl Quarantine {
    /// Whether a request with these parts may be sent.
    #[must_use]
    pub fn standing(&self, now: Time, request: &RequestParts) -> Standing {
        if self.is_empty() {
            return Standing::Clear;
        }
        let mut probation = None;
        for (parts, block) in &self.blocks {
            let parts = parts.without(&block.cleared);
            if !parts.is_within(&request.all) {
                continue;
            }
            if block.is_active(now) {
                return Standing::Blocked { parts, remaining: block.ends.since(now) };
            }
            probation = parts.0.first().copied();
        }
        let isolated = |content: &PromptPart| self.crashes_with(*content) >= ISOLATING_CRASHES;
        if let Some(content) = request.content.filter(isolated) {
            return Standing::Alone { content };
        }
        let suspects = request.all.0.iter().filter_map(|part| {
            let crashes = self.suspicion(*part);
            let is_suspect = crashes > 1 || (crashes == 1 && !self.is_established(now, *part));
            is_suspect.then_some((crashes, *part))
        });
        let probation = probation.map(|part| (BLOCKING_CRASHES - 1, part));
        match suspects.chain(probation).max() {
            Some((crashes, part)) => Standing::Suspect { part, crashes },
            None => Standing::Clear,
        }
    }

    /// Whether a crash of this run of a target is known.
    #[must_use]
    pub fn knows_crash(&self, run: &TargetRun) -> bool {
        self.crashes.contains_key(run)
    }

    /// Requests that had no output from a crashed run of a target.
    #[must_use]
    pub fn suspects(&self, run: &TargetRun) -> Vec<PartSet> {
        self.crashes
            .get(run)
            .map(|crash| crash.suspects.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Whether neither a crash nor a block is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.blocks.is_empty()
    }

    /// The sets of parts that are blocked, or were lately, as they were at first.
    #[must_use]
    pub fn blocks(&self) -> BTreeSet<PartSet> {
        self.blocks.keys().cloned().collect()
    }

    /// Whether other hosts have something to learn.
    #[must_use]
    pub fn has_news(&self) -> bool {
        !self.changed_crashes.is_empty() || !self.changed_blocks.is_empty()
    }

    /// Records that a target sent output for a request.
    pub fn record_output(&mut self, now: Time, request: &RequestParts) {
        self.first_output.get_or_insert(now);
        for part in &request.shared {
            if self.outputs.len() < MAX_OUTPUTS || self.outputs.contains_key(part) {
                self.outputs.insert(*part, now);
            } else {
                self.outputs.retain(|_, at| now.since(*at) < ESTABLISHED);
            }
        }
        for (_, requests) in self.breaks.values_mut() {
            requests.remove(&request.all);
        }
        for (run, crash) in &mut self.crashes {
            if crash.clear(&request.all) {
                self.changed_crashes.insert(run.clone());
            }
        }
        for (parts, block) in &mut self.blocks {
            let cleared = PartSet(&parts.0 & &request.all.0).without(&block.cleared);
            if !cleared.0.is_empty() {
                block.cleared.0.extend(cleared.0);
                self.changed_blocks.insert(parts.clone());
            }
        }
    }

    /// Records that a target broke off before it sent output for a request.
    pub fn record_break(&mut self, now: Time, run: &TargetRun, request: &RequestParts) {
        self.breaks.retain(|_, (at, _)| now.since(*at) < BREAK_RETENTION);
        let (_, requests) = self.breaks.entry(run.clone()).or_insert((now, BTreeSet::new()));
        if requests.len() < MAX_SUSPECTS {
            requests.insert(request.all.clone());
        }
        if self.crashes.contains_key(run) {
            self.add_breaks(run);
            self.decide(now);
        }
    }

    /// Records that a run of a target has ended without notice; returns whether that is new.
    pub fn record_crash(&mut self, now: Time, run: &TargetRun) -> bool {
        if self.crashes.contains_key(run) {
            return false;
        }
        self.insert_crash(now, run.clone());
        self.changed_crashes.insert(run.clone());
        self.decide(now);
        true
    }

    /// Applies what another host knows; returns whether any of it is new.
    pub fn merge(&mut self, now: Time, news: QuarantineNews) -> bool {
        let QuarantineNews { crashes, blocks } = news;
        let mut is_new = false;
        for crash in crashes {
            is_new |= self.merge_crash(now, crash);
        }
        for block in blocks {
            is_new |= self.merge_block(now, block);
        }
        if is_new {
            self.decide(now);
            self.expire(now);
        }
        is_new
    }

    fn merge_crash(&mut self, now: Time, news: CrashNews) -> bool {
        let CrashNews { run, suspects, cleared } = news;
        let is_new = !self.crashes.contains_key(&run);
        if is_new {
            self.insert_crash(now, run.clone());
        }
        let Some(crash) = self.crashes.get_mut(&run) else { return is_new };
        let before = (crash.suspects.len(), crash.cleared.0.len());
        let room = MAX_SUSPECTS.saturating_sub(before.0);
        crash.suspects.extend(suspects.into_iter().take(room));
        crash.cleared.0.extend(cleared.0);
        if crash.is_refuted(&run) {
            crash.refute(&run);
        }
        is_new || before != (crash.suspects.len(), crash.cleared.0.len())
    }

    fn merge_block(&mut self, now: Time, news: BlockNews) -> bool {
        let BlockNews { parts, cleared, count, remaining } = news;
        let known = self.blocks.get(&parts);
        let is_new = known.is_none_or(|block| count > block.count);
        if is_new {
            let block = Block { cleared: PartSet::default(), count, ends: now + remaining };
            self.blocks.insert(parts.clone(), block);
        }
        let Some(block) = self.blocks.get_mut(&parts) else { return is_new };
        let before = block.cleared.0.len();
        if count == block.count {
            block.cleared.0.extend(cleared.0);
        }
        is_new || block.cleared.0.len() > before
    }

    /// What other hosts have to learn, since the last call.
    pub fn take_news(&mut self, now: Time) -> QuarantineNews {
        let crashes = std::mem::take(&mut self.changed_crashes);
        let blocks = std::mem::take(&mut self.changed_blocks);
        QuarantineNews {
            crashes: crashes.iter().filter_map(|run| self.crash_news(run)).collect(),
            blocks: blocks.iter().filter_map(|parts| self.block_news(now, parts)).collect(),
        }
    }

    /// All that other hosts have to know, if there was a crash lately or parts are blocked.
    #[must_use]
    pub fn snapshot(&self, now: Time) -> QuarantineNews {
        let lately = |crash: &Crash| now.since(crash.known_at) < ACTIVE;
        let active = self.crashes.iter().filter(|(_, crash)| lately(crash));
        QuarantineNews {
            crashes: active.filter_map(|(run, _)| self.crash_news(run)).collect(),
            blocks: self.blocks.keys().filter_map(|parts| self.block_news(now, parts)).collect(),
        }
    }

    /// Blocks that this host has begun, since the last call.
    pub fn take_begun(&mut self, now: Time) -> Vec<BlockNews> {
        let begun = std::mem::take(&mut self.begun);
        begun.iter().filter_map(|parts| self.block_news(now, parts)).collect()
    }

    fn crash_news(&self, run: &TargetRun) -> Option<CrashNews> {
        let Crash { suspects, cleared, .. } = self.crashes.get(run)?.clone();
        Some(CrashNews { run: run.clone(), suspects, cleared })
    }

    fn block_news(&self, now: Time, parts: &PartSet) -> Option<BlockNews> {
        let Block { cleared, count, ends } = self.blocks.get(parts)?.clone();
        Some(BlockNews { parts: parts.clone(), cleared, count, remaining: ends.since(now) })
    }

    fn insert_crash(&mut self, now: Time, run: TargetRun) {
        self.crashes.retain(|_, crash| now.since(crash.known_at) < CRASH_RETENTION);
        if self.crashes.len() >= MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.known_at);
            if let Some(oldest) = oldest.map(|(run, _)| run.clone()) {
                self.crashes.remove(&oldest);
            }
        }
        self.crashes.insert(run.clone(), Crash::new(now));
        self.add_breaks(&run);
    }

    /// Adds this host's requests that were at a crashed target to the suspects.
    fn add_breaks(&mut self, run: &TargetRun) {
        let Some((_, requests)) = self.breaks.remove(run) else { return };
        let Some(crash) = self.crashes.get_mut(run) else { return };
        crash.suspects.extend(requests);
        if crash.is_refuted(run) {
            crash.refute(run);
        }
        self.changed_crashes.insert(run.clone());
    }

    fn expire(&mut self, now: Time) {
        let retention =
            |block: &Block| if block.is_isolation() { CRASH_RETENTION } else { PROBATION };
        self.blocks.retain(|_, block| now.since(block.ends) < retention(block));
        while self.blocks.len() > MAX_BLOCKS {
            let first = self.blocks.iter().min_by_key(|(_, block)| block.ends);
            let Some(first) = first.map(|(parts, _)| parts.clone()) else { return };
            self.blocks.remove(&first);
        }
    }

    fn is_established(&self, now: Time, part: PromptPart) -> bool {
        self.outputs.get(&part).is_some_and(|at| now.since(*at) < ESTABLISHED)
    }
}
