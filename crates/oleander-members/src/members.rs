//! The membership state machine: its state, queries and the changes to this host itself.

use std::{collections::BTreeMap, mem, net::SocketAddr};

use oleander_core::{HostId, Revision, Time};
use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::{
    Facts, ListedState, Liveness, MAX_PAYLOAD_BYTES, MemberAction, MemberEvent, MemberState,
    MemberView, MembersConfig, Message, MessageKind, Profile,
    member::Member,
    message::Cursor,
    probe::{ProbeOrder, Probes},
    update_queue::{UpdateKind, UpdateQueue},
};

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
    pub(crate) up_order: ProbeOrder,
    pub(crate) down_order: ProbeOrder,
    pub(crate) rng: Pcg32,
    pub(crate) round: u64,
    pub(crate) next_round: Option<Time>,
    pub(crate) last_tick: Option<Time>,
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
            MemberEvent::Contact { host } => self.contact(&host),
            MemberEvent::Unanswered { host, is_refused } => {
                self.record_unanswered(now, &host, is_refused);
            }
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

    /// Whether the list had one other member and has it no more.
    #[must_use]
    pub fn was_dropped(&self, host: &HostId) -> bool {
        self.table.get(host).is_some_and(|member| member.is_listed_as(ListedState::Absent))
    }

    /// Since when one other member has counted as failed.
    #[must_use]
    pub fn failed_since(&self, host: &HostId) -> Option<Time> {
        let member = self.table.get(host)?;
        (member.state() == MemberState::Failed).then_some(member.changed_at)
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
    pub(crate) fn random_live_members(&mut self, count: usize, except: &HostId) -> Vec<HostId> {
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
