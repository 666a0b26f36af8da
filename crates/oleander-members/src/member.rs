//! What a host knows of one other member.

use oleander_core::{Revision, Span, Time, value};
use serde::{Deserialize, Serialize};

use crate::{
    Facts, Incarnation, ListedHost, ListedState, Liveness, Profile, Update, host_list::ListMark,
};

/// State of a member as the other parts of the system see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Listed, but nobody vouched for it yet.
    Candidate,
    /// Answers.
    Live,
    /// Did not answer a probe lately.
    Suspect,
    /// Answers, or did until lately, and takes no new work.
    Leaving,
    /// Does not answer.
    Failed,
}

value! {
    /// A member as the other parts of the system see it.
    pub struct MemberView {
        /// Who it is.
        pub profile: Profile,
        /// Its state.
        pub state: MemberState,
        /// Facts last received from or about it.
        pub facts: Facts,
        /// Last message from itself.
        pub last_seen: Option<Time>,
    }
}

/// A member in the table.
#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) profile: Profile,
    pub(crate) refutations: u32,
    /// `None` while nobody vouched for it.
    pub(crate) liveness: Option<Liveness>,
    /// Whether this run of its process said that it is leaving.
    pub(crate) leaving: bool,
    pub(crate) listed: Option<ListMark>,
    /// Whether its present incarnation is held suspect or failed by some host.
    pub(crate) accused: bool,
    /// Whether it knows this host's profile.
    pub(crate) introduced: bool,
    pub(crate) facts: Facts,
    pub(crate) last_seen: Option<Time>,
    /// When its liveness last changed.
    pub(crate) changed: Time,
}

impl Member {
    /// A member nobody vouched for yet.
    pub(crate) fn candidate(profile: Profile, now: Time) -> Self {
        Self {
            profile,
            refutations: 0,
            liveness: None,
            leaving: false,
            listed: None,
            accused: false,
            introduced: false,
            facts: Facts::default(),
            last_seen: None,
            changed: now,
        }
    }

    /// The candidate that a list names.
    pub(crate) fn listed(host: &ListedHost, now: Time) -> Self {
        let profile = Profile {
            host: host.host.clone(),
            zone: host.zone.clone(),
            role: host.role,
            address: host.address,
            started: Time(0),
        };
        Self::candidate(profile, now)
    }

    pub(crate) const fn incarnation(&self) -> Incarnation {
        Incarnation { started: self.profile.started, refutations: self.refutations }
    }

    /// The state that results from its own word, the list, and whether it answers.
    pub(crate) fn state(&self) -> MemberState {
        match self.liveness {
            Some(Liveness::Failed) => MemberState::Failed,
            _ if self.leaving || self.is_listed(ListedState::Leaving) => MemberState::Leaving,
            None => MemberState::Candidate,
            Some(Liveness::Live) => MemberState::Live,
            Some(Liveness::Suspect) => MemberState::Suspect,
        }
    }

    /// Whether it is to be probed in the ordinary rounds.
    pub(crate) const fn is_up(&self) -> bool {
        matches!(self.liveness, Some(Liveness::Live | Liveness::Suspect))
    }

    pub(crate) fn is_listed(&self, state: ListedState) -> bool {
        self.listed.is_some_and(|mark| mark.state == state)
    }

    /// Whether it spoke to this host within `window`.
    pub(crate) fn seen_within(&self, now: Time, window: Span) -> bool {
        self.last_seen.is_some_and(|seen| now.since(seen) <= window)
    }

    pub(crate) fn set_liveness(&mut self, now: Time, liveness: Liveness) {
        if self.liveness != Some(liveness) {
            self.liveness = Some(liveness);
            self.changed = now;
        }
    }

    /// Steps to a newer incarnation that is said to be `liveness`.
    pub(crate) fn advance(&mut self, now: Time, incarnation: Incarnation, liveness: Liveness) {
        if incarnation.started > self.profile.started {
            self.profile.started = incarnation.started;
            self.leaving = false;
            self.introduced = false;
            self.facts = Facts::default();
        }
        self.refutations = incarnation.refutations;
        self.accused = liveness != Liveness::Live;
        self.set_liveness(now, liveness);
    }

    /// Takes in a mark of a newer list; tells whether it says something else than before.
    pub(crate) fn mark(&mut self, revision: Revision, state: ListedState) -> bool {
        if self.listed.is_some_and(|mark| mark.revision >= revision) {
            return false;
        }
        let before = self.listed.replace(ListMark { revision, state });
        match before {
            Some(before) => before.state != state,
            None => state == ListedState::Leaving,
        }
    }

    /// Takes in facts of its present run; tells whether they are newer.
    pub(crate) fn learn(&mut self, facts: &Facts) -> bool {
        let newer = facts.version > self.facts.version;
        if newer {
            self.facts = facts.clone();
        }
        newer
    }

    pub(crate) fn view(&self) -> MemberView {
        MemberView {
            profile: self.profile.clone(),
            state: self.state(),
            facts: self.facts.clone(),
            last_seen: self.last_seen,
        }
    }

    /// What others are told of its profile; nothing for a host known from the list only.
    pub(crate) fn joined_update(&self) -> Option<Update> {
        self.liveness?;
        let known = self.profile.started > Time(0);
        let (profile, refutations) = (self.profile.clone(), self.refutations);
        known.then_some(Update::Joined { profile, refutations })
    }

    /// What others are told of its state; nothing for a host known from the list only.
    pub(crate) fn state_update(&self) -> Option<Update> {
        let liveness = self.liveness.filter(|_| self.profile.started > Time(0))?;
        let (host, incarnation) = (self.profile.host.clone(), self.incarnation());
        Some(Update::State { host, incarnation, liveness, leaving: self.leaving })
    }

    /// What others are told of its place in the list.
    pub(crate) fn listed_update(&self) -> Option<Update> {
        let ListMark { revision, state } = self.listed?;
        Some(Update::Listed { host: self.profile.host.clone(), revision, state })
    }

    /// What others are told of its facts.
    pub(crate) fn facts_update(&self) -> Option<Update> {
        let known = self.facts.version > 0;
        let (host, started) = (self.profile.host.clone(), self.profile.started);
        known.then(|| Update::Facts { host, started, facts: self.facts.clone() })
    }
}
