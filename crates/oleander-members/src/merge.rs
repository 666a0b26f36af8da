//! Takes in messages, news and lists.

use oleander_core::{HostId, Revision, Time};

use crate::{
    Facts, HostList, Incarnation, ListedHost, ListedState, Liveness, MemberAction, MemberState,
    Members, Message, MessageKind, Profile, Update, member::Member, members::HostSet,
    message::Cursor, rumours::Topic,
};

/// Probe intervals for which a direct message outweighs what others say.
const DIRECT_ROUNDS: u64 = 2;

impl Members {
    pub(crate) fn receive(&mut self, now: Time, from: &HostId, message: Message) {
        if from == &self.local.profile.host {
            return;
        }
        self.hear_newest(message.newest);
        for update in message.updates {
            self.apply_update(now, update);
        }
        self.hear(now, from, message.incarnation, message.leaving, &message.facts);
        self.answer(now, from, message.kind);
    }

    /// Takes in direct evidence that a member runs.
    fn hear(
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
        let refuted = incarnation > known && member.accused;
        let learned = incarnation.started > known.started || facts.version > member.facts.version;
        let left = leaving && !member.leaving;
        self.change(from, |member| {
            if incarnation > known {
                member.advance(now, incarnation, Liveness::Live);
            }
            member.leaving |= leaving;
            member.last_seen = Some(now);
            member.set_liveness(now, Liveness::Live);
            member.learn(facts);
        });
        self.suspicions.remove(from);
        if refuted || left {
            self.rumours.add(Topic::State, from);
        }
        if learned {
            self.actions.push(MemberAction::FactsChanged { host: from.clone() });
        }
    }

    fn answer(&mut self, now: Time, from: &HostId, kind: MessageKind) {
        match kind {
            MessageKind::Probe { sequence, page: None } => {
                self.send(from, MessageKind::Ack { sequence, next: None });
            }
            MessageKind::Probe { sequence, page: Some(page) } => {
                let message = self.compose_page(from, sequence, &page);
                self.actions.push(MemberAction::Send { to: from.clone(), message });
            }
            MessageKind::Ack { sequence, next } => self.acknowledge(from, sequence, next),
            MessageKind::ProbeFor { sequence, target } => self.relay(now, from, sequence, &target),
            MessageKind::Notice => {}
        }
    }

    fn acknowledge(&mut self, from: &HostId, sequence: u32, next: Option<Cursor>) {
        if let Some((origin, sequence)) = self.probes.take_relayed(sequence) {
            self.send(&origin, MessageKind::Ack { sequence, next: None });
            return;
        }
        let own = self
            .probes
            .outstanding
            .as_ref()
            .is_some_and(|probe| probe.sequence == sequence && &probe.target == from);
        if own {
            self.page = self.page.take().and(next);
            self.change(from, |member| member.introduced = true);
        }
        self.probes.acknowledge(sequence);
    }

    fn relay(&mut self, now: Time, origin: &HostId, sequence: u32, target: &HostId) {
        if !self.table.contains_key(target) || !self.table.contains_key(origin) {
            return;
        }
        let timeout = self.config.probe_interval;
        if let Some(sequence) = self.probes.relay(now, origin.clone(), sequence, timeout) {
            self.send(target, MessageKind::Probe { sequence, page: None });
        }
    }

    fn apply_update(&mut self, now: Time, update: Update) {
        match update {
            Update::Joined { profile, refutations } => self.apply_joined(now, profile, refutations),
            Update::State { host, incarnation, liveness, leaving } => {
                self.apply_state(now, &host, incarnation, liveness, leaving);
            }
            Update::Listed { host, revision, state } => self.apply_mark(&host, revision, state),
            Update::Facts { host, started, facts } => self.apply_facts(&host, started, &facts),
        }
    }

