//! What a feeder tells the hosts that ask it.

#![allow(clippy::unwrap_used)]

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use oleander_cluster::{
    ChangeLog, ChangesSince, FailoverStore, Feeder, PROMPT_FEED_WAIT, StoreFallback, StoreRequest,
    StoreResponse, select_feeder,
};
use oleander_core::{HostId, Revision, Span, ZoneId};
use oleander_platform::{
    Change, Changes, Created, Follow, Followed, MemoryPlatform, Object, ObjectStore,
};
use tokio::time::{Instant, sleep, timeout};

const PREFIX: &str = "jobs/";
/// Time in which a host whose feeder is lost must see a change.
const BOUND: Duration = Duration::from_millis(2_500);

fn put(key: &str, revision: u64) -> Change {
    let object = Object { revision: Revision(revision), body: Bytes::from_static(b"{}") };
    Change { key: key.to_owned(), object: Some(object) }
}

fn keys(news: ChangesSince) -> (Vec<String>, u64) {
    let ChangesSince::Changes(Changes { changes, revision }) = news else { panic!("{news:?}") };
    (changes.into_iter().map(|change| change.key).collect(), revision.0)
}

#[test]
fn a_host_gets_what_it_has_not_seen_and_nothing_else() {
    let mut history = ChangeLog::default();
    assert_eq!(
        history.changes_since(Revision(5)),
        ChangesSince::OutOfRange,
        "nothing is known yet"
    );
    history.reset(Revision(5));
    history.append(vec![put("a", 6), put("b", 7)], Revision(8));
    assert_eq!(keys(history.changes_since(Revision(5))), (vec!["a".to_owned(), "b".to_owned()], 8));
    assert_eq!(keys(history.changes_since(Revision(6))), (vec!["b".to_owned()], 8));
    assert_eq!(history.changes_since(Revision(8)), ChangesSince::UpToDate);
    assert_eq!(
        history.changes_since(Revision(9)),
        ChangesSince::UpToDate,
        "the host is ahead and waits"
    );
    assert_eq!(
        history.changes_since(Revision(4)),
        ChangesSince::OutOfRange,
        "made before the feeder began"
    );
}

#[test]
fn a_removal_is_told_to_whoever_does_not_know_its_batch() {
    let mut history = ChangeLog::default();
    history.reset(Revision(1));
    let gone = Change { key: "a".to_owned(), object: None };
    history.append(vec![put("a", 2), gone.clone()], Revision(3));
    assert_eq!(
        history.changes_since(Revision(2)),
        ChangesSince::Changes(Changes { changes: vec![gone], revision: Revision(3) })
    );
}

#[test]
fn a_removal_is_not_told_to_whoever_knows_what_came_after_it() {
    let mut history = ChangeLog::default();
    history.reset(Revision(1));
    let gone = Change { key: "a".to_owned(), object: None };
    history.append(vec![gone, put("a", 4), put("b", 6)], Revision(6));
    assert_eq!(keys(history.changes_since(Revision(4))), (vec!["b".to_owned()], 6));
    assert_eq!(keys(history.changes_since(Revision(1))), (vec!["a".to_owned(), "b".to_owned()], 6));
}

#[test]
fn a_long_history_drops_its_oldest_changes_and_says_so() {
    let mut history = ChangeLog::default();
    history.reset(Revision(0));
    for n in 1..=2_000 {
        history.append(vec![put("a", n)], Revision(n));
    }
    assert_eq!(history.changes_since(Revision(1)), ChangesSince::OutOfRange);
    let (changes, upto) = keys(history.changes_since(Revision(1_990)));
    assert_eq!((changes.len(), upto), (10, 2_000));
}

#[test]
fn a_lost_feed_tells_nothing() {
    let mut history = ChangeLog::default();
    history.reset(Revision(5));
    history.invalidate();
    assert_eq!(history.changes_since(Revision(5)), ChangesSince::OutOfRange);
}

fn feeder(name: &str, zone: &str) -> Feeder {
    let address = ([127, 0, 0, 1], 1).into();
    Feeder { host: name.parse().unwrap(), zone: zone.parse().unwrap(), address }
}

fn asked(host: &str, zone: &str, is_feeder: bool, live: &[Feeder]) -> Option<String> {
    let (host, zone): (HostId, ZoneId) = (host.parse().unwrap(), zone.parse().unwrap());
    let chosen = select_feeder(&host, &zone, is_feeder, live.iter().cloned());
    chosen.map(|feeder| feeder.host.to_string())
}

