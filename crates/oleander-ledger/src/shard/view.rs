//! Ownership under the present view of the live hosts.
//!
//! A new owner asks the other hosts for outcomes that they answered and have not committed, and
//! commits nothing until they told, within a bound.

use std::mem;

use oleander_core::Time;

use super::{Shard, ShardAction, outcomes::Copied};
use crate::{call::CallRecord, log::LogEvent};

/// Ownership under one view of the live hosts.
#[derive(Debug)]
pub(super) struct Owned {
    pub(super) view: u64,
    pub(super) since: Time,
    pub(super) gathering: bool,
    /// When the other hosts were asked last.
    pub(super) asked: Time,
    /// When they had answered.
    pub(super) gathered: Time,
    /// Whether all live hosts have told what they hold.
    pub(super) complete: bool,
}

impl Shard {
    /// Whether other hosts may still hold outcomes that this new owner does not know.
    pub(super) fn is_gathering(&self, now: Time) -> bool {
        let owned = self.owned.as_ref().filter(|owned| owned.gathering);
        owned.is_some_and(|owned| now.since(owned.since) < self.config.gather_timeout)
    }

    /// Whether a call that is not known here was certainly never granted.
    ///
    /// It holds if the log was read to its end since this host became the owner: later grants
    /// are its own.
    pub(super) fn is_clean(&self) -> bool {
        self.owned
            .as_ref()
            .is_some_and(|owned| owned.complete && self.log.synced_at() >= owned.since)
    }

    /// Asks the other hosts again if some did not answer.
    pub(super) fn gather_again(&mut self, now: Time, actions: &mut Vec<ShardAction>) {
        let Some(owned) = &mut self.owned else { return };
        if !owned.complete && now.since(owned.asked) >= self.config.gather_interval {
            owned.asked = now;
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
            self.owned = None;
        } else if self.owned.as_ref().is_none_or(|owned| owned.view != view) {
            let (since, asked) = (now, now);
            let gathered = Time(0);
            self.owned =
                Some(Owned { view, since, gathering: true, asked, gathered, complete: false });
            actions.push(ShardAction::Gather);
            self.drive(now, LogEvent::Refresh, actions);
        }
    }

    /// Takes what other hosts answered; it goes before own outcomes that nobody was told of.
    pub(super) fn gathered(
        &mut self,
        now: Time,
        records: Vec<CallRecord>,
        complete: bool,
        actions: &mut Vec<ShardAction>,
    ) {
        for record in &records {
            let CallRecord::Final { call, outcome, .. } = record else { continue };
            let Some(own) = self.buffered.get_mut(call) else { continue };
            if own.is_answered() {
                continue;
            }
            own.outcome = outcome.clone();
            own.copied = Copied::Yes;
            for reader in mem::take(&mut own.waiters) {
                actions.push(reader.reply(outcome.clone(), false));
            }
        }
        self.keep_copies(now, records);
        if let Some(owned) = &mut self.owned {
            owned.gathering &= !complete;
            owned.complete |= complete;
            owned.gathered = now;
        }
        self.log.set_paused(self.is_gathering(now));
        let pending = self.log.take_pending();
        self.decide_again(now, pending, actions);
        self.drive(now, LogEvent::Refresh, actions);
    }
}
