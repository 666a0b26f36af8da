//! What one host knows about the software versions of streams.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    mem,
};

use oleander_core::{ServiceId, Span, Time};

use super::{
    BegunStreams, StreamAnswer, StreamId, VersionStreams,
    service_versions::{RETENTION, ServiceVersions, VersionEvidence},
};
use crate::version::SoftwareVersion;

/// Time for which a stream of another host is kept.
const ANNOUNCED_RETENTION: Span = Span::from_secs(60);
/// Interval at which expired streams are removed.
const EXPIRY_INTERVAL: Span = Span::from_secs(1);

/// Whether a list is known to be the present one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ListState {
    /// A read of the platform that began after the list was needed has found nothing newer.
    Confirmed,
    /// Its age is not known.
    Unconfirmed,
}

/// The streams known to one host, and the versions of its services.
#[derive(Debug, Clone, Default)]
pub struct StreamRegister {
    streams: HashMap<StreamId, Registered>,
    services: HashMap<ServiceId, ServiceVersions>,
    pending: BTreeMap<SoftwareVersion, Vec<StreamId>>,
    /// Versions that were listed in the time of earlier processes, and when they left.
    recalled: HashMap<ServiceId, BTreeMap<SoftwareVersion, Time>>,
    /// Whether more of them may follow.
    expects_recall: bool,
    expired_at: Time,
}

#[derive(Debug, Clone)]
struct Registered {
    version: SoftwareVersion,
    expires: Time,
    /// When it was announced, by the clock of the sender; `None` if this host sent it to a target.
    announced: Option<Time>,
    /// Service of a stream that this host sent to a target and has not announced.
    unannounced: Option<ServiceId>,
    /// Service of a stream whose head a caller got from this host, so that no other version can
    /// begin it any more; `None` once it is taken to be saved.
    begun: Option<ServiceId>,
}

impl StreamRegister {
    /// Applies the versions of a service's listed targets.
    ///
    /// `youngest` is the time since the last start of one of them. It counts only for the first list
    /// of a process: no other version is assumed to have been listed since then.
    pub fn set_listed(
        &mut self,
        now: Time,
        service: &ServiceId,
        listed: BTreeSet<SoftwareVersion>,
        youngest: Span,
    ) {
        let was_settled = self.settled(now, service).is_some();
        let recalled = &self.recalled;
        let known = self.services.entry(service.clone()).or_insert_with(|| {
            let left = recalled.get(service).cloned().unwrap_or_default();
            ServiceVersions::new(now, listed.clone(), youngest, left)
        });
        if known.listed != listed {
            known.replace(now, listed);
        }
        if was_settled && self.settled(now, service).is_none() {
            self.announce_known(service);
        }
    }

    /// The services with listed targets of several versions, with these.
    #[must_use]
    pub fn mixed(&self) -> Vec<(ServiceId, BTreeSet<SoftwareVersion>)> {
        let services = self.services.iter().filter(|(_, versions)| versions.listed.len() > 1);
        services.map(|(service, versions)| (service.clone(), versions.listed.clone())).collect()
    }

    /// Sets whether versions of earlier processes may still be recalled.
    pub const fn expect_recall(&mut self, expected: bool) {
        self.expects_recall = expected;
    }

    /// Records versions that were listed in the time of earlier processes, and how long ago they
    /// left at the least.
    pub fn recall(
        &mut self,
        now: Time,
        service: &ServiceId,
        ages: BTreeMap<SoftwareVersion, Span>,
    ) {
        let left: BTreeMap<SoftwareVersion, Time> = ages
            .into_iter()
            .map(|(version, age)| (version, Time(now.0.saturating_sub(age.0))))
            .collect();
        if let Some(versions) = self.services.get_mut(service) {
            for (version, at) in &left {
                let known = versions.left.entry(version.clone()).or_insert(*at);
                *known = (*known).max(*at);
            }
        }
        self.recalled.insert(service.clone(), left);
    }

    /// The services of which other hosts may tell that their listed version has long been the only
    /// one.
    #[must_use]
    pub fn unsettled(&self, now: Time) -> Vec<ServiceId> {
        if self.expects_recall {
            return Vec::new();
        }
        let unsettled = self.services.iter().filter(|(_, versions)| versions.is_unsettled(now));
        unsettled.map(|(service, _)| service.clone()).collect()
    }

