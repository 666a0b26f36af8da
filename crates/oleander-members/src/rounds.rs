//! Rounds of failure detection: which member is probed, and what a missing acknowledgement means.
//!
//! Each round probes one member. If it doesn't acknowledge the probe in time, other members are
//! asked to probe it, too. If those don't succeed before the next round, a live member becomes
//! suspect, and failed unless it refutes the suspicion before the deadline.

use std::collections::BTreeMap;

use oleander_core::{HostId, Span, Time};
use rand::Rng;

use crate::{
    ListedState, Liveness, Members, MembersConfig, MessageKind, member::Member,
    update_queue::UpdateKind,
};

/// Every this many rounds, a candidate or failed member is probed first, if there is one.
const DOWN_PROBE_ROUNDS: u64 = 4;

impl Members {
    /// Starts a round if one is due, and handles expired probes and suspicions.
    pub(crate) fn tick(&mut self, now: Time) {
        self.compensate_pause(now);
        self.request_indirect_probes(now);
        self.expire_suspicions(now);
        if now >= self.round_due(now) {
            self.next_round = Some(now + self.config.probe_interval);
            self.start_round(now);
        }
    }

    /// When the next round is due. The first has a random phase; a due time more than one interval
    /// ahead means that the clock was set back, and the round starts at once.
    fn round_due(&mut self, now: Time) -> Time {
        let interval = self.config.probe_interval;
        let phase = Span(self.rng.random_range(0..interval.0.max(1)));
        let due = *self.next_round.get_or_insert(now + phase);
        if due.since(now) > interval { now } else { due }
    }

    /// After a gap in which this process did not run, drops the pending probe and extends suspicion
    /// deadlines by the gap, since no acknowledgement or refutation could arrive then.
    fn compensate_pause(&mut self, now: Time) {
        let gap = self.last_tick.replace(now).map_or(Span::ZERO, |last| now.since(last));
        if gap <= self.config.probe_interval {
            return;
        }
        self.probes.outstanding = None;
        for deadline in self.suspicions.values_mut() {
            *deadline = *deadline + gap;
        }
    }

    /// Asks other members to probe the member that did not acknowledge this host's probe in time.
    fn request_indirect_probes(&mut self, now: Time) {
        let timeout = self.config.ack_timeout;
        let Some(probe) = &mut self.probes.outstanding else { return };
        if probe.relayed || now.since(probe.sent) < timeout {
            return;
        }
        probe.relayed = true;
        let (sequence, target) = (probe.sequence, probe.host.clone());
        for relay in self.random_live_members(self.config.indirect_probes, &target) {
            self.send(&relay, MessageKind::ProbeFor { sequence, target: target.clone() });
        }
    }

    /// Marks members failed that did not refute a suspicion before its deadline.
    fn expire_suspicions(&mut self, now: Time) {
        let due = |(_, deadline): &(&HostId, &Time)| **deadline <= now;
        let expired: Vec<_> =
            self.suspicions.iter().filter(due).map(|(host, _)| host.clone()).collect();
        for host in expired {
            self.suspicions.remove(&host);
            self.update_queue.add(UpdateKind::State, &host);
            self.update_member(&host, |member| member.set_liveness(now, Liveness::Failed));
        }
    }

    fn start_round(&mut self, now: Time) {
        if let Some(probe) = self.probes.outstanding.take() {
            self.handle_probe_timeout(now, &probe.host);
        }
        self.round += 1;
        let Some(host) = self.next_probed_host(now) else { return };
        let sequence = self.probes.start(now, host.clone());
        let page = self.next_page.clone();
        self.send(&host, MessageKind::Probe { sequence, page });
    }

    /// Marks a live member suspect, and a candidate failed, after neither a direct nor an indirect
    /// probe was acknowledged.
    fn handle_probe_timeout(&mut self, now: Time, host: &HostId) {
        let deadline = now + self.config.suspicion_timeout(self.host_count());
        let Some(member) = self.table.get_mut(host) else { return };
        match member.liveness {
            None => self.update_member(host, |member| member.set_liveness(now, Liveness::Failed)),
            Some(Liveness::Live) => {
                member.needs_refutation = true;
                self.suspicions.insert(host.clone(), deadline);
                self.update_queue.add(UpdateKind::State, host);
                self.update_member(host, |member| member.set_liveness(now, Liveness::Suspect));
            }
            Some(Liveness::Suspect | Liveness::Failed) => {}
        }
    }

    /// The member to probe in this round.
    fn next_probed_host(&mut self, now: Time) -> Option<HostId> {
        let probe_down = self.round.is_multiple_of(DOWN_PROBE_ROUNDS);
        if probe_down {
            self.next_down(now).or_else(|| self.next_up())
        } else {
            self.next_up().or_else(|| self.next_down(now))
        }
    }

    fn next_up(&mut self) -> Option<HostId> {
        for _ in 0..=self.table.len() {
            if self.up_order.is_exhausted() {
                self.up_order.refill(hosts_where(&self.table, Member::is_up), &mut self.rng);
            }
            let host = self.up_order.next_host()?;
            if self.table.get(&host).is_some_and(Member::is_up) {
                return Some(host);
            }
        }
        None
    }

    /// The next candidate or failed member; removes those whose retention has expired.
    fn next_down(&mut self, now: Time) -> Option<HostId> {
        for _ in 0..=self.table.len() {
            if self.down_order.is_exhausted() {
                self.down_order.refill(hosts_where(&self.table, |m| !m.is_up()), &mut self.rng);
            }
            let host = self.down_order.next_host()?;
            match self.table.get(&host) {
                Some(member) if member.is_up() => {}
                Some(member) if is_expired(&self.config, member, now) => self.remove_member(&host),
                Some(_) => return Some(host),
                None => {}
            }
        }
        None
    }
}

fn hosts_where(table: &BTreeMap<HostId, Member>, accept: impl Fn(&Member) -> bool) -> Vec<HostId> {
    table.iter().filter(|(_, member)| accept(member)).map(|(host, _)| host.clone()).collect()
}

/// Whether the retention of a candidate or failed member has expired.
fn is_expired(config: &MembersConfig, member: &Member, now: Time) -> bool {
    let age = now.since(member.changed_at);
    match member.listed.map(|entry| entry.state) {
        Some(ListedState::Live | ListedState::Leaving) => false,
        Some(ListedState::Absent) => age > config.absent_retention,
        None => age > config.unlisted_retention,
    }
}
