//! Change logs, the selection of a feeder, and watches of a feeder.

#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use oleander_cluster::{
    ChangeLog, ChangesSince, FailoverStore, Feeder, SHORT_FEED_WAIT, StoreFallback, StoreRequest,
    StoreResponse, select_feeder,
};
use oleander_core::{HostId, Revision, Span, ZoneId};
use oleander_platform::{
    Change, Changes, Created, FollowEvent, Follower, MemoryPlatform, Object, ObjectStore,
};
use tokio::time::{Instant, sleep, timeout};

const PREFIX: &str = "jobs/";
/// Time limit for seeing a change after the loss of a feeder.
const LOSS_LIMIT: Duration = Duration::from_millis(2_500);

fn put(key: &str, revision: u64) -> Change {
    let object = Object { revision: Revision(revision), body: Bytes::from_static(b"{}") };
    Change { key: key.to_owned(), object: Some(object) }
}

fn keys(since: ChangesSince) -> (Vec<String>, u64) {
    let ChangesSince::Changes(Changes { changes, revision }) = since else { panic!("{since:?}") };
    (changes.into_iter().map(|change| change.key).collect(), revision.0)
}

#[test]
fn a_host_gets_exactly_the_changes_after_its_revision() {
    let mut log = ChangeLog::default();
    assert_eq!(log.changes_since(Revision(5)), ChangesSince::OutOfRange, "the log is empty");
    log.reset(Revision(5));
    log.append(vec![put("a", 6), put("b", 7)], Revision(8));
    assert_eq!(keys(log.changes_since(Revision(5))), (vec!["a".to_owned(), "b".to_owned()], 8));
    assert_eq!(keys(log.changes_since(Revision(6))), (vec!["b".to_owned()], 8));
    assert_eq!(log.changes_since(Revision(8)), ChangesSince::UpToDate);
    assert_eq!(
        log.changes_since(Revision(9)),
        ChangesSince::UpToDate,
        "the host is ahead of the log and waits"
    );
    assert_eq!(log.changes_since(Revision(4)), ChangesSince::OutOfRange, "the log starts later");
}

#[test]
fn a_removal_is_sent_to_hosts_behind_its_batch() {
    let mut log = ChangeLog::default();
    log.reset(Revision(1));
    let removal = Change { key: "a".to_owned(), object: None };
    log.append(vec![put("a", 2), removal.clone()], Revision(3));
    assert_eq!(
        log.changes_since(Revision(2)),
        ChangesSince::Changes(Changes { changes: vec![removal], revision: Revision(3) })
    );
}

#[test]
fn a_removal_is_not_sent_after_a_later_create_of_the_same_key() {
    let mut log = ChangeLog::default();
    log.reset(Revision(1));
    let removal = Change { key: "a".to_owned(), object: None };
    log.append(vec![removal, put("a", 4), put("b", 6)], Revision(6));
    assert_eq!(keys(log.changes_since(Revision(4))), (vec!["b".to_owned()], 6));
    assert_eq!(keys(log.changes_since(Revision(1))), (vec!["a".to_owned(), "b".to_owned()], 6));
}

#[test]
fn a_long_log_drops_its_oldest_changes_and_is_out_of_range_for_them() {
    let mut log = ChangeLog::default();
    log.reset(Revision(0));
    for n in 1..=2_000 {
        log.append(vec![put("a", n)], Revision(n));
    }
    assert_eq!(log.changes_since(Revision(1)), ChangesSince::OutOfRange);
    let (changes, up_to) = keys(log.changes_since(Revision(1_990)));
    assert_eq!((changes.len(), up_to), (10, 2_000));
}

#[test]
fn an_invalidated_log_is_out_of_range() {
    let mut log = ChangeLog::default();
    log.reset(Revision(5));
    log.invalidate();
    assert_eq!(log.changes_since(Revision(5)), ChangesSince::OutOfRange);
}

fn feeder(name: &str, zone: &str) -> Feeder {
    let address = ([127, 0, 0, 1], 1).into();
    Feeder { host: name.parse().unwrap(), zone: zone.parse().unwrap(), address }
}

fn selected(host: &str, zone: &str, is_feeder: bool, live: &[Feeder]) -> Option<String> {
    let (host, zone): (HostId, ZoneId) = (host.parse().unwrap(), zone.parse().unwrap());
    let feeder = select_feeder(&host, &zone, is_feeder, live.iter().cloned());
    feeder.map(|feeder| feeder.host.to_string())
}