    fn apply_joined(&mut self, now: Time, profile: Profile, refutations: u32) {
        let host = profile.host.clone();
        let incarnation = Incarnation { started: profile.started, refutations };
        if host == self.local.profile.host {
            self.defend(incarnation, Liveness::Live);
            return;
        }
        let member = self.table.entry(host.clone()).or_insert_with(|| {
            Member::candidate(Profile { started: Time(0), ..profile.clone() }, now)
        });
        let started = member.profile.started;
        let profile = Profile { started, ..profile };
        if incarnation.started >= started && member.profile != profile {
            member.profile = profile;
            self.rumours.add(Topic::Joined, &host);
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
            self.defend(incarnation, liveness);
            return;
        }
        let window = self.config.probe_interval * DIRECT_ROUNDS;
        let Some(member) = self.table.get_mut(host) else { return };
        let known = member.incarnation();
        if incarnation.started < known.started {
            return;
        }
        let worse = incarnation == known && member.liveness.is_none_or(|l| liveness > l);
        let contradicted = worse && member.seen_within(now, window);
        member.accused |= worse && liveness != Liveness::Live;
        let adopted = incarnation > known || (worse && !contradicted);
        let left = leaving && (!member.leaving || incarnation.started > known.started);
        if !adopted && !left {
            return;
        }
        self.rumours.add(Topic::State, host);
        self.change(host, |member| {
            if adopted {
                member.advance(now, incarnation, liveness);
            }
            member.leaving |= leaving;
        });
        if adopted {
            self.watch_suspicion(now, host, liveness);
        }
    }

    fn watch_suspicion(&mut self, now: Time, host: &HostId, liveness: Liveness) {
        if liveness == Liveness::Suspect {
            let deadline = now + self.config.suspicion_timeout(self.hosts());
            self.suspicions.insert(host.clone(), deadline);
        } else {
            self.suspicions.remove(host);
        }
    }

    /// Refutes what is said of this host, if it is wrong.
    fn defend(&mut self, said: Incarnation, liveness: Liveness) {
        let own = self.local.incarnation();
        let topic = if said.started > own.started {
            self.local.profile.started = Time(said.started.0 + 1);
            self.local.refutations = 0;
            Topic::Joined
        } else if said >= own && liveness != Liveness::Live {
            self.local.refutations = said.refutations + 1;
            Topic::State
        } else {
            return;
        };
        self.rumours.add(topic, &self.local.profile.host);
    }

    fn apply_facts(&mut self, host: &HostId, started: Time, facts: &Facts) {
        let Some(member) = self.table.get_mut(host) else { return };
        if member.profile.started == started && member.learn(facts) {
            self.rumours.add(Topic::Facts, host);
            self.actions.push(MemberAction::FactsChanged { host: host.clone() });
        }
    }

    /// Takes in a whole list, unless a newer one is known.
    pub(crate) fn apply_host_list(&mut self, now: Time, list: HostList) {
        if self.list_revision.is_some_and(|known| known > list.revision) {
            return;
        }
        self.list_revision = Some(list.revision);
        let names: HostSet = list.hosts.iter().map(|host| host.host.clone()).collect();
        for host in list.hosts {
            self.apply_listed(now, list.revision, &host);
        }
        let gone: Vec<HostId> = self
            .table
            .iter()
            .filter(|(host, member)| member.listed.is_some() && !names.contains(*host))
            .map(|(host, _)| host.clone())
            .collect();
        for host in gone {
            self.apply_mark(&host, list.revision, ListedState::Absent);
        }
    }

    fn apply_listed(&mut self, now: Time, revision: Revision, host: &ListedHost) {
        if host.host != self.local.profile.host {
            let member = self.table.entry(host.host.clone()).or_insert_with(|| {
                self.actions.push(MemberAction::StateChanged {
                    host: host.host.clone(),
                    state: MemberState::Candidate,
                });
                Member::listed(host, now)
            });
            if !member.is_up() {
                member.profile.address = host.address;
            }
        }
        self.apply_mark(&host.host, revision, host.state());
    }

    /// Takes in what a list says of one host.
    fn apply_mark(&mut self, host: &HostId, revision: Revision, state: ListedState) {
        if host == &self.local.profile.host {
            if self.local.mark(revision, state) && state == ListedState::Leaving {
                let (host, state) = (host.clone(), MemberState::Leaving);
                self.actions.push(MemberAction::StateChanged { host, state });
            }
            return;
        }
        let mut news = false;
        self.change(host, |member| news = member.mark(revision, state));
        if !news {
            return;
        }
        let candidate = self.table.get(host).is_some_and(|member| member.liveness.is_none());
        if state == ListedState::Absent && candidate {
            self.forget(host);
        } else {
            self.rumours.add(Topic::Listed, host);
        }
    }
}
