//! Following the objects below a prefix through outages and lost history.

use std::time::Duration;

use bytes::Bytes;
use oleander_core::Revision;
use oleander_platform::{
    Created, FollowEvent, Follower, MemoryFaults, MemoryPlatform, ObjectStore, Updated,
};

/// Longer than any test runs, so that a watch returns only with changes.
const WATCH_WAIT: Duration = Duration::from_secs(600);

async fn create(store: &MemoryPlatform, key: &str) -> Revision {
    match store.create(key, Bytes::from_static(b"{}")).await.expect("the store is available") {
        Created::New(revision) => revision,
        Created::Exists => panic!("{key} exists already"),
    }
}

/// Keys of the objects in an event, with a `-` before removed ones.
fn keys(event: &FollowEvent) -> Vec<String> {
    match event {
        FollowEvent::Snapshot(objects) => objects.iter().map(|(key, _)| key.clone()).collect(),
        FollowEvent::Changes(changes) => {
            let keys = changes.iter().map(|change| match &change.object {
                Some(_) => change.key.clone(),
                None => format!("-{}", change.key),
            });
            keys.collect()
        }
        FollowEvent::Failed(error) => vec![error.to_string()],
    }
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_is_followed_by_changes_and_removals() {
    let store = MemoryPlatform::new();
    create(&store, "a/1").await;
    create(&store, "b/1").await;
    let mut follower = Follower::new(store.clone(), "a/", WATCH_WAIT);
    assert_eq!(keys(&follower.next().await), ["a/1"]);
    let second = create(&store, "a/2").await;
    assert_eq!(keys(&follower.next().await), ["a/2"]);
    assert!(matches!(store.remove("a/2", second).await, Ok(Updated::Done(_))));
    assert_eq!(keys(&follower.next().await), ["-a/2"]);
}

#[tokio::test(start_paused = true)]
async fn a_watch_beyond_the_kept_history_returns_a_new_snapshot() {
    let store = MemoryPlatform::new();
    create(&store, "a/1").await;
    let mut follower = Follower::new(store.clone(), "a/", WATCH_WAIT);
    follower.next().await;
    let second = create(&store, "a/2").await;
    store.set_faults(MemoryFaults { oldest_revision: second.0 + 1, ..MemoryFaults::default() });
    assert!(matches!(follower.next().await, FollowEvent::Snapshot(objects) if objects.len() == 2));
}

/// If the end of an outage were detected only at the next change, a removal long after the outage
/// would still be attributed to it.
#[tokio::test(start_paused = true)]
async fn the_end_of_an_outage_is_detected_without_a_change() {
    let store = MemoryPlatform::new();
    create(&store, "a/1").await;
    let mut follower = Follower::new(store.clone(), "a/", WATCH_WAIT);
    follower.next().await;
    store.set_faults(MemoryFaults { down: true, ..MemoryFaults::default() });
    assert!(matches!(follower.next().await, FollowEvent::Failed(_)));
    store.set_faults(MemoryFaults::default());
    let start = tokio::time::Instant::now();
    assert!(matches!(follower.next().await, FollowEvent::Changes(changes) if changes.is_empty()));
    assert!(start.elapsed() < Duration::from_secs(1), "detected after {:?}", start.elapsed());
}
