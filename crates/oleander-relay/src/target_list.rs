//! The targets that the platform lists.
//!
//! The list lags and has outages. While the platform is away the last list stands; entries that
//! lapsed meanwhile get a short time after its return to come back, then they count as gone.

use std::{collections::BTreeMap, net::SocketAddr};

use oleander_core::{ServiceId, Span, TargetId, Time, ZoneId};

/// Time after the platform's return within which live targets are listed again; the users state
/// about two seconds.
const RETURN_GRACE: Span = Span::from_millis(2_200);

/// A target as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Name of this run of the target.
    pub id: TargetId,
    /// Service that it serves.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: ZoneId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to go.
    pub leaving: bool,
    /// Start of its process, in milliseconds of the Unix epoch.
    pub started_ms: Option<u64>,
}

#[derive(Debug, Clone)]
struct Listed {
    target: TargetEntry,
    /// When it counts as gone, if its entry lapsed around an outage.
    gone_at: Option<Time>,
}

/// All listed targets.
#[derive(Debug, Clone, Default)]
pub struct TargetList {
    listed: BTreeMap<TargetId, Listed>,
    lost: bool,
    regained: Option<Time>,
}

impl TargetList {
    /// Takes the whole list; `targets` may be incomplete shortly after an outage.
    pub fn replace(&mut self, now: Time, targets: Vec<TargetEntry>) {
        let kept: Vec<TargetId> = targets.iter().map(|target| target.id.clone()).collect();
        let gone: Vec<TargetId> =
            self.listed.keys().filter(|id| !kept.contains(id)).cloned().collect();
        for target in targets {
            self.upsert(target);
        }
        for id in gone {
            self.remove(now, &id);
        }
    }

    /// Takes one new or changed entry.
    pub fn upsert(&mut self, target: TargetEntry) {
        self.listed.insert(target.id.clone(), Listed { target, gone_at: None });
    }

    /// Takes the end of an entry.
    pub fn remove(&mut self, now: Time, id: &TargetId) {
        let grace_end = self.regained.map(|regained| regained + RETURN_GRACE);
        let grace_end = grace_end.filter(|end| *end > now);
        match (grace_end, self.listed.get_mut(id)) {
            (Some(end), Some(listed)) => listed.gone_at = Some(end),
            _ => {
                self.listed.remove(id);
            }
        }
    }

    /// The platform does not answer.
    pub const fn set_disconnected(&mut self) {
        self.lost = true;
    }

    /// The platform answers; tells whether it was away before.
    pub const fn set_connected(&mut self, now: Time) -> bool {
        if self.lost {
            self.regained = Some(now);
        }
        std::mem::replace(&mut self.lost, false)
    }

    /// Drops entries whose time to come back is over; tells whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.listed.len();
        self.listed.retain(|_, listed| listed.gone_at.is_none_or(|at| at > now));
        self.listed.len() < before
    }

    /// When the next entry expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Time> {
        self.listed.values().filter_map(|listed| listed.gone_at).min()
    }

    /// All targets that may still be there.
    pub fn targets(&self) -> impl Iterator<Item = &TargetEntry> {
        self.listed.values().map(|listed| &listed.target)
    }
}
