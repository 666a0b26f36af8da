//! What a host knows about one member.

use oleander_core::{Revision, Span, Time, value};
use serde::{Deserialize, Serialize};

use crate::{
    Facts, Incarnation, ListedHost, ListedState, Liveness, Profile, Update, host_list::ListEntry,
};

/// State of a member as reported to the rest of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// In the host list, but not yet seen to run by any host.
    Candidate,
    /// Acknowledges probes.
    Live,
    /// Did not acknowledge a recent probe.
    Suspect,
    /// Runs, or did until recently, and takes no new work.
    Leaving,
    /// Did not refute a suspicion, or never acknowledged a probe.
    Failed,
}

value! {
    /// A member as reported to the rest of the system.
    pub struct MemberView {
        /// Its profile.
        pub profile: Profile,
        /// Its state.
        pub state: MemberState,
        /// Facts last received from or about it.
        pub facts: Facts,
        /// Time of the last message from the member itself.
        pub last_seen: Option<Time>,
    }
}

/// A member in the table.
#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) profile: Profile,
    pub(crate) refutations: u32,
    /// `None` until some host has seen it run.
    pub(crate) liveness: Option<Liveness>,
    /// Whether this run of its process announced that it is leaving.
    pub(crate) leaving: bool,
    pub(crate) listed: Option<ListEntry>,
    /// Whether some host considers its current incarnation suspect or failed.
    pub(crate) needs_refutation: bool,
    /// Whether it acknowledged a probe that may carry this host's profile.
    pub(crate) profile_acked: bool,
    pub(crate) facts: Facts,
    pub(crate) last_seen: Option<Time>,
    /// Probes that it has not answered while it was a candidate.
    pub(crate) unanswered: u32,
    /// When its liveness last changed.
    pub(crate) changed_at: Time,
}

impl Member {
    /// A member that no host has seen run yet.
    pub(crate) fn candidate(profile: Profile, now: Time) -> Self {
        Self {
            profile,
            refutations: 0,
            liveness: None,
            leaving: false,
            listed: None,
            needs_refutation: false,
            profile_acked: false,
            facts: Facts::default(),
            last_seen: None,
            unanswered: 0,
            changed_at: now,
        }
    }

    /// A candidate from an entry of the host list.
    pub(crate) fn from_list(host: &ListedHost, now: Time) -> Self {
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

    /// State derived from its own announcements, the host list and its liveness.
    pub(crate) fn state(&self) -> MemberState {
        match self.liveness {
            Some(Liveness::Failed) => MemberState::Failed,
            _ if self.leaving || self.is_listed_as(ListedState::Leaving) => MemberState::Leaving,
            None => MemberState::Candidate,
            Some(Liveness::Live) => MemberState::Live,
            Some(Liveness::Suspect) => MemberState::Suspect,
        }
    }

    /// Whether nobody has seen it run.
    pub(crate) const fn is_candidate(&self) -> bool {
        self.liveness.is_none()
    }

    /// Whether it is live or suspect; such members are probed in most rounds.
    pub(crate) const fn is_up(&self) -> bool {
        matches!(self.liveness, Some(Liveness::Live | Liveness::Suspect))
    }

    pub(crate) fn is_listed_as(&self, state: ListedState) -> bool {
        self.listed.is_some_and(|entry| entry.state == state)
    }

    /// Whether a message from it arrived within `window` before `now`.
    pub(crate) fn seen_within(&self, now: Time, window: Span) -> bool {
        self.last_seen.is_some_and(|seen| now.since(seen) <= window)
    }

    pub(crate) fn set_liveness(&mut self, now: Time, liveness: Liveness) {
        if self.liveness != Some(liveness) {
            self.liveness = Some(liveness);
            self.changed_at = now;
        }
    }

    /// Sets the incarnation and its liveness; a new run of the process clears what was known about
    /// the previous one.
    pub(crate) fn adopt_incarnation(
        &mut self,
        now: Time,
        incarnation: Incarnation,
        liveness: Liveness,
    ) {
        if incarnation.started > self.profile.started {
            self.profile.started = incarnation.started;
            self.leaving = false;
            self.profile_acked = false;
            self.facts = Facts::default();
        }
        self.refutations = incarnation.refutations;
        self.needs_refutation = liveness != Liveness::Live;
        self.set_liveness(now, liveness);
    }

    /// Stores its state in a newer host list; returns whether the state differs from the previous
    /// one.
    pub(crate) fn set_listed(&mut self, revision: Revision, state: ListedState) -> bool {
        if self.listed.is_some_and(|entry| entry.revision >= revision) {
            return false;
        }
        let before = self.listed.replace(ListEntry { revision, state });
        match before {
            Some(before) => before.state != state,
            None => state == ListedState::Leaving,
        }
    }

    /// Stores facts of its current run if they are newer; returns whether they were.
    pub(crate) fn update_facts(&mut self, facts: &Facts) -> bool {
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

    /// Update with its profile; `None` for a host known from the host list only.
    pub(crate) fn joined_update(&self) -> Option<Update> {
        self.liveness?;
        let known = self.profile.started > Time(0);
        let (profile, refutations) = (self.profile.clone(), self.refutations);
        known.then_some(Update::Joined { profile, refutations })
    }

    /// Update with its state; `None` for a host known from the host list only.
    pub(crate) fn state_update(&self) -> Option<Update> {
        let liveness = self.liveness.filter(|_| self.profile.started > Time(0))?;
        let (host, incarnation) = (self.profile.host.clone(), self.incarnation());
        Some(Update::State { host, incarnation, liveness, leaving: self.leaving })
    }

    /// Update with its state in the host list; `None` if it was never listed.
    pub(crate) fn listed_update(&self) -> Option<Update> {
        let ListEntry { revision, state } = self.listed?;
        Some(Update::Listed { host: self.profile.host.clone(), revision, state })
    }

    /// Update with its facts; `None` if it has not published any.
    pub(crate) fn facts_update(&self) -> Option<Update> {
        let known = self.facts.version > 0;
        let (host, started) = (self.profile.host.clone(), self.profile.started);
        known.then(|| Update::Facts { host, started, facts: self.facts.clone() })
    }
}
