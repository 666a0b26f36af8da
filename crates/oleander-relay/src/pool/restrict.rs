//! Targets that may take a request, by their software versions, crashes and the request's parts.

use std::{borrow::Cow, collections::HashMap};

use oleander_core::{PromptPart, Span, TargetId, hash};
use oleander_host::clock;
use oleander_quarantine::Standing;
use oleander_routing::{Pick, TargetState};

use super::{Pool, VersionChoice, doubts::CRASH_EXCLUSION};
use crate::target_list::TargetEntry;

/// Time for which a version that is new in a service begins no streams, unless it is the only one;
/// by then all hosts know of it.
const NEW_VERSION_DELAY: Span = Span::from_secs(2);

impl Pool {
    /// Excludes the targets that may not take a request.
    pub(super) fn restrict<'a>(
        &self,
        pick: &'a Pick,
        versions: &VersionChoice,
        standing: &Standing,
    ) -> Cow<'a, Pick> {
        let targets = self.targets.read();
        let mut excluded = self.other_versions(&targets, versions);
        excluded.extend(self.crashed(&targets));
        if *versions != VersionChoice::Any {
            excluded.extend(self.ended(&targets, versions));
        }
        if let Standing::Suspect { part, .. } | Standing::Alone { content: part } = standing {
            excluded.extend(pick.exclude.iter().cloned());
            excluded.extend(self.ejected());
            excluded = all_but_one(&targets, *part, excluded);
        }
        if excluded.is_empty() {
            return Cow::Borrowed(pick);
        }
        let mut restricted = pick.clone();
        restricted.exclude.extend(excluded);
        Cow::Owned(restricted)
    }

    /// Targets of the versions that are not permitted.
    fn other_versions(
        &self,
        targets: &HashMap<TargetId, TargetEntry>,
        versions: &VersionChoice,
    ) -> Vec<TargetId> {
        match versions {
            VersionChoice::Any => Vec::new(),
            VersionChoice::Only(version) => {
                let others = targets.values().filter(|target| target.version != *version);
                others.map(|target| target.id.clone()).collect()
            }
            VersionChoice::Established => self.new_targets(targets),
        }
    }

    /// Targets that this host does not use for now.
    fn ejected(&self) -> Vec<TargetId> {
        let statuses = self.router.lock().snapshot().into_iter();
        let ejected = statuses.filter(|status| status.state == TargetState::Ejected);
        ejected.map(|status| status.name).collect()
    }

    /// Targets that have crashed and may still be listed.
    pub(super) fn crashed(&self, targets: &HashMap<TargetId, TargetEntry>) -> Vec<TargetId> {
        if self.quarantine.is_empty() {
            return Vec::new();
        }
        let crashed = targets
            .values()
            .filter(|target| self.quarantine.has_crashed(&target.run(), CRASH_EXCLUSION));
        crashed.map(|target| target.id.clone()).collect()
    }

    /// Targets at which no stream goes on, as their listed run may have ended. New streams may begin
    /// there unless it is known to have crashed, and at all if no others are left.
    fn ended(
        &self,
        targets: &HashMap<TargetId, TargetEntry>,
        versions: &VersionChoice,
    ) -> Vec<TargetId> {
        if *versions != VersionChoice::Established {
            let ended = targets.values().filter(|target| self.may_have_ended(target));
            return ended.map(|target| target.id.clone()).collect();
        }
        let is_crashed = |target: &&TargetEntry| {
            let crash = self.quarantine.last_crash(&target.run());
            crash.is_some_and(|crash| !crash.is_reached && self.is_unlisted(crash))
        };
        let (crashed, others): (Vec<_>, Vec<_>) = targets.values().partition(is_crashed);
        if others.iter().all(|target| target.leaving) {
            return Vec::new();
        }
        crashed.into_iter().map(|target| target.id.clone()).collect()
    }

    /// Other targets of the service that have not crashed lately, the same ones for each call.
    pub(crate) fn others(&self, target: &TargetId, count: usize) -> Vec<TargetEntry> {
        let targets = self.targets.read();
        let crashed = self.crashed(&targets);
        let others = targets.values().filter(|other| other.id != *target && !other.leaving);
        let mut others: Vec<TargetEntry> =
            others.filter(|other| !crashed.contains(&other.id)).cloned().collect();
        others.sort_by_key(|other| hash::hash_parts(&[target.as_str(), other.id.as_str()]));
        others.truncate(count);
        others
    }

    /// Targets of new versions; none if there are no others.
    fn new_targets(&self, targets: &HashMap<TargetId, TargetEntry>) -> Vec<TargetId> {
        let versions = self.versions.lock();
        if versions.len() < 2 {
            return Vec::new();
        }
        let now = clock::steady();
        let is_new = |target: &&TargetEntry| {
            let first = versions.get(&target.version);
            first.is_some_and(|first| now.since(*first) < NEW_VERSION_DELAY)
        };
        if !targets.values().any(|target| !target.leaving && !is_new(&target)) {
            return Vec::new();
        }
        targets.values().filter(is_new).map(|target| target.id.clone()).collect()
    }
}

/// All targets but the one to which every host sends the requests with a suspected part.
fn all_but_one(
    targets: &HashMap<TargetId, TargetEntry>,
    part: PromptPart,
    excluded: Vec<TargetId>,
) -> Vec<TargetId> {
    let usable = targets.values().filter(|target| !target.leaving);
    let usable = usable.map(|target| &target.id).filter(|id| !excluded.contains(id));
    let one = hash::rendezvous(&part.to_string(), usable);
    targets.keys().filter(|id| Some(*id) != one).cloned().collect()
}