    /// Takes over what other hosts [answer](Self::answer) about the versions of a service; returns
    /// whether the listed version now counts as the only one.
    pub fn inherit(&mut self, now: Time, service: &ServiceId, answers: &[StreamAnswer]) -> bool {
        let versions = self.services.get_mut(service).filter(|_| !self.expects_recall);
        versions.is_some_and(|versions| versions.inherit(now, answers))
    }

    /// Records that a version was listed, if only for a moment between two lists.
    pub fn record_version(&mut self, now: Time, service: &ServiceId, version: &SoftwareVersion) {
        let was_settled = self.settled(now, service).is_some();
        let Some(versions) = self.services.get_mut(service) else { return };
        if versions.listed.contains(version) {
            return;
        }
        versions.left.insert(version.clone(), now);
        versions.since = now;
        if was_settled {
            self.announce_known(service);
        }
    }

    /// Registers a stream that this host sends to a target of `version`.
    pub fn begin(
        &mut self,
        now: Time,
        service: &ServiceId,
        stream: StreamId,
        version: &SoftwareVersion,
        deadline: Time,
    ) {
        self.expire(now);
        match self.streams.get(&stream) {
            Some(known) if known.version == *version => return,
            // Another version begins the stream, after the first one sent no event.
            Some(_) => self.pending.values_mut().for_each(|ids| ids.retain(|id| *id != stream)),
            None => {}
        }
        if let Some(versions) = self.services.get_mut(service) {
            versions.longest = versions.longest.max(deadline.since(now));
        }
        let is_settled = self.settled(now, service).is_some();
        if !is_settled {
            self.pending.entry(version.clone()).or_default().push(stream);
        }
        let registered = Registered {
            version: version.clone(),
            expires: deadline.max(now) + RETENTION,
            announced: None,
            unannounced: is_settled.then(|| service.clone()),
            begun: None,
        };
        self.streams.insert(stream, registered);
    }

    /// Records that the caller got the head of a stream which this host sent to `version`.
    pub fn record_begun(
        &mut self,
        service: &ServiceId,
        stream: StreamId,
        version: &SoftwareVersion,
    ) {
        let known = self.streams.get_mut(&stream).filter(|known| known.version == *version);
        if let Some(known) = known {
            known.begun = Some(service.clone());
        }
    }

    /// Takes the streams of services with several versions that have begun since the last time.
    pub fn take_begun(&mut self, now: Time) -> Vec<BegunStreams> {
        let mut groups: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (stream, known) in &mut self.streams {
            let services = &self.services;
            let is_mixed =
                |service: &ServiceId| services.get(service).is_some_and(|one| one.is_mixed(now));
            if let Some(service) = known.begun.take_if(|service| is_mixed(service)) {
                let group = groups.entry((service, known.version.clone())).or_default();
                // A caller takes its stream up again before its deadline, or not at all.
                let left = Span(known.expires.since(now).0.saturating_sub(RETENTION.0));
                group.push((*stream, left));
            }
        }
        let groups = groups.into_iter();
        groups
            .map(|((service, version), streams)| BegunStreams { service, version, streams })
            .collect()
    }

    /// Registers begun streams that were saved before all hosts ended.
    pub fn recall_streams(&mut self, now: Time, saved: Vec<BegunStreams>) {
        for BegunStreams { version, streams, .. } in saved {
            for (stream, left) in streams {
                let (version, expires) = (version.clone(), now + left);
                let recalled = Registered {
                    version,
                    expires,
                    announced: None,
                    unannounced: None,
                    begun: None,
                };
                self.streams.entry(stream).or_insert(recalled);
            }
        }
    }

    /// Takes the streams that other hosts have to know.
    pub fn take_announcements(&mut self, now: Time) -> Vec<VersionStreams> {
        let pending = mem::take(&mut self.pending).into_iter();
        pending.map(|(version, streams)| VersionStreams { version, sent: now, streams }).collect()
    }

