//! The targets that the platform lists.
//!
//! The list is delayed and the platform has outages. While the platform is unreachable, the last
//! list stays in force. An entry that is missing shortly after an outage is kept for a grace period
//! in which a running target can be listed again.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use oleander_core::{ServiceId, Span, TargetId, Time, ZoneId};
use oleander_quarantine::TargetRun;

use crate::version::SoftwareVersion;

/// Time after an outage of the platform within which running targets are listed again, specified as
/// about 2 s.
const RECONNECT_GRACE: Span = Span::from_millis(2_200);

/// A target as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Identifies this run of the target.
    pub id: TargetId,
    /// Service that it serves.
    pub service: ServiceId,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: ZoneId,
    /// Version of its software.
    pub version: SoftwareVersion,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is shutting down and gets no new requests.
    pub leaving: bool,
    /// Start time of its process in milliseconds since the Unix epoch, if stated.
    pub started_at: Option<u64>,
}

impl TargetEntry {
    /// Whether this run began where `other` ran, after it.
    pub(crate) fn follows(&self, other: &Self) -> bool {
        let is_same_place = self.id == other.id || self.address == other.address;
        is_same_place && self.started_at > other.started_at
    }

    /// Time since the start of its process; zero if it does not state one.
    pub(crate) fn age(&self, wall_now: Time) -> Span {
        let started = self.started_at.map(|millis| Time(millis.saturating_mul(1_000)));
        started.map_or(Span::ZERO, |started| wall_now.since(started))
    }

    /// The run of the target's process.
    #[must_use]
    pub fn run(&self) -> TargetRun {
        TargetRun { target: self.id.clone(), started: self.started_at }
    }
}

#[derive(Debug, Clone)]
struct Listed {
    target: TargetEntry,
    /// When the target is removed, if its entry went missing around an outage.
    expires_at: Option<Time>,
}

/// The listed targets, and those in their grace period.
#[derive(Debug, Clone, Default)]
pub struct TargetList {
    listed: BTreeMap<TargetId, Listed>,
    disconnected: bool,
    reconnected: Option<Time>,
}

impl TargetList {
    /// Replaces the list; `targets` may be incomplete shortly after an outage.
    pub fn replace(&mut self, now: Time, targets: Vec<TargetEntry>) {
        let listed: Vec<TargetId> = targets.iter().map(|target| target.id.clone()).collect();
        let missing: Vec<TargetId> =
            self.listed.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for target in targets {
            self.upsert(target);
        }
        for id in missing {
            self.remove(now, &id);
        }
    }

    /// Adds or updates an entry.
    pub fn upsert(&mut self, target: TargetEntry) {
        self.listed.insert(target.id.clone(), Listed { target, expires_at: None });
    }

    /// Removes an entry; shortly after an outage it is kept until the grace period ends.
    pub fn remove(&mut self, now: Time, id: &TargetId) {
        let grace_end = self.reconnected.map(|reconnected| reconnected + RECONNECT_GRACE);
        let grace_end = grace_end.filter(|end| *end > now);
        match (grace_end, self.listed.get_mut(id)) {
            (Some(end), Some(listed)) => listed.expires_at = Some(end),
            _ => {
                self.listed.remove(id);
            }
        }
    }

    /// Records that the platform does not respond.
    pub const fn set_disconnected(&mut self) {
        self.disconnected = true;
    }

    /// Records that the platform responds; returns whether it did not before.
    pub const fn set_connected(&mut self, now: Time) -> bool {
        if self.disconnected {
            self.reconnected = Some(now);
        }
        std::mem::replace(&mut self.disconnected, false)
    }

    /// Removes entries whose grace period is over; returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.listed.len();
        self.listed.retain(|_, listed| listed.expires_at.is_none_or(|at| at > now));
        self.listed.len() < before
    }

    /// When the next entry expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Time> {
        self.listed.values().filter_map(|listed| listed.expires_at).min()
    }

    /// All targets that may still be running.
    ///
    /// An address belongs to the run that started there last; the entries of earlier runs stay for
    /// some time.
    pub fn targets(&self) -> impl Iterator<Item = &TargetEntry> {
        let mut latest: HashMap<SocketAddr, u64> = HashMap::new();
        for Listed { target, .. } in self.listed.values() {
            if let Some(started) = target.started_at {
                let known = latest.entry(target.address).or_insert(started);
                *known = started.max(*known);
            }
        }
        let targets = self.listed.values().map(|listed| &listed.target);
        targets.filter(move |target| {
            let last = latest.get(&target.address);
            target.started_at.is_none() || target.started_at.as_ref() >= last
        })
    }
}
