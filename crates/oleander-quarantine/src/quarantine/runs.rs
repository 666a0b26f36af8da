//! Runs of targets that do not state when they started.

use oleander_core::{Span, TargetId, Time};

use super::Quarantine;
use crate::parts::TargetRun;

/// Time after a crash in which the target is taken to be down.
const RESTART_TIME: Span = Span::from_secs(1);

impl Quarantine {
    /// The present run of a target that does not state its start, by the number of its crashes.
    ///
    /// Hosts that know of the same crashes agree on it, so that a crash which several of them
    /// notice counts once.
    #[must_use]
    pub fn present_run(&self, now: Time, target: &TargetId) -> TargetRun {
        let crashes = self.crashes.iter().filter(|(run, _)| run.target == *target);
        let last = crashes.max_by_key(|(run, _)| run.started);
        let started = match last {
            Some((run, crash)) if now.since(crash.known_at) < RESTART_TIME => run.started,
            Some((run, _)) => run.started.map(|crashes| crashes + 1),
            None => Some(0),
        };
        TargetRun { target: target.clone(), started }
    }

    /// Whether a target that does not state its start has just crashed.
    #[must_use]
    pub fn is_down(&self, now: Time, target: &TargetId) -> bool {
        self.has_crashed(now, &self.present_run(now, target), RESTART_TIME)
    }
}