    /// Registers streams that another host has announced.
    ///
    /// Announcements may overtake each other; the one that was sent last counts. Only the host that
    /// began a stream announces it with different versions, so that one clock decides.
    pub fn merge(&mut self, now: Time, announced: Vec<VersionStreams>) {
        self.expire(now);
        let expires = now + ANNOUNCED_RETENTION;
        for VersionStreams { version, sent, streams } in announced {
            for stream in streams {
                let known = self.streams.get(&stream);
                let last = known.and_then(|known| known.announced).filter(|last| *last > sent);
                if last.is_some() && known.is_some_and(|known| known.version != version) {
                    continue;
                }
                let announced = last.or(Some(sent));
                let version = version.clone();
                let registered =
                    Registered { version, expires, announced, unannounced: None, begun: None };
                self.streams.insert(stream, registered);
            }
        }
    }

    /// The version of a stream that is registered here.
    #[must_use]
    pub fn registered(&self, stream: StreamId) -> Option<&SoftwareVersion> {
        self.streams.get(&stream).map(|known| &known.version)
    }

    /// The only version that a stream of the service can have, so that nobody needs to be asked;
    /// `None` unless the list is confirmed.
    #[must_use]
    pub fn only_version(
        &self,
        now: Time,
        service: &ServiceId,
        list: ListState,
    ) -> Option<SoftwareVersion> {
        let settled = self.settled(now, service).filter(|_| list == ListState::Confirmed);
        settled.cloned()
    }

    /// What this host answers when another one asks for the version of a stream.
    #[must_use]
    pub fn answer(&self, now: Time, service: &ServiceId, stream: StreamId) -> StreamAnswer {
        if let Some(version) = self.registered(stream) {
            return StreamAnswer::Registered(version.clone());
        }
        match self.services.get(service) {
            Some(versions) if versions.is_mixed(now) => StreamAnswer::Mixed,
            Some(versions) => {
                versions.settled(now).cloned().map_or(StreamAnswer::Unknown, StreamAnswer::Settled)
            }
            None => StreamAnswer::Unknown,
        }
    }

    /// Concludes the version of a stream from the answers of other hosts.
    ///
    /// A record decides. Without one, no host may know of another version than the only one listed
    /// here. Another host must tell that it has been the only one for long, or a confirmed list must,
    /// if all hosts answer.
    #[must_use]
    pub fn conclude(
        &self,
        now: Time,
        service: &ServiceId,
        list: ListState,
        answers: &[StreamAnswer],
    ) -> Option<SoftwareVersion> {
        let registered = answers.iter().find_map(StreamAnswer::registered);
        if registered.is_some() {
            return registered.cloned();
        }
        let versions = self.services.get(service)?;
        let own = versions.listed.first().filter(|_| !versions.is_mixed(now))?;
        let settled = answers.iter().any(|answer| answer.is_settled_at(own));
        let all_answered = !answers.contains(&StreamAnswer::Unreached);
        let assumed = all_answered
            && !self.expects_recall
            && list == ListState::Confirmed
            && versions.assumed(now).is_some();
        let differs = answers.iter().any(|answer| answer.differs_from(own));
        ((settled || assumed) && !differs).then(|| own.clone())
    }

    /// What this host knows of the versions of a service.
    #[must_use]
    pub fn evidence(&self, now: Time, service: &ServiceId) -> Option<VersionEvidence> {
        Some(self.services.get(service)?.evidence(now, self.expects_recall))
    }

    fn settled(&self, now: Time, service: &ServiceId) -> Option<&SoftwareVersion> {
        self.services.get(service)?.settled(now)
    }

    /// Announces the streams of a service whose targets get another version.
    fn announce_known(&mut self, service: &ServiceId) {
        for (stream, known) in &mut self.streams {
            if known.unannounced.as_ref() == Some(service) {
                known.unannounced = None;
                self.pending.entry(known.version.clone()).or_default().push(*stream);
            }
        }
    }

    fn expire(&mut self, now: Time) {
        if now.since(self.expired_at) >= EXPIRY_INTERVAL {
            self.expired_at = now;
            self.streams.retain(|_, known| known.expires > now);
        }
    }
}