#[test]
fn hosts_watch_a_feeder_of_their_data_centre_and_feeders_the_first_one() {
    let live = [feeder("k2", "b"), feeder("k1", "a"), feeder("k3", "c")];
    assert_eq!(selected("e1", "b", false, &live).as_deref(), Some("k2"));
    assert_eq!(selected("e1", "d", false, &live).as_deref(), Some("k1"), "none in its data centre");
    assert_eq!(selected("k3", "c", true, &live).as_deref(), Some("k1"));
    assert_eq!(selected("k1", "a", true, &live), None, "it watches the platform directly");
    assert_eq!(selected("e1", "b", false, &[]), None);
}

#[test]
fn feeders_never_watch_each_other_in_a_cycle() {
    let all: Vec<Feeder> = (0..5).map(|n| feeder(&format!("k{n}"), "a")).collect();
    // Whatever each feeder knows of the others, it watches only one whose name comes before its
    // own.
    for views in 0..(1_usize << 10) {
        for (n, me) in all.iter().enumerate() {
            let seen = |(m, _): &(usize, &Feeder)| (views >> ((n * 3 + m) % 10)) & 1 == 1;
            let live = all.iter().enumerate().filter(seen).map(|(_, feeder)| feeder.clone());
            let feeder = select_feeder(&me.host, &me.zone, true, live);
            assert!(feeder.is_none_or(|feeder| feeder.host < me.host));
        }
    }
}

/// A feeder with its own path to the platform.
struct FeederPath(FailoverStore<MemoryPlatform, FeederPath>);

impl StoreFallback for FeederPath {
    async fn call(&self, request: StoreRequest) -> StoreResponse {
        self.0.serve(request).await
    }

    async fn watch_feed(&self, prefix: &str, from: Revision, wait: Duration) -> Option<Changes> {
        let request = StoreRequest::Watch(prefix.to_owned(), from, Span::from(wait));
        match self.0.serve(request).await {
            StoreResponse::Changes(changes) => Some(changes),
            _ => None,
        }
    }
}

/// Creates a host with a feeder, both on one store. Returns the host, the store, and the feeder's
/// path, which can be disconnected by itself.
fn host_with_feeder() -> (FailoverStore<MemoryPlatform, FeederPath>, MemoryPlatform, MemoryPlatform)
{
    let store = MemoryPlatform::new();
    let (host_path, feeder_path) = (store.other_path(), store.other_path());
    let feeder = FailoverStore::new(feeder_path.clone());
    tokio::spawn(feeder.feeds().follow(feeder.clone(), PREFIX, SHORT_FEED_WAIT));
    let host = FailoverStore::new(host_path);
    host.set_fallback(Arc::new(FeederPath(feeder)));
    (host, store, feeder_path)
}

/// Follows until `key` is seen; returns the time that it took.
async fn follow_until(
    follow: &mut Follower<FailoverStore<MemoryPlatform, FeederPath>>,
    key: &str,
) -> Duration {
    let start = Instant::now();
    loop {
        let changes = match follow.next().await {
            FollowEvent::Changes(changes) => changes.into_iter().map(|change| change.key).collect(),
            FollowEvent::Snapshot(objects) => objects.into_iter().map(|(key, _)| key).collect(),
            FollowEvent::Failed(_) => Vec::new(),
        };
        if changes.contains(&key.to_owned()) {
            return start.elapsed();
        }
    }
}

async fn create(store: &MemoryPlatform, key: &str) {
    let created = store.create(key, Bytes::from_static(b"{}")).await.unwrap();
    assert!(matches!(created, Created::New(_)));
}

#[tokio::test(start_paused = true)]
async fn a_host_sees_changes_through_its_feeder() {
    let (host, store, _) = host_with_feeder();
    let mut follow = Follower::new(host, PREFIX, Duration::from_secs(2));
    follow.next().await;
    for n in 0..20 {
        let key = format!("{PREFIX}{n}");
        create(&store, &key).await;
        let took = timeout(LOSS_LIMIT, follow_until(&mut follow, &key)).await;
        assert!(took.is_ok(), "{key} was not seen");
    }
}

#[tokio::test(start_paused = true)]
async fn a_host_whose_feeder_is_disconnected_watches_the_platform_directly() {
    let (host, store, feeder_path) = host_with_feeder();
    let mut follow = Follower::new(host, PREFIX, Duration::from_secs(2));
    follow.next().await;
    create(&store, "jobs/a").await;
    follow_until(&mut follow, "jobs/a").await;
    feeder_path.set_disconnected(true);
    create(&store, "jobs/b").await;
    let took = timeout(LOSS_LIMIT, follow_until(&mut follow, "jobs/b")).await;
    assert!(took.is_ok(), "the change was not seen in time");
    sleep(Duration::from_secs(5)).await;
    create(&store, "jobs/c").await;
    let took = timeout(LOSS_LIMIT, follow_until(&mut follow, "jobs/c")).await;
    assert!(took.is_ok(), "the change was not seen while the feeder stays disconnected");
}
