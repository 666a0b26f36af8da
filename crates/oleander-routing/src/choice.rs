//! Choice among targets with free slots, by the power of two random choices.
//!
//! Two targets are drawn at random and the less loaded one is chosen, so that hosts with the same
//! outdated load figures do not all send to the same target. A target that has the prompt prefix
//! in its cache is chosen instead if its load exceeds that of the better draw by at most the
//! affinity slack.

use rand::Rng;

/// A target with a free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Position of the target in the caller's list.
    pub index: usize,
    /// Load in per mille of the target's limit, including added costs such as that of another data
    /// centre.
    pub load: u32,
    /// Whether the target is likely to have the prefix.
    pub cached: bool,
}

/// Chooses among candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Chooser {
    draws: u32,
    affinity_slack: u32,
}

impl Chooser {
    /// Default number of targets drawn for a choice.
    pub const DRAWS: u32 = 2;

    /// Creates a chooser that accepts up to `affinity_slack` per mille more load for a cached
    /// prefix.
    #[must_use]
    pub const fn new(affinity_slack: u32) -> Self {
        Self { draws: Self::DRAWS, affinity_slack }
    }

    /// Sets the number of targets drawn for a choice.
    #[must_use]
    pub const fn draws(mut self, draws: u32) -> Self {
        self.draws = draws;
        self
    }

    /// Chooses one of `candidates`; `None` if there are none.
    pub fn choose<R: Rng>(&self, rng: &mut R, candidates: &[Candidate]) -> Option<Candidate> {
        let drawn = self.draw(rng, candidates)?;
        let bound = drawn.load.saturating_add(self.affinity_slack);
        let cached = candidates.iter().filter(|c| c.cached && c.load <= bound);
        Some(cached.min_by_key(|c| c.load).copied().unwrap_or(drawn))
    }

    fn draw<R: Rng>(&self, rng: &mut R, candidates: &[Candidate]) -> Option<Candidate> {
        if self.draws as usize >= candidates.len() {
            return least_loaded(rng, candidates);
        }
        let mut best: Option<Candidate> = None;
        let mut last = None;
        for _ in 0..self.draws.max(1) {
            let position = draw_other(rng, candidates.len(), last)?;
            last = Some(position);
            let candidate = candidates[position];
            if best.is_none_or(|b| candidate.load < b.load) {
                best = Some(candidate);
            }
        }
        best
    }
}

/// The least loaded of all candidates; a random one of these if several have the same load.
fn least_loaded<R: Rng>(rng: &mut R, candidates: &[Candidate]) -> Option<Candidate> {
    let least = candidates.iter().map(|candidate| candidate.load).min()?;
    let ties = candidates.iter().filter(|candidate| candidate.load == least);
    let position = rng.random_range(0..ties.clone().count());
    ties.copied().nth(position)
}

/// Draws a position below `count`, other than `last` if there is another.
fn draw_other<R: Rng>(rng: &mut R, count: usize, last: Option<usize>) -> Option<usize> {
    match last {
        _ if count == 0 => None,
        Some(last) if count > 1 => {
            let position = rng.random_range(0..count - 1);
            Some(if position >= last { position + 1 } else { position })
        }
        _ => Some(rng.random_range(0..count)),
    }
}
