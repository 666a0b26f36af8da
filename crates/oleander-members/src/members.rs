//! The membership state machine.

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
    probe::{ProbeOrder, Probes},
    update_queue::{UpdateKind, UpdateQueue},
};

/// Every this many rounds, a candidate or failed member is probed first, if there is one.
const DOWN_PROBE_ROUNDS: u64 = 4;

/// One host's view of all members.
///
/// # Examples
///
/// ```
/// use oleander_core::Time;
/// use oleander_members::{MemberEvent, MemberRole, Members, MembersConfig, Profile};
///
/// # fn main() -> Result<(), oleander_core::ParseIdError> {
/// let profile = Profile {
///     host: "entry-1".parse()?,
///     zone: "junin".parse()?,
///     role: MemberRole::Entry,
///     address: ([127, 0, 0, 1], 7001).into(),
///     started: Time(1_700_000_000_000_000),
/// };
/// let mut members = Members::new(MembersConfig::new(), profile, 1);
/// let actions = members.handle(Time(1_700_000_000_100_000), MemberEvent::Tick);
/// assert!(actions.is_empty(), "no member to probe yet");
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Members {
    pub(crate) config: MembersConfig,
    pub(crate) local: Member,
    pub(crate) table: BTreeMap<HostId, Member>,
    pub(crate) update_queue: UpdateQueue,
    pub(crate) newest_revision: Option<Revision>,
    pub(crate) list_revision: Option<Revision>,
    /// Position in the table from which members are added to messages as a refresh.
    pub(crate) refresh_cursor: Cursor,
    /// Next page of the member table to request after a start; `None` once all were received.
    pub(crate) next_page: Option<Cursor>,
    /// Time at which each suspect member becomes failed.
    pub(crate) suspicions: BTreeMap<HostId, Time>,
    pub(crate) actions: Vec<MemberAction>,
    pub(crate) probes: Probes,
    up_order: ProbeOrder,
    down_order: ProbeOrder,
    rng: Pcg32,
    round: u64,
    next_round: Option<Time>,
    last_tick: Option<Time>,
}

impl Members {
    /// Starts the membership of the host described by `profile`, without any other member.
    ///
    /// Each host needs its own `seed`, so that hosts don't probe in the same order and phase.
    #[must_use]
    pub fn new(config: MembersConfig, profile: Profile, seed: u64) -> Self {
        let mut update_queue = UpdateQueue::default();
        update_queue.add(UpdateKind::Joined, &profile.host);
        let started = profile.started;
        let mut local = Member::candidate(profile, started);
        local.set_liveness(started, Liveness::Live);
        Self {
            config,
            local,
            table: BTreeMap::new(),
            update_queue,
            newest_revision: None,
            list_revision: None,
            refresh_cursor: Cursor::Start,
            next_page: Some(Cursor::Start),
            suspicions: BTreeMap::new(),
            actions: Vec::new(),
            probes: Probes::default(),
            up_order: ProbeOrder::default(),
            down_order: ProbeOrder::default(),
            rng: Pcg32::seed_from_u64(seed),
            round: 0,
            next_round: None,
            last_tick: None,
        }
    }

    /// Handles one event and returns the resulting actions.
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

    /// This host itself.
    #[must_use]
    pub fn local(&self) -> MemberView {
        self.local.view()
    }

    /// Newest configuration revision received or published.
    #[must_use]
    pub const fn newest_revision(&self) -> Option<Revision> {
        self.newest_revision
    }

    /// Number of hosts, this one included.
    pub(crate) fn host_count(&self) -> usize {
        self.table.len() + 1
    }

    fn tick(&mut self, now: Time) {
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

    /// Removes a member from the table.
    pub(crate) fn remove_member(&mut self, host: &HostId) {
        let Some(member) = self.table.remove(host) else { return };
        self.update_queue.remove_host(host);
        self.suspicions.remove(host);
        if member.state() != MemberState::Failed {
            let state = MemberState::Failed;
            self.actions.push(MemberAction::StateChanged { host: host.clone(), state });
        }
    }

    /// Changes a member and reports its state if that changed.
    pub(crate) fn update_member(&mut self, host: &HostId, change: impl FnOnce(&mut Member)) {
        let Some(member) = self.table.get_mut(host) else { return };
        let before = member.state();
        change(member);
        let state = member.state();
        if state != before {
            self.actions.push(MemberAction::StateChanged { host: host.clone(), state });
        }
    }

    /// Replaces this host's own facts.
    fn publish(&mut self, revision: Option<Revision>, mut payload: Vec<u8>) {
        payload.truncate(MAX_PAYLOAD_BYTES);
        let version = self.local.facts.version + 1;
        self.local.facts = Facts { version, revision, payload };
        self.update_queue.add(UpdateKind::Facts, &self.local.profile.host);
        self.observe_revision(revision);
    }

    /// Stores a configuration revision and reports it if it is the newest known.
    pub(crate) fn observe_revision(&mut self, revision: Option<Revision>) {
        if revision > self.newest_revision {
            self.newest_revision = revision;
            self.actions.extend(revision.map(MemberAction::NewestRevision));
        }
    }

    /// Announces once that this host is leaving, also to a few members at once.
    fn leave(&mut self) {
        if mem::replace(&mut self.local.leaving, true) {
            return;
        }
        let local = self.local.profile.host.clone();
        self.update_queue.add(UpdateKind::State, &local);
        for host in self.random_live_members(self.config.indirect_probes, &local) {
            self.send(&host, MessageKind::Notice);
        }
        self.actions.push(MemberAction::StateChanged { host: local, state: MemberState::Leaving });
    }

    /// Up to `count` random live members other than `except`.
    fn random_live_members(&mut self, count: usize, except: &HostId) -> Vec<HostId> {
        let Self { up_order, rng, table, .. } = self;
        up_order.sample(count, rng, |host| {
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

/// Whether the retention of a candidate or failed member has expired.
fn is_expired(config: &MembersConfig, member: &Member, now: Time) -> bool {
    let age = now.since(member.changed_at);
    match member.listed.map(|entry| entry.state) {
        Some(ListedState::Live | ListedState::Leaving) => false,
        Some(ListedState::Absent) => age > config.absent_retention,
        None => age > config.unlisted_retention,
    }
}

/// The names in a host list.
pub(crate) type HostSet = BTreeSet<HostId>;
