//! Runs of targets, of which one may follow another under the same name and listed start.

use oleander_core::{Span, TargetId, Time};

use super::Quarantine;
use crate::{
    crash::{Crash, LastCrash},
    parts::TargetRun,
};

/// Time after a crash in which the target is taken to be down.
const RESTART_TIME: Span = Span::from_secs(1);
/// Time after the report of a crash from which on output refutes it; before, it may have been under
/// way already.
const REFUTATION_DELAY: Span = Span::from_millis(300);

impl Quarantine {
    /// The present run of a target that does not state its start, by the number of its crashes.
    ///
    /// Hosts that know of the same crashes agree on it, so that a crash which several of them
    /// notice counts once.
    #[must_use]
    pub fn present_run(&self, now: Time, target: &TargetId) -> TargetRun {
        self.run_after(now, &TargetRun { target: target.clone(), started: Some(0) })
    }

    /// The run that a target is in, by the run that is listed: a later one if that one is known to
    /// have ended, as while a new list does not arrive.
    #[must_use]
    pub fn run_after(&self, now: Time, listed: &TargetRun) -> TargetRun {
        match self.crashes_from(listed).last() {
            None => listed.clone(),
            Some((run, crash)) if self.is_down_since(now, run, crash) => run.clone(),
            Some((run, _)) => {
                let started = Some(run.started.unwrap_or(0) + 1);
                TargetRun { target: run.target.clone(), started }
            }
        }
    }

    /// Whether a listed run of a target, or one that followed it, crashed less than `age` ago.
    #[must_use]
    pub fn has_crashed(&self, now: Time, listed: &TargetRun, age: Span) -> bool {
        let mut crashes = self.crashes_from(listed);
        crashes.any(|(run, crash)| crash.may_last(run) && now.since(crash.known_at) < age)
    }

    /// The last crash of a listed run of a target, or of one that followed it; `None` if there is
    /// none that has not been refuted.
    #[must_use]
    pub fn last_crash(&self, listed: &TargetRun) -> Option<LastCrash> {
        let crashes = self.crashes_from(listed).filter(|(run, crash)| !crash.is_refuted(run));
        let last = crashes.map(|(_, crash)| crash).max_by_key(|crash| crash.known_at)?;
        Some(LastCrash { known_at: last.known_at, is_reached: last.is_reached })
    }

    /// Whether a target that does not state its start has just crashed.
    #[must_use]
    pub fn is_down(&self, now: Time, target: &TargetId) -> bool {
        self.has_crashed(now, &self.present_run(now, target), RESTART_TIME)
    }

    /// Records output of a run for a request that was sent at `sent`.
    ///
    /// It refutes a report that the run had ended by then: another host may have lost its links to
    /// a target that goes on. A request sent since then says nothing, as it may have reached a later
    /// run.
    pub fn record_life(&mut self, now: Time, run: &TargetRun, sent: Time) {
        let Some(crash) = self.crashes.get_mut(run) else { return };
        let is_later = now.since(crash.known_at) >= REFUTATION_DELAY;
        if sent > crash.known_at || !is_later || crash.is_refuted(run) {
            return;
        }
        crash.refute(run);
        self.changed_crashes.insert(run.clone());
    }

    /// Records that another run has followed `run`, which is a crash if it broke off requests of
    /// this host; returns whether that is new.
    pub fn record_replaced(&mut self, now: Time, run: &TargetRun) -> bool {
        let broke_off = self.breaks.get(run).is_some_and(|(_, requests)| !requests.is_empty());
        broke_off && self.record_crash(now, run)
    }

    /// Records that a target whose crash was reported accepts connections of this host.
    ///
    /// The host uses it again; whether a run has ended before is not known from that.
    pub fn record_reached(&mut self, run: &TargetRun) {
        if let Some(crash) = self.crashes.get_mut(run) {
            crash.is_reached = true;
        }
    }

    fn is_down_since(&self, now: Time, run: &TargetRun, crash: &Crash) -> bool {
        crash.may_last(run) && now.since(crash.known_at) < RESTART_TIME
    }

    /// Crashes of a run of a target and of those that followed it.
    fn crashes_from(&self, run: &TargetRun) -> impl Iterator<Item = (&TargetRun, &Crash)> {
        let target = run.target.clone();
        self.crashes.range(run..).take_while(move |(run, _)| run.target == target)
    }
}
