//! The software versions of one service, as far as one host has followed them.

use std::collections::{BTreeMap, BTreeSet};

use oleander_core::{Span, Time, value};

use super::StreamAnswer;
use crate::version::SoftwareVersion;

/// Time for which a stream is kept beyond its deadline, and for which a service must have had a
/// single version, beyond the longest time that a stream may take, before that version is assumed
/// for a stream without a record. Targets that leave are listed, or serve, for some seconds more.
pub(super) const RETENTION: Span = Span::from_secs(10);
/// Least time that a stream is assumed to take.
const MIN_LIFETIME: Span = Span::from_secs(5);

value! {
    /// What this host knows of the versions of a service, for the log.
    pub struct VersionEvidence {
        /// Versions that are listed.
        pub listed: BTreeSet<SoftwareVersion>,
        /// Time for which the list has had these, as far as it tells.
        pub unchanged: Span,
        /// Time for which this process, or another one before it, has followed the list.
        pub followed: Span,
        /// Time for which a stream may last.
        pub lifetime: Span,
        /// Whether streams may have different versions.
        pub mixed: bool,
        /// Whether versions of earlier processes are still to be recalled.
        pub recalling: bool,
    }
}

/// The versions of a service's listed targets.
#[derive(Debug, Clone)]
pub(super) struct ServiceVersions {
    pub(super) listed: BTreeSet<SoftwareVersion>,
    /// Time since which the list has had the versions that it has now, as far as it tells.
    pub(super) since: Time,
    /// When this process first had a list, or earlier, if another host has followed it before.
    first: Time,
    /// Versions that left while this process followed them, and when.
    pub(super) left: BTreeMap<SoftwareVersion, Time>,
    /// Longest time that a stream may take.
    pub(super) longest: Span,
}

impl ServiceVersions {
    /// The first list of this process; no other version is assumed to have been listed since the
    /// last start of a target, `youngest` ago.
    pub(super) fn new(
        now: Time,
        listed: BTreeSet<SoftwareVersion>,
        youngest: Span,
        left: BTreeMap<SoftwareVersion, Time>,
    ) -> Self {
        let since = Time(now.0.saturating_sub(youngest.0));
        Self { listed, since, first: now, left, longest: MIN_LIFETIME }
    }

    /// Replaces the listed versions by others.
    pub(super) fn replace(&mut self, now: Time, listed: BTreeSet<SoftwareVersion>) {
        let gone = self.listed.difference(&listed).cloned();
        let lifetime = self.lifetime();
        self.left.retain(|_, left| now.since(*left) < lifetime);
        self.left.extend(gone.map(|version| (version, now)));
        self.listed = listed;
        self.since = now;
    }

    /// The only version that a stream of this service can have, as this process has followed it
    /// for long enough.
    pub(super) fn settled(&self, now: Time) -> Option<&SoftwareVersion> {
        self.assumed(now).filter(|_| now.since(self.first) >= self.lifetime())
    }

    /// The only version that the list tells of. Another one may have left just before the start of
    /// this process, which hosts that ran then know.
    pub(super) fn assumed(&self, now: Time) -> Option<&SoftwareVersion> {
        let is_alone = self.listed.len() == 1 && now.since(self.since) >= self.lifetime();
        self.listed.first().filter(|_| is_alone)
    }

    /// Takes over from hosts that have followed the service for long enough that the only listed
    /// version has been the only one; returns whether it was taken over.
    ///
    /// These answers must have come after the first list of this process. Any host that knows of
    /// another version outweighs those that don't.
    pub(super) fn inherit(&mut self, now: Time, answers: &[StreamAnswer]) -> bool {
        let Some(own) = self.listed.first().filter(|_| !self.is_mixed(now)) else { return false };
        let is_told = answers.iter().any(|answer| answer.is_settled_at(own));
        if !is_told || answers.iter().any(|answer| answer.differs_from(own)) {
            return false;
        }
        let start = Time(now.0.saturating_sub(self.lifetime().0));
        self.since = self.since.min(start);
        self.first = self.first.min(start);
        true
    }

    /// Whether other hosts may tell more of the versions than this one knows.
    pub(super) fn is_unsettled(&self, now: Time) -> bool {
        self.listed.len() == 1 && !self.is_mixed(now) && self.settled(now).is_none()
    }

    /// Whether streams of this service may have different versions.
    pub(super) fn is_mixed(&self, now: Time) -> bool {
        let lifetime = self.lifetime();
        let mut recent = self.left.iter().filter(|(_, left)| now.since(**left) < lifetime);
        self.listed.len() > 1 || recent.any(|(version, _)| !self.listed.contains(version))
    }

    /// Time after which a stream that a version began has ended.
    fn lifetime(&self) -> Span {
        self.longest + RETENTION
    }

    /// What this host knows of these versions, for the log.
    pub(super) fn evidence(&self, now: Time, recalling: bool) -> VersionEvidence {
        VersionEvidence {
            listed: self.listed.clone(),
            unchanged: now.since(self.since),
            followed: now.since(self.first),
            lifetime: self.lifetime(),
            mixed: self.is_mixed(now),
            recalling,
        }
    }
}
