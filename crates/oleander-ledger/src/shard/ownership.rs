//! Ownership of a shard in the current view of the live hosts.
//!
//! A new owner asks the other hosts for outcomes that callers may have received and that are not
//! committed. It commits nothing until all have replied or the gather timeout has passed.

use std::mem;

use oleander_core::Time;

use super::{Shard, ShardAction, outcomes::CopyState};
use crate::{call::CallRecord, log::LogEvent};

/// Ownership in one view of the live hosts.
#[derive(Debug)]
pub(super) struct Ownership {
    pub(super) view: u64,
    pub(super) since: Time,
    /// Whether replies of other hosts are missing; commits wait for them up to the timeout.
    pub(super) gathering: bool,
    /// When the other hosts were last asked.
    pub(super) asked_at: Time,
    /// When replies last arrived.
    pub(super) gathered_at: Time,
    /// Whether all live hosts have replied.
    pub(super) complete: bool,
}

impl Shard {
    /// Whether this new owner still waits for the outcomes of other hosts.
    pub(super) fn is_gathering(&self, now: Time) -> bool {
        let ownership = self.ownership.as_ref().filter(|it| it.gathering);
        ownership.is_some_and(|it| now.since(it.since) < self.config.gather_timeout)
    }

    /// Whether a call that is unknown here was certainly never granted.
    ///
    /// This holds once all live hosts have replied and the log was read to its end after this host
    /// became the owner: later grants are made here.
    pub(super) fn knows_all_grants(&self) -> bool {
        self.ownership.as_ref().is_some_and(|it| it.complete && self.log.synced_at() >= it.since)
    }

    /// Asks the other hosts again if some did not reply.
    pub(super) fn retry_gather(&mut self, now: Time, actions: &mut Vec<ShardAction>) {
        let Some(ownership) = &mut self.ownership else { return };
        if !ownership.complete && now.since(ownership.asked_at) >= self.config.gather_interval {
            ownership.asked_at = now;
            actions.push(ShardAction::Gather);
        }
    }

    pub(super) fn set_view(
        &mut self,
        now: Time,
        view: u64,
        owned: bool,
        actions: &mut Vec<ShardAction>,
    ) {
        if !owned {
            self.ownership = None;
        } else if self.ownership.as_ref().is_none_or(|it| it.view != view) {
            let (since, asked_at) = (now, now);
            let gathered_at = Time(0);
            self.ownership = Some(Ownership {
                view,
                since,
                gathering: true,
                asked_at,
                gathered_at,
                complete: false,
            });
            actions.push(ShardAction::Gather);
            self.feed_log(now, LogEvent::Refresh, actions);
        }
    }

    /// Takes over the outcomes of the other hosts. They replace outcomes of this host that no
    /// caller can have received.
    pub(super) fn handle_gathered(
        &mut self,
        now: Time,
        records: Vec<CallRecord>,
        complete: bool,
        actions: &mut Vec<ShardAction>,
    ) {
        for record in &records {
            let CallRecord::Final { call, outcome, .. } = record else { continue };
            let Some(own) = self.buffered.get_mut(call) else { continue };
            if own.may_be_delivered() {
                continue;
            }
            own.outcome = outcome.clone();
            own.copy = CopyState::Stored;
            for waiter in mem::take(&mut own.waiters) {
                actions.push(waiter.reply(outcome.clone(), false));
            }
        }
        self.store_copies(now, records);
        if let Some(ownership) = &mut self.ownership {
            ownership.gathering &= !complete;
            ownership.complete |= complete;
            ownership.gathered_at = now;
        }
        self.log.set_paused(self.is_gathering(now));
        let pending = self.log.take_pending();
        self.retry_appends(now, pending, actions);
        self.feed_log(now, LogEvent::Refresh, actions);
    }
}