#[test]
fn hosts_ask_the_feeder_of_their_data_centre_and_feeders_the_first_of_all() {
    let live = [feeder("k2", "b"), feeder("k1", "a"), feeder("k3", "c")];
    assert_eq!(asked("e1", "b", false, &live).as_deref(), Some("k2"));
    assert_eq!(asked("e1", "d", false, &live).as_deref(), Some("k1"), "none in its data centre");
    assert_eq!(asked("k3", "c", true, &live).as_deref(), Some("k1"));
    assert_eq!(asked("k1", "a", true, &live), None, "it watches the platform");
    assert_eq!(asked("e1", "b", false, &[]), None);
}

#[test]
fn feeders_never_ask_in_a_circle() {
    let all: Vec<Feeder> = (0..5).map(|n| feeder(&format!("k{n}"), "a")).collect();
    // Whatever each believes of the others, a feeder asks only one whose name is before its own.
    for views in 0..(1_usize << 10) {
        for (n, me) in all.iter().enumerate() {
            let seen = |(m, _): &(usize, &Feeder)| (views >> ((n * 3 + m) % 10)) & 1 == 1;
            let live = all.iter().enumerate().filter(seen).map(|(_, feeder)| feeder.clone());
            let chosen = select_feeder(&me.host, &me.zone, true, live);
            assert!(chosen.is_none_or(|chosen| chosen.host < me.host));
        }
    }
}

/// A feeder with a path of its own to the platform.
struct Path(FailoverStore<MemoryPlatform, Path>);

impl StoreFallback for Path {
    async fn call(&self, call: StoreRequest) -> StoreResponse {
        self.0.serve(call).await
    }

    async fn watch_feed(&self, prefix: &str, from: Revision, wait: Duration) -> Option<Changes> {
        let call = StoreRequest::Watch(prefix.to_owned(), from, Span::from(wait));
        match self.0.serve(call).await {
            StoreResponse::Changes(changes) => Some(changes),
            _ => None,
        }
    }
}

/// A host with a feeder, both on one store; the feeder can be cut off by itself.
fn fed() -> (FailoverStore<MemoryPlatform, Path>, MemoryPlatform, MemoryPlatform) {
    let store = MemoryPlatform::new();
    let (own, feeders) = (store.other_path(), store.other_path());
    let feeder = FailoverStore::new(feeders.clone());
    tokio::spawn(feeder.feeds().follow(feeder.clone(), PREFIX, PROMPT_FEED_WAIT));
    let host = FailoverStore::new(own);
    host.set_fallback(Arc::new(Path(feeder)));
    (host, store, feeders)
}

/// Follows until `key` is seen; returns how long that took after it was written.
async fn seen(follow: &mut Follow<FailoverStore<MemoryPlatform, Path>>, key: &str) -> Duration {
    let start = Instant::now();
    loop {
        let changes = match follow.next().await {
            Followed::Changes(changes) => changes.into_iter().map(|change| change.key).collect(),
            Followed::Snapshot(objects) => objects.into_iter().map(|(key, _)| key).collect(),
            Followed::Lost(_) => Vec::new(),
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
async fn a_host_sees_changes_by_its_feeder() {
    let (host, store, _) = fed();
    let mut follow = Follow::new(host, PREFIX, Duration::from_secs(2));
    follow.next().await;
    for n in 0..20 {
        let key = format!("{PREFIX}{n}");
        create(&store, &key).await;
        let took = timeout(BOUND, seen(&mut follow, &key)).await;
        assert!(took.is_ok(), "{key} was not seen");
    }
}

#[tokio::test(start_paused = true)]
async fn a_host_whose_feeder_is_cut_off_watches_the_platform_itself() {
    let (host, store, feeders) = fed();
    let mut follow = Follow::new(host, PREFIX, Duration::from_secs(2));
    follow.next().await;
    create(&store, "jobs/a").await;
    seen(&mut follow, "jobs/a").await;
    feeders.set_cut(true);
    create(&store, "jobs/b").await;
    let took = timeout(BOUND, seen(&mut follow, "jobs/b")).await;
    assert!(took.is_ok(), "the change was not seen in time");
    sleep(Duration::from_secs(5)).await;
    create(&store, "jobs/c").await;
    let took = timeout(BOUND, seen(&mut follow, "jobs/c")).await;
    assert!(took.is_ok(), "the feeder stays lost, and the host sees the change all the same");
}
