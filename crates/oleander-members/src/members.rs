//! The state machine.

use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    net::SocketAddr,
};

use oleander_core::{HostId, Revision, Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::{
    Facts, ListedState, Liveness, MAX_PAYLOAD_BYTES, MemberAction, MemberEvent, MemberState,
    MemberView, MembersConfig, Message, MessageKind, Profile,
    member::Member,
    message::Cursor,
    probe::{Probes, Ring},
    rumours::{Rumours, Topic},
};

/// One in this many rounds probes a candidate or failed member, if there is one.
const DOWN_ROUNDS: u64 = 4;

/// Membership as one host sees it.
///
/// # Examples
///
/// ```
/// use oleander_core::Time;
/// use oleander_members::{MemberEvent, MemberRole, Members, MembersConfig, Profile};
///
/// # fn main() -> Result<(), oleander_core::ParseIdError> {
/// let me = Profile {
///     host: "entry-1".parse()?,
///     zone: "junin".parse()?,
///     role: MemberRole::Entry,
///     address: ([127, 0, 0, 1], 7001).into(),
///     started: Time(1_700_000_000_000_000),
/// };
/// let mut members = Members::new(MembersConfig::new(), me, 1);
/// let actions = members.handle(Time(1_700_000_000_100_000), MemberEvent::Tick);
/// assert!(actions.is_empty(), "nobody to probe yet");
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Members {
    pub(crate) config: MembersConfig,
    pub(crate) local: Member,
    pub(crate) table: BTreeMap<HostId, Member>,
    pub(crate) rumours: Rumours,
    pub(crate) newest_revision: Option<Revision>,
    pub(crate) list_revision: Option<Revision>,
    /// Where the next refresh of an arbitrary member starts.
    pub(crate) refresh: Cursor,
    /// Next page to ask for after a start; `None` once all pages are in.
    pub(crate) page: Option<Cursor>,
    pub(crate) suspicions: BTreeMap<HostId, Time>,
    pub(crate) actions: Vec<MemberAction>,
    pub(crate) probes: Probes,
    up: Ring,
    down: Ring,
    rng: Pcg32,
    round: u64,
    next_round: Option<Time>,
    last_tick: Option<Time>,
}

impl Members {
    /// Membership of the host described by `profile`, which knows no other yet.
    ///
    /// Hosts take different seeds, so that they don't probe in step.
    #[must_use]
    pub fn new(config: MembersConfig, profile: Profile, seed: u64) -> Self {
        let mut rumours = Rumours::default();
        rumours.add(Topic::Joined, &profile.host);
        let started = profile.started;
        let mut local = Member::candidate(profile, started);
        local.set_liveness(started, Liveness::Live);
        Self {
            config,
            local,
            table: BTreeMap::new(),
            rumours,
            newest_revision: None,
            list_revision: None,
            refresh: Cursor::Start,
            page: Some(Cursor::Start),
            suspicions: BTreeMap::new(),
            actions: Vec::new(),
            probes: Probes::default(),
            up: Ring::default(),
            down: Ring::default(),
            rng: Pcg32::seed_from_u64(seed),
            round: 0,
            next_round: None,
            last_tick: None,
        }
    }

    /// Takes in one event and returns what is to be done about it.
    pub fn handle(&mut self, now: Time, event: MemberEvent) -> Vec<MemberAction> {
        match event {
            MemberEvent::Tick => self.tick(now),
            MemberEvent::Received { from, message } => self.receive(now, &from, message),
            MemberEvent::Listed(list) => self.apply_host_list(now, list),
            MemberEvent::Published { revision, payload } => self.publish(revision, payload),
            MemberEvent::Leave => self.leave(),
        }
        mem::take(&mut self.actions)
    }

    /// All other members, ordered by name.
    pub fn view(&self) -> impl Iterator<Item = MemberView> + '_ {
        self.table.values().map(Member::view)
    }

    /// State of one other member.
    #[must_use]
    pub fn state(&self, host: &HostId) -> Option<MemberState> {
        self.table.get(host).map(Member::state)
    }

    /// Address of one other member.
    #[must_use]
    pub fn address(&self, host: &HostId) -> Option<SocketAddr> {
        self.table.get(host).map(|member| member.profile.address)
    }

    /// This host as it tells others.
    #[must_use]
    pub fn local(&self) -> MemberView {
        self.local.view()
    }

    /// Newest configuration revision heard of.
    #[must_use]
    pub const fn newest_revision(&self) -> Option<Revision> {
        self.newest_revision
    }

    /// Number of hosts, this one included.
    pub(crate) fn hosts(&self) -> usize {
        self.table.len() + 1
    }

    fn tick(&mut self, now: Time) {
        self.allow_for_pause(now);
        self.relay_late_probe(now);
        self.expire_suspicions(now);
        if now >= self.due_round(now) {
            self.next_round = Some(now + self.config.probe_interval);
            self.start_round(now);
        }
    }

    /// When the next round is due: at once if the clock was set back by more than a round.
    fn due_round(&mut self, now: Time) -> Time {
        let interval = self.config.probe_interval;
        let phase = Span(self.rng.random_range(0..interval.0.max(1)));
        let due = *self.next_round.get_or_insert(now + phase);
        if due.since(now) > interval { now } else { due }
    }

    /// Suspects nobody for the time in which this process itself did not run.
    fn allow_for_pause(&mut self, now: Time) {
        let gap = self.last_tick.replace(now).map_or(Span::ZERO, |last| now.since(last));
        if gap <= self.config.probe_interval {
            return;
        }
        self.probes.outstanding = None;
        for deadline in self.suspicions.values_mut() {
            *deadline = *deadline + gap;
        }
    }

    /// Asks relays to probe a member that did not answer in time.
    fn relay_late_probe(&mut self, now: Time) {
        let timeout = self.config.ack_timeout;
        let Some(probe) = &mut self.probes.outstanding else { return };
        if probe.relayed || now.since(probe.sent) < timeout {
            return;
        }
        probe.relayed = true;
        let (sequence, target) = (probe.sequence, probe.target.clone());
        for relay in self.random_members(self.config.indirect_probes, &target) {
            self.send(&relay, MessageKind::ProbeFor { sequence, target: target.clone() });
        }
    }

    fn expire_suspicions(&mut self, now: Time) {
        let due = |(_, deadline): &(&HostId, &Time)| **deadline <= now;
        let expired: Vec<_> =
            self.suspicions.iter().filter(due).map(|(host, _)| host.clone()).collect();
        for host in expired {
            self.suspicions.remove(&host);
            self.rumours.add(Topic::State, &host);
            self.change(&host, |member| member.set_liveness(now, Liveness::Failed));
        }
    }

    fn start_round(&mut self, now: Time) {
        if let Some(probe) = self.probes.outstanding.take() {
            self.suspect(now, &probe.target);
        }
        self.round += 1;
        let Some(target) = self.next_target(now) else { return };
        let sequence = self.probes.start(now, target.clone());
        let page = self.page.clone();
        self.send(&target, MessageKind::Probe { sequence, page });
    }

    /// Doubts a member that answered neither this host nor a relay.
    fn suspect(&mut self, now: Time, host: &HostId) {
        let deadline = now + self.config.suspicion_timeout(self.hosts());
        let Some(member) = self.table.get_mut(host) else { return };
        match member.liveness {
            None => self.change(host, |member| member.set_liveness(now, Liveness::Failed)),
            Some(Liveness::Live) => {
                member.accused = true;
                self.suspicions.insert(host.clone(), deadline);
                self.rumours.add(Topic::State, host);
                self.change(host, |member| member.set_liveness(now, Liveness::Suspect));
            }
            Some(Liveness::Suspect | Liveness::Failed) => {}
        }
    }

    fn next_target(&mut self, now: Time) -> Option<HostId> {
        let down_first = self.round.is_multiple_of(DOWN_ROUNDS);
        if down_first {
            self.next_down(now).or_else(|| self.next_up())
        } else {
            self.next_up().or_else(|| self.next_down(now))
        }
    }

    fn next_up(&mut self) -> Option<HostId> {
        for _ in 0..=self.table.len() {
            if self.up.is_done() {
                self.up.refill(hosts_where(&self.table, Member::is_up), &mut self.rng);
            }
            let host = self.up.advance()?;
            if self.table.get(&host).is_some_and(Member::is_up) {
                return Some(host);
            }
        }
        None
    }

    /// The next candidate or failed member; forgets those whose time is over.
    fn next_down(&mut self, now: Time) -> Option<HostId> {
        for _ in 0..=self.table.len() {
            if self.down.is_done() {
                self.down.refill(hosts_where(&self.table, |m| !m.is_up()), &mut self.rng);
            }
            let host = self.down.advance()?;
            match self.table.get(&host) {
                Some(member) if member.is_up() => {}
                Some(member) if is_over(&self.config, member, now) => self.forget(&host),
                Some(_) => return Some(host),
                None => {}
            }
        }
        None
    }

    /// Drops a member from the table.
    pub(crate) fn forget(&mut self, host: &HostId) {
        let Some(member) = self.table.remove(host) else { return };
        self.rumours.forget(host);
        self.suspicions.remove(host);
        if member.state() != MemberState::Failed {
            let state = MemberState::Failed;
            self.actions.push(MemberAction::StateChanged { host: host.clone(), state });
        }
    }

    /// Changes a member and reports its state if it is another than before.
    pub(crate) fn change(&mut self, host: &HostId, change: impl FnOnce(&mut Member)) {
        let Some(member) = self.table.get_mut(host) else { return };
        let before = member.state();
        change(member);
        let state = member.state();
        if state != before {
            self.actions.push(MemberAction::StateChanged { host: host.clone(), state });
        }
    }

    fn publish(&mut self, revision: Option<Revision>, mut payload: Vec<u8>) {
        payload.truncate(MAX_PAYLOAD_BYTES);
        let version = self.local.facts.version + 1;
        self.local.facts = Facts { version, revision, payload };
        self.rumours.add(Topic::Facts, &self.local.profile.host);
        self.hear_newest(revision);
    }

    /// Takes in a configuration revision that exists.
    pub(crate) fn hear_newest(&mut self, revision: Option<Revision>) {
        if revision > self.newest_revision {
            self.newest_revision = revision;
            self.actions.extend(revision.map(MemberAction::NewestRevision));
        }
    }

    fn leave(&mut self) {
        if mem::replace(&mut self.local.leaving, true) {
            return;
        }
        let me = self.local.profile.host.clone();
        self.rumours.add(Topic::State, &me);
        for host in self.random_members(self.config.indirect_probes, &me) {
            self.send(&host, MessageKind::Notice);
        }
        self.actions.push(MemberAction::StateChanged { host: me, state: MemberState::Leaving });
    }

    /// Random members that answer, other than `except`.
    fn random_members(&mut self, count: usize, except: &HostId) -> Vec<HostId> {
        let Self { up, rng, table, .. } = self;
        up.draw(count, rng, |host| {
            host != except && table.get(host).is_some_and(|m| m.liveness == Some(Liveness::Live))
        })
    }

    pub(crate) fn send(&mut self, to: &HostId, kind: MessageKind) {
        let message: Message = self.compose(to, kind);
        self.actions.push(MemberAction::Send { to: to.clone(), message });
    }
}

fn hosts_where(table: &BTreeMap<HostId, Member>, accept: impl Fn(&Member) -> bool) -> Vec<HostId> {
    table.iter().filter(|(_, member)| accept(member)).map(|(host, _)| host.clone()).collect()
}

/// Whether a member that does not answer is to be forgotten.
fn is_over(config: &MembersConfig, member: &Member, now: Time) -> bool {
    let age = now.since(member.changed);
    match member.listed.map(|mark| mark.state) {
        Some(ListedState::Live | ListedState::Leaving) => false,
        Some(ListedState::Absent) => age > config.absent_retention,
        None => age > config.unlisted_retention,
    }
}

/// The distinct hosts of a list.
pub(crate) type HostSet = BTreeSet<HostId>;
