//! Objects with store-wide revisions, and the log of changes for watches.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use oleander_core::Revision;
use oleander_platform::{Created, Listing, Object, ObjectMeta, Updated};
use serde::{Deserialize, Serialize};

use crate::platform::hosts::HostTable;

const MAX_CHANGES: usize = 1_000_000;

/// Number of calls and watches by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Reads of objects and of the list of hosts.
    pub reads: u64,
    /// Creates, updates and deletes, including those that failed.
    pub writes: u64,
    /// Listings.
    pub lists: u64,
    /// Watches started.
    pub watches: u64,
    /// Watches currently open.
    pub watching: u64,
}

/// Change of an object, as it is sent to watches.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Change {
    pub(super) key: String,
    pub(super) revision: u64,
    pub(super) deleted: bool,
}

/// Outcome of a delete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DeleteOutcome {
    Done,
    Stale(Revision),
    Missing,
}

#[derive(Debug, Default)]
pub(super) struct Store {
    pub(super) revision: u64,
    pub(super) stats: Stats,
    pub(super) hosts: HostTable,
    objects: BTreeMap<String, Object>,
    changes: VecDeque<Change>,
}

impl Store {
    pub(super) fn get(&self, key: &str) -> Option<Object> {
        self.objects.get(key).cloned()
    }

    pub(super) fn revision_of(&self, key: &str) -> Option<Revision> {
        self.objects.get(key).map(|object| object.revision)
    }

    pub(super) fn create(&mut self, key: &str, body: Bytes) -> Created {
        if self.objects.contains_key(key) {
            return Created::Exists;
        }
        Created::New(self.put(key, body))
    }

    pub(super) fn update(&mut self, key: &str, body: Bytes, expected: Revision) -> Updated {
        let current = self.revision_of(key);
        if current != Some(expected) {
            return Updated::Stale(current);
        }
        Updated::Done(self.put(key, body))
    }

    pub(super) fn delete(&mut self, key: &str, expected: Revision) -> DeleteOutcome {
        match self.revision_of(key) {
            None => DeleteOutcome::Missing,
            Some(current) if current != expected => DeleteOutcome::Stale(current),
            Some(_) => {
                self.objects.remove(key);
                self.record_change(key, true);
                DeleteOutcome::Done
            }
        }
    }

    pub(super) fn list(&self, prefix: &str, after: &str, limit: usize) -> Listing {
        let mut objects: Vec<ObjectMeta> = self
            .objects
            .range(prefix.max(after).to_owned()..)
            .filter(|(key, _)| key.as_str() > after)
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit + 1)
            .map(|(key, object)| ObjectMeta {
                key: key.clone(),
                revision: object.revision,
                size: object.body.len() as u64,
            })
            .collect();
        let more = objects.len() > limit;
        objects.truncate(limit);
        Listing { revision: Revision(self.revision), objects, more }
    }

    /// Changes below `prefix` with a revision above `from`, in order.
    pub(super) fn changes_after(&self, prefix: &str, from: u64) -> Vec<Change> {
        let start = self.changes.partition_point(|change| change.revision <= from);
        let changes = self.changes.range(start..);
        changes.filter(|change| change.key.starts_with(prefix)).cloned().collect()
    }

    fn put(&mut self, key: &str, body: Bytes) -> Revision {
        let revision = self.record_change(key, false);
        self.objects.insert(key.to_owned(), Object { revision, body });
        revision
    }

    fn record_change(&mut self, key: &str, deleted: bool) -> Revision {
        self.revision += 1;
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        let change = Change { key: key.to_owned(), revision: self.revision, deleted };
        self.changes.push_back(change);
        Revision(self.revision)
    }
}
