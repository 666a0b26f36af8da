//! News that is still to be repeated.
//!
//! A rumour names what to tell about whom; its text is made from the table when it is sent, so
//! that a newer state replaces an older one. The least repeated rumours go first.

use std::collections::{BTreeMap, BTreeSet};

use oleander_core::HostId;

/// What is told of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Topic {
    State,
    Listed,
    Joined,
    Facts,
}

/// Rumours that share the room of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Class {
    /// Who is there, and in which state.
    Membership,
    /// What members tell about themselves.
    Facts,
}

impl Topic {
    const fn class(self) -> Class {
        match self {
            Self::State | Self::Listed | Self::Joined => Class::Membership,
            Self::Facts => Class::Facts,
        }
    }
}

/// One thing to tell.
pub(crate) type Rumour = (Topic, HostId);

/// All things to tell, by the number of times they were told.
#[derive(Debug, Default)]
pub(crate) struct Rumours {
    told: BTreeMap<Rumour, u32>,
    queue: BTreeMap<Class, BTreeSet<(u32, Rumour)>>,
}

impl Rumours {
    /// Starts telling `rumour` anew.
    pub(crate) fn add(&mut self, topic: Topic, host: &HostId) {
        let rumour = (topic, host.clone());
        self.remove(&rumour);
        self.insert(rumour, 0);
    }

    fn insert(&mut self, rumour: Rumour, told: u32) {
        self.queue.entry(rumour.0.class()).or_default().insert((told, rumour.clone()));
        self.told.insert(rumour, told);
    }

    /// Drops all that is told of `host`.
    pub(crate) fn forget(&mut self, host: &HostId) {
        for topic in [Topic::State, Topic::Listed, Topic::Joined, Topic::Facts] {
            self.remove(&(topic, host.clone()));
        }
    }

    /// Up to `count` rumours of a class, the least told first.
    pub(crate) fn first(&self, class: Class, count: usize) -> Vec<Rumour> {
        let queue = self.queue.get(&class).into_iter().flatten();
        queue.take(count).map(|(_, rumour)| rumour.clone()).collect()
    }

    /// Counts one telling, and drops the rumour at the `limit`.
    pub(crate) fn tell(&mut self, rumour: Rumour, limit: u32) {
        let Some(told) = self.told.get(&rumour).copied() else { return };
        self.remove(&rumour);
        if told + 1 < limit {
            self.insert(rumour, told + 1);
        }
    }

    /// Drops one rumour.
    pub(crate) fn remove(&mut self, rumour: &Rumour) {
        let Some(told) = self.told.remove(rumour) else { return };
        if let Some(queue) = self.queue.get_mut(&rumour.0.class()) {
            queue.remove(&(told, rumour.clone()));
        }
    }
}
