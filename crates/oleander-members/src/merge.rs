//! Applies received messages, updates and host lists.

use std::collections::BTreeSet;

use oleander_core::{HostId, Revision, Time};

use crate::{
    Facts, HostList, Incarnation, ListedHost, ListedState, Liveness, MemberAction, MemberState,
    Members, Message, MessageKind, Profile, Update, member::Member, message::Cursor,
    update_queue::UpdateKind,
};

/// Probe intervals for which a message from a member itself takes precedence over suspicions and
/// failures that others report.
const DIRECT_EVIDENCE_ROUNDS: u64 = 2;

impl Members {
    pub(crate) fn receive(&mut self, now: Time, from: &HostId, message: Message) {
        if from == &self.local.profile.host {
            return;
        }
        self.observe_revision(message.newest);
        for update in message.updates {
            self.apply_update(now, update);
        }
        self.record_contact(now, from, message.incarnation, message.leaving, &message.facts);
        self.reply(now, from, message.kind);
    }

    /// Stores what a message from a member itself shows: it runs, with this incarnation and facts.
    fn record_contact(
        &mut self,
        now: Time,
        from: &HostId,
        incarnation: Incarnation,
        leaving: bool,
        facts: &Facts,
    ) {
        let Some(member) = self.table.get(from) else { return };
        let known = member.incarnation();
        if incarnation.started < known.started {
            return;
        }
        let refuted = incarnation > known && member.needs_refutation;
        let facts_changed =
            incarnation.started > known.started || facts.version > member.facts.version;
        let left = leaving && !member.leaving;
        self.update_member(from, |member| {
            if incarnation > known {
                member.adopt_incarnation(now, incarnation, Liveness::Live);
            }
            member.leaving |= leaving;
            member.last_seen = Some(now);
            member.set_liveness(now, Liveness::Live);
            member.update_facts(facts);
        });
        self.suspicions.remove(from);
        if refuted || left {
            self.update_queue.add(UpdateKind::State, from);
        }
        if facts_changed {
            self.actions.push(MemberAction::FactsChanged { host: from.clone() });
        }
    }

    fn reply(&mut self, now: Time, from: &HostId, kind: MessageKind) {
        match kind {
            MessageKind::Probe { sequence, page: None } => {
                self.send(from, MessageKind::Ack { sequence, next: None });
            }
            MessageKind::Probe { sequence, page: Some(page) } => {
                let message = self.compose_page(from, sequence, &page);
                self.actions.push(MemberAction::Send { to: from.clone(), message });
            }
            MessageKind::Ack { sequence, next } => self.handle_ack(from, sequence, next),
            MessageKind::ProbeFor { sequence, target } => self.relay(now, from, sequence, &target),
            MessageKind::Notice => {}
        }
    }

    /// Forwards the acknowledgement of a relayed probe to its requester; otherwise completes this
    /// host's own probe.
    fn handle_ack(&mut self, from: &HostId, sequence: u32, next: Option<Cursor>) {
        if let Some((requester, sequence)) = self.probes.take_relayed(sequence) {
            self.send(&requester, MessageKind::Ack { sequence, next: None });
            return;
        }
        let own = self
            .probes
            .outstanding
            .as_ref()
            .is_some_and(|probe| probe.sequence == sequence && &probe.host == from);
        if own {
            self.next_page = self.next_page.take().and(next);
            self.update_member(from, |member| member.profile_acked = true);
        }
        self.probes.complete(sequence);
    }

    /// Probes `target` on behalf of `requester`.
    fn relay(&mut self, now: Time, requester: &HostId, sequence: u32, target: &HostId) {
        if !self.table.contains_key(target) || !self.table.contains_key(requester) {
            return;
        }
        let timeout = self.config.probe_interval;
        if let Some(sequence) = self.probes.start_relayed(now, requester.clone(), sequence, timeout)
        {
            self.send(target, MessageKind::Probe { sequence, page: None });
        }
    }

    fn apply_update(&mut self, now: Time, update: Update) {
        match update {
            Update::Joined { profile, refutations } => self.apply_joined(now, profile, refutations),
            Update::State { host, incarnation, liveness, leaving } => {
                self.apply_state(now, &host, incarnation, liveness, leaving);
            }
            Update::Listed { host, revision, state } => self.apply_listed(&host, revision, state),
            Update::Facts { host, started, facts } => self.apply_facts(&host, started, &facts),
        }
    }

    fn apply_joined(&mut self, now: Time, profile: Profile, refutations: u32) {
        let host = profile.host.clone();
        let incarnation = Incarnation { started: profile.started, refutations };
        if host == self.local.profile.host {
            self.refute(incarnation, Liveness::Live);
            return;
        }
        let member = self.table.entry(host.clone()).or_insert_with(|| {
            Member::candidate(Profile { started: Time(0), ..profile.clone() }, now)
        });
        let started = member.profile.started;
        let profile = Profile { started, ..profile };
        if incarnation.started >= started && member.profile != profile {
            member.profile = profile;
            self.update_queue.add(UpdateKind::Joined, &host);
        }
        self.apply_state(now, &host, incarnation, Liveness::Live, false);
    }

