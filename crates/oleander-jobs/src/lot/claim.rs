//! Claim, renewal and release of a lot.

use oleander_core::{AttemptId, HostId, Time};
use oleander_ledger::LogEvent;

use super::{
    Holder, Lot, Phase,
    action::{LotAction, LotEnd},
    item::Item,
};
use crate::record::LotRecord;

impl Lot {
    pub(super) fn apply_claim(
        &mut self,
        now: Time,
        runner: HostId,
        attempt: AttemptId,
        actions: &mut Vec<LotAction>,
    ) {
        if self.holder.as_ref().is_some_and(|holder| holder.attempt == attempt) {
            return;
        }
        self.items.iter_mut().for_each(Item::abandon_trial);
        let is_own = attempt == self.attempt;
        self.holder = Some(Holder { runner, attempt });
        match self.phase {
            Phase::Claiming if is_own => {
                self.phase = Phase::Holding;
                self.progress_at = now;
            }
            Phase::Watching { .. } | Phase::Ended => {}
            _ if is_own => {}
            _ => self.finish(LotEnd::Superseded, actions),
        }
    }

    pub(super) fn apply_release(&mut self, attempt: &AttemptId, actions: &mut Vec<LotAction>) {
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
                self.cancel_runs(actions);
                self.phase = Phase::Releasing;
                self.append(now, LotRecord::Released { attempt: self.attempt.clone() }, actions);
            }
            Phase::Watching { .. } => self.finish(LotEnd::Released, actions),
            // The claim may still be committed, so it is released after it.
            Phase::Claiming => {
                self.phase = Phase::Releasing;
                self.append(now, LotRecord::Released { attempt: self.attempt.clone() }, actions);
            }
            Phase::Releasing | Phase::Ended => {}
        }
    }

    /// Claims the lot if no other host holds it or the claim has expired; ends if the other host
    /// writes to the log.
    pub(super) fn advance_watching(
        &mut self,
        now: Time,
        since: Time,
        end: Option<u64>,
        actions: &mut Vec<LotAction>,
    ) {
        if !self.log.is_synced() {
            return;
        }
        let next = self.log.next_sequence();
        let (mut since, end) = end.map_or((now, next), |end| (since, end));
        // No host can write during an outage of the platform, so the timeout starts over after it.
        let synced_at = self.log.synced_at();
        if synced_at.since(self.synced_at) >= self.config.claim_timeout {
            since = now;
        }
        self.synced_at = synced_at;
        self.phase = Phase::Watching { since, end: Some(end) };
        let is_foreign = self.holder.as_ref().is_some_and(|holder| holder.runner != self.host);
        if is_foreign && next != end {
            self.finish(LotEnd::Released, actions);
        } else if !is_foreign || now.since(since) >= self.config.claim_timeout {
            self.phase = Phase::Claiming;
            self.append(now, self.claim_record(), actions);
        } else if now.since(self.refreshed_at) >= self.config.checkpoint_interval {
            self.refreshed_at = now;
            self.handle_log(now, LogEvent::Refresh, actions);
        }
    }

    fn claim_record(&self) -> LotRecord {
        LotRecord::Claimed { runner: self.host.clone(), attempt: self.attempt.clone() }
    }

    /// Renews the claim, or releases the lot if no item runs and none has made progress for the
    /// claim timeout.
    pub(super) fn renew_claim(&mut self, now: Time, actions: &mut Vec<LotAction>) {
        if now.since(self.progress_at) >= self.config.claim_timeout && self.running_count() == 0 {
            self.release(now, actions);
        } else {
            self.append(now, self.claim_record(), actions);
        }
    }
}
