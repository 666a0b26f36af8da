//! Claims, withdrawals and lookups of calls.

use oleander_core::{AttemptId, CallId, DigestId, HostId, Time};

use super::{Append, Run, Shard, ShardAction, ShardEvent, ShardReply};
use crate::{
    call::{CallRecord, Claim, Outcome},
    log::Ticket,
    table::CallState,
};

impl Shard {
    pub(super) fn claim(
        &mut self,
        now: Time,
        ticket: Ticket,
        claim: Claim,
        actions: &mut Vec<ShardAction>,
    ) {
        if let Some(digest) = self.known_digest(&claim.call)
            && *digest != claim.digest
        {
            actions.push(ShardAction::Reply(ticket, ShardReply::Mismatch));
            return;
        }
        if self.reply_final(ticket, &claim.call, actions) {
            return;
        }
        if let Some(CallState::Intent { runner, attempt, .. }) = self.table.state(&claim.call) {
            let (runner, attempt) = (runner.clone(), attempt.clone());
            self.claim_intent(now, ticket, claim, runner, attempt, actions);
            return;
        }
        if let Some(run) = self.running.get(&claim.call)
            && claim.lost_attempt.as_ref() != Some(&run.attempt)
        {
            let same_run = run.attempt == claim.attempt;
            let reply = match same_run {
                true => ShardReply::Run,
                false => {
                    ShardReply::Join { runner: run.runner.clone(), attempt: run.attempt.clone() }
                }
            };
            // A granted run that may not be repeated still needs a committed intent.
            if !same_run || run.repeatable {
                actions.push(ShardAction::Reply(ticket, reply));
                return;
            }
        }
        if self.defer(now, ShardEvent::Claim(ticket, claim.clone()), actions) {
            return;
        }
        self.grant(now, ticket, claim, actions);
    }

    /// Answers a claim of a call that has a committed intent and no outcome.
    pub(super) fn claim_intent(
        &mut self,
        now: Time,
        ticket: Ticket,
        claim: Claim,
        runner: HostId,
        attempt: AttemptId,
        actions: &mut Vec<ShardAction>,
    ) {
        if attempt == claim.attempt {
            actions.push(ShardAction::Reply(ticket, ShardReply::Run));
        } else if self.refused.contains(&attempt) {
            let record = CallRecord::Withdrawn { call: claim.call.clone(), attempt };
            self.append(now, Append::Reclaim(ticket, claim), record, actions);
        } else if claim.lost_attempt.as_ref() == Some(&attempt) {
            let Claim { call, digest, .. } = claim;
            self.record_outcome(now, ticket, call, digest, Outcome::Unknown, actions);
        } else {
            actions.push(ShardAction::Reply(ticket, ShardReply::Join { runner, attempt }));
        }
    }

    pub(super) fn grant(
        &mut self,
        now: Time,
        ticket: Ticket,
        claim: Claim,
        actions: &mut Vec<ShardAction>,
    ) {
        if !claim.repeatable && self.is_degraded(now) {
            let reply = ShardReply::Unavailable { unsent: self.knows_all_grants() };
            actions.push(ShardAction::Reply(ticket, reply));
            return;
        }
        let run = Run {
            digest: claim.digest.clone(),
            runner: claim.runner.clone(),
            attempt: claim.attempt.clone(),
            repeatable: claim.repeatable,
        };
        self.running.insert(claim.call.clone(), run);
        if claim.repeatable {
            actions.push(ShardAction::Reply(ticket, ShardReply::Run));
            return;
        }
        let record = CallRecord::Intent {
            call: claim.call.clone(),
            digest: claim.digest.clone(),
            runner: claim.runner.clone(),
            attempt: claim.attempt.clone(),
        };
        self.append(now, Append::Grant(ticket, claim), record, actions);
    }

    pub(super) fn withdraw(
        &mut self,
        now: Time,
        ticket: Ticket,
        call: CallId,
        attempt: AttemptId,
        actions: &mut Vec<ShardAction>,
    ) {
        let repeatable = match self.running.get(&call) {
            Some(run) if run.attempt == attempt => run.repeatable,
            _ => false,
        };
        if repeatable {
            self.running.remove(&call);
            actions.push(ShardAction::Reply(ticket, ShardReply::Withdrawn));
            return;
        }
        let record = CallRecord::Withdrawn { call, attempt };
        self.append(now, Append::Withdraw(Some(ticket)), record, actions);
    }

    pub(super) fn lookup(
        &mut self,
        now: Time,
        ticket: Ticket,
        call: CallId,
        actions: &mut Vec<ShardAction>,
    ) {
        if self.reply_final(ticket, &call, actions) {
            return;
        }
        if let Some(CallState::Intent { runner, attempt, .. }) = self.table.state(&call) {
            let reply = ShardReply::Join { runner: runner.clone(), attempt: attempt.clone() };
            actions.push(ShardAction::Reply(ticket, reply));
            return;
        }
        if let Some(run) = self.running.get(&call) {
            let (runner, attempt) = (run.runner.clone(), run.attempt.clone());
            actions.push(ShardAction::Reply(ticket, ShardReply::Join { runner, attempt }));
            return;
        }
        if self.defer(now, ShardEvent::Lookup(ticket, call), actions) {
            return;
        }
        let all_replied = self.ownership.as_ref().is_some_and(|it| it.complete);
        let reply = match self.is_stale(now) || !all_replied {
            true => ShardReply::Unavailable { unsent: false },
            false => ShardReply::Absent,
        };
        actions.push(ShardAction::Reply(ticket, reply));
    }

    pub(super) fn known_digest(&self, call: &CallId) -> Option<&DigestId> {
        match self.table.state(call) {
            Some(CallState::Intent { digest, .. } | CallState::Final { digest, .. }) => {
                return Some(digest);
            }
            None => {}
        }
        let buffered = self.buffered.get(call).map(|buffered| &buffered.digest);
        buffered.or_else(|| self.running.get(call).map(|run| &run.digest))
    }

    /// Withdraws the committed intent of a claim that was refused.
    pub(super) fn withdraw_refused(
        &mut self,
        now: Time,
        call: CallId,
        attempt: AttemptId,
        actions: &mut Vec<ShardAction>,
    ) {
        if self.running.get(&call).is_some_and(|run| run.attempt == attempt) {
            self.running.remove(&call);
        }
        let record = CallRecord::Withdrawn { call, attempt };
        self.append(now, Append::Withdraw(None), record, actions);
    }

    /// Refuses the claims whose intents can't be committed because the platform is unavailable.
    ///
    /// An intent may still be committed later, and is withdrawn then.
    pub(super) fn refuse_grants(&mut self, now: Time, actions: &mut Vec<ShardAction>) {
        if !self.is_degraded(now) {
            return;
        }
        let unsent = self.knows_all_grants();
        for append in self.appends.values_mut() {
            if let Append::Grant(ticket, claim) = append {
                let reply = ShardReply::Unavailable { unsent };
                actions.push(ShardAction::Reply(*ticket, reply));
                self.refused.insert(claim.attempt.clone());
                *append = Append::Refused(claim.call.clone(), claim.attempt.clone());
            }
        }
    }
}
