//! Claim, renewal and return of a lot.

use oleander_core::{AttemptId, HostId, Time};
use oleander_ledger::LogEvent;

use super::{
    Holder, Lot, Phase,
    action::{LotAction, LotEnd},
    item::Item,
};
use crate::record::LotRecord;

impl Lot {
    pub(super) fn on_claimed(
        &mut self,
        now: Time,
        runner: HostId,
        attempt: AttemptId,
        actions: &mut Vec<LotAction>,
    ) {
        if self.holder.as_ref().is_some_and(|holder| holder.attempt == attempt) {
            return;
        }
        self.items.iter_mut().for_each(Item::lose_trial);
        let own = attempt == self.attempt;
        self.holder = Some(Holder { runner, attempt });
        match self.phase {
            Phase::Claiming if own => {
                self.phase = Phase::Holding;
                self.progress = now;
            }
            Phase::Watching { .. } | Phase::Ended => {}
            _ if own => {}
            _ => self.finish(LotEnd::Superseded, actions),
        }
    }

    pub(super) fn on_released(&mut self, attempt: &AttemptId, actions: &mut Vec<LotAction>) {
        if self.holder.as_ref().is_some_and(|holder| holder.attempt == *attempt) {
            self.holder = None;
            self.items.iter_mut().for_each(Item::end_trial);
        }
        if self.phase == Phase::Releasing && *attempt == self.attempt {
            self.finish(LotEnd::Released, actions);
        }
    }

    pub(super) fn release(&mut self, now: Time, actions: &mut Vec<LotAction>) {
        match self.phase {
            Phase::Holding | Phase::Closing => {
                self.stop_runs(actions);
                self.phase = Phase::Releasing;
                self.append(now, LotRecord::Released { attempt: self.attempt.clone() }, actions);
            }
            Phase::Watching { .. } => self.finish(LotEnd::Released, actions),
            // A claim under way may take effect: it is settled first, then given back.
            Phase::Claiming => {
                self.phase = Phase::Releasing;
                self.append(now, LotRecord::Released { attempt: self.attempt.clone() }, actions);
            }
            Phase::Releasing | Phase::Ended => {}
        }
    }

    /// Claims the lot if it is free or its holder stands still; leaves it to a holder that moves.
    pub(super) fn watch(
        &mut self,
        now: Time,
        since: Time,
        next: Option<u64>,
        actions: &mut Vec<LotAction>,
    ) {
        if !self.log.is_current() {
            return;
        }
        let current = self.log.next();
        let (mut since, first) = next.map_or((now, current), |first| (since, first));
        // Nobody can write in an outage: the time begins again when the log can be read.
        let read_at = self.log.read_at();
        if read_at.since(self.seen) >= self.config.claim_timeout {
            since = now;
        }
        self.seen = read_at;
        self.phase = Phase::Watching { since, next: Some(first) };
        let foreign = self.holder.as_ref().is_some_and(|holder| holder.runner != self.host);
        if foreign && current != first {
            self.finish(LotEnd::Released, actions);
        } else if !foreign || now.since(since) >= self.config.claim_timeout {
            self.phase = Phase::Claiming;
            self.append(now, self.claim(), actions);
        } else if now.since(self.refreshed) >= self.config.checkpoint_interval {
            self.refreshed = now;
            self.feed(now, LogEvent::Refresh, actions);
        }
    }

    fn claim(&self) -> LotRecord {
        LotRecord::Claimed { runner: self.host.clone(), attempt: self.attempt.clone() }
    }

    /// Shows that the lot is still held, or gives it back if nothing moves here.
    pub(super) fn renew(&mut self, now: Time, actions: &mut Vec<LotAction>) {
        if now.since(self.progress) >= self.config.claim_timeout && self.running_count() == 0 {
            self.release(now, actions);
        } else {
            self.append(now, self.claim(), actions);
        }
    }
}