    fn apply_state(
        &mut self,
        now: Time,
        host: &HostId,
        incarnation: Incarnation,
        liveness: Liveness,
        leaving: bool,
    ) {
        if host == &self.local.profile.host {
            self.refute(incarnation, liveness);
            return;
        }
        let window = self.config.probe_interval * DIRECT_EVIDENCE_ROUNDS;
        let Some(member) = self.table.get_mut(host) else { return };
        let known = member.incarnation();
        if incarnation.started < known.started {
            return;
        }
        let worse = incarnation == known && member.liveness.is_none_or(|l| liveness > l);
        let contradicted = worse && member.seen_within(now, window);
        member.needs_refutation |= worse && liveness != Liveness::Live;
        let adopted = incarnation > known || (worse && !contradicted);
        let left = leaving && (!member.leaving || incarnation.started > known.started);
        if !adopted && !left {
            return;
        }
        self.update_queue.add(UpdateKind::State, host);
        self.update_member(host, |member| {
            if adopted {
                member.adopt_incarnation(now, incarnation, liveness);
            }
            member.leaving |= leaving;
        });
        if adopted {
            self.update_suspicion(now, host, liveness);
        }
    }

    /// Starts the suspicion timeout of a suspect member, else cancels it.
    fn update_suspicion(&mut self, now: Time, host: &HostId, liveness: Liveness) {
        if liveness == Liveness::Suspect {
            let deadline = now + self.config.suspicion_timeout(self.host_count());
            self.suspicions.insert(host.clone(), deadline);
        } else {
            self.suspicions.remove(host);
        }
    }

    /// Refutes an update about this host that names a newer run, or a suspicion or failure of the
    /// current one.
    fn refute(&mut self, claimed: Incarnation, liveness: Liveness) {
        let own = self.local.incarnation();
        let kind = if claimed.started > own.started {
            self.local.profile.started = Time(claimed.started.0 + 1);
            self.local.refutations = 0;
            UpdateKind::Joined
        } else if claimed >= own && liveness != Liveness::Live {
            self.local.refutations = claimed.refutations + 1;
            UpdateKind::State
        } else {
            return;
        };
        self.update_queue.add(kind, &self.local.profile.host);
    }

    fn apply_facts(&mut self, host: &HostId, started: Time, facts: &Facts) {
        let Some(member) = self.table.get_mut(host) else { return };
        if member.profile.started == started && member.update_facts(facts) {
            self.update_queue.add(UpdateKind::Facts, host);
            self.actions.push(MemberAction::FactsChanged { host: host.clone() });
        }
    }

    /// Applies a complete host list, unless a newer one is known.
    pub(crate) fn apply_host_list(&mut self, now: Time, list: HostList) {
        if self.list_revision.is_some_and(|known| known > list.revision) {
            return;
        }
        self.list_revision = Some(list.revision);
        let listed: BTreeSet<HostId> = list.hosts.iter().map(|host| host.host.clone()).collect();
        for host in list.hosts {
            self.apply_list_entry(now, list.revision, &host);
        }
        let missing: Vec<HostId> = self
            .table
            .iter()
            .filter(|(host, member)| member.listed.is_some() && !listed.contains(*host))
            .map(|(host, _)| host.clone())
            .collect();
        for host in missing {
            self.apply_listed(&host, list.revision, ListedState::Absent);
        }
    }

    fn apply_list_entry(&mut self, now: Time, revision: Revision, host: &ListedHost) {
        if host.host != self.local.profile.host {
            let member = self.table.entry(host.host.clone()).or_insert_with(|| {
                self.actions.push(MemberAction::StateChanged {
                    host: host.host.clone(),
                    state: MemberState::Candidate,
                });
                Member::from_list(host, now)
            });
            if !member.is_up() {
                member.profile.address = host.address;
            }
        }
        self.apply_listed(&host.host, revision, host.state());
    }

    /// Applies the state of one host in a host list.
    fn apply_listed(&mut self, host: &HostId, revision: Revision, state: ListedState) {
        if host == &self.local.profile.host {
            if self.local.set_listed(revision, state) && state == ListedState::Leaving {
                let (host, state) = (host.clone(), MemberState::Leaving);
                self.actions.push(MemberAction::StateChanged { host, state });
            }
            return;
        }
        let mut changed = false;
        self.update_member(host, |member| changed = member.set_listed(revision, state));
        if !changed {
            return;
        }
        let candidate = self.table.get(host).is_some_and(|member| member.liveness.is_none());
        if state == ListedState::Absent && candidate {
            self.remove_member(host);
        } else {
            self.update_queue.add(UpdateKind::Listed, host);
        }
    }
}
