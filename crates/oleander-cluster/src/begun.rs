//! Streams that outlive all hosts.
//!
//! Each host tells the one that keeps the versions of a service which streams have begun. That
//! one writes them into the record of the versions, so that a service costs one write an interval,
//! however many streams and hosts there are. A host that starts reads them with the record.

use std::{
    collections::{BTreeMap, HashMap, btree_map::Entry},
    time::Duration,
};

use oleander_core::{ServiceId, Span, Time, value};
use oleander_host::clock;
use oleander_relay::{BegunStreams, SoftwareVersion, StreamId};
use tokio::time;

use crate::{cluster::Cluster, message::PeerRequest};

/// Time in which begun streams are collected for one message.
const COLLECT_INTERVAL: Duration = Duration::from_millis(50);
/// Pause while no service has several versions.
const IDLE_PAUSE: Duration = Duration::from_millis(500);
/// Maximum number of streams in the record of a service.
const MAX_STREAMS: usize = 5_000;
/// Maximum time for which a stream is kept, whatever its sender says.
const MAX_RETENTION: Span = Span::from_secs(120);

value! {
    /// A stream, as stored at the platform.
    pub(crate) struct StoredStream {
        stream: StreamId,
        version: SoftwareVersion,
        /// Until when it is kept, by the clock of the host that wrote it.
        until: Time,
    }
}

/// Streams that are to be saved, by service.
#[derive(Debug, Default)]
pub(crate) struct UnsavedStreams(HashMap<ServiceId, Vec<StoredStream>>);

impl UnsavedStreams {
    pub(crate) fn record(&mut self, now: Time, begun: Vec<BegunStreams>) {
        for BegunStreams { service, version, streams } in begun {
            let stored = streams.into_iter().map(|(stream, left)| {
                let until = now + left.min(MAX_RETENTION);
                StoredStream { stream, version: version.clone(), until }
            });
            let unsaved = self.0.entry(service).or_default();
            unsaved.extend(stored);
            keep_latest(unsaved);
        }
    }

    pub(crate) fn is_empty_of(&self, service: &ServiceId) -> bool {
        self.0.get(service).is_none_or(Vec::is_empty)
    }

    /// The streams of a service, which are recorded again if they can't be saved.
    pub(crate) fn take(&mut self, service: &ServiceId) -> Vec<StoredStream> {
        self.0.remove(service).unwrap_or_default()
    }

    pub(crate) fn put_back(&mut self, service: &ServiceId, streams: Vec<StoredStream>) {
        let unsaved = self.0.entry(service.clone()).or_default();
        unsaved.extend(streams);
        keep_latest(unsaved);
    }
}

/// Drops those that would be kept for the shortest time, if there are too many.
fn keep_latest(streams: &mut Vec<StoredStream>) {
    if streams.len() > MAX_STREAMS {
        streams.sort_by_key(|stored| std::cmp::Reverse(stored.until));
        streams.truncate(MAX_STREAMS);
    }
}

/// Joins the streams of a record with others; one that is said to have two versions is left out,
/// as it may go on at neither.
pub(crate) fn join(
    now: Time,
    stored: Vec<StoredStream>,
    others: Vec<StoredStream>,
) -> Vec<StoredStream> {
    let mut joined: BTreeMap<StreamId, Option<StoredStream>> = BTreeMap::new();
    for one in stored.into_iter().chain(others).filter(|one| one.until > now) {
        match joined.entry(one.stream) {
            Entry::Vacant(entry) => drop(entry.insert(Some(one))),
            Entry::Occupied(mut entry) => {
                let known = entry.get().as_ref();
                let is_same = known.is_some_and(|known| known.version == one.version);
                entry.insert(is_same.then_some(one));
            }
        }
    }
    let mut streams: Vec<StoredStream> = joined.into_values().flatten().collect();
    keep_latest(&mut streams);
    streams
}

/// The streams of a record that are kept still.
pub(crate) fn kept(now: Time, service: &ServiceId, stored: Vec<StoredStream>) -> Vec<BegunStreams> {
    let mut groups: BTreeMap<SoftwareVersion, Vec<(StreamId, Span)>> = BTreeMap::new();
    for StoredStream { stream, version, until } in join(now, stored, Vec::new()) {
        let left = until.since(now).min(MAX_RETENTION);
        groups.entry(version).or_default().push((stream, left));
    }
    let groups = groups.into_iter();
    let group = |(version, streams)| BegunStreams { service: service.clone(), version, streams };
    groups.map(group).collect()
}

impl Cluster {
    /// Tells the hosts that save them of the streams that have begun here; never returns.
    pub(crate) async fn send_begun(&self) {
        loop {
            let is_mixed = !self.pools.streams.mixed().is_empty();
            time::sleep(if is_mixed { COLLECT_INTERVAL } else { IDLE_PAUSE }).await;
            let mut messages: BTreeMap<_, Vec<BegunStreams>> = BTreeMap::new();
            for begun in self.pools.streams.take_begun() {
                let keeper = self.version_keeper(&begun.service);
                messages.entry(keeper).or_default().push(begun);
            }
            for (host, begun) in messages {
                if host == self.local.host {
                    self.receive_begun(begun);
                } else if let Some(address) = self.address(&host) {
                    self.tell(&host, address, PeerRequest::Begun(begun));
                }
            }
        }
    }

    pub(crate) fn receive_begun(&self, begun: Vec<BegunStreams>) {
        self.unsaved.lock().record(clock::now(), begun);
    }
}
