//! Following the objects below a prefix through outages and lost history.

use std::time::Duration;

use bytes::Bytes;
use oleander_core::Revision;
use oleander_platform::{
    Created, FollowEvent, Follower, MemoryFaults, MemoryPlatform, ObjectStore, Updated,
};

/// Longer than any test takes.
const LONG: Duration = Duration::from_secs(600);

async fn create(store: &MemoryPlatform, key: &str) -> Revision {
    match store.create(key, Bytes::from_static(b"{}")).await.expect("store is up") {
        Created::New(revision) => revision,
        Created::Exists => panic!("{key} is there already"),
    }
}

fn names(followed: &FollowEvent) -> Vec<String> {
    match followed {
        FollowEvent::Snapshot(objects) => objects.iter().map(|(key, _)| key.clone()).collect(),
        FollowEvent::Changes(changes) => {
            let names = changes.iter().map(|change| match &change.object {
                Some(_) => change.key.clone(),
                None => format!("-{}", change.key),
            });
            names.collect()
        }
        FollowEvent::Failed(error) => vec![error.to_string()],
    }
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_is_followed_by_changes_and_removals() {
    let store = MemoryPlatform::new();
    create(&store, "a/1").await;
    create(&store, "b/1").await;
    let mut follow = Follower::new(store.clone(), "a/", LONG);
    assert_eq!(names(&follow.next().await), ["a/1"]);
    let second = create(&store, "a/2").await;
    assert_eq!(names(&follow.next().await), ["a/2"]);
    assert!(matches!(store.remove("a/2", second).await, Ok(Updated::Done(_))));
    assert_eq!(names(&follow.next().await), ["-a/2"]);
}

#[tokio::test(start_paused = true)]
async fn lost_history_brings_a_new_snapshot() {
    let store = MemoryPlatform::new();
    create(&store, "a/1").await;
    let mut follow = Follower::new(store.clone(), "a/", LONG);
    follow.next().await;
    let second = create(&store, "a/2").await;
    store.set_faults(MemoryFaults { oldest_revision: second.0 + 1, ..MemoryFaults::default() });
    assert!(matches!(follow.next().await, FollowEvent::Snapshot(objects) if objects.len() == 2));
}

/// The return of the platform must be known when it happens, and not at the next change: entries
/// that are removed long after it are gone for good.
#[tokio::test(start_paused = true)]
async fn the_end_of_an_outage_is_noticed_without_a_change() {
    let store = MemoryPlatform::new();
    create(&store, "a/1").await;
    let mut follow = Follower::new(store.clone(), "a/", LONG);
    follow.next().await;
    store.set_faults(MemoryFaults { down: true, ..MemoryFaults::default() });
    assert!(matches!(follow.next().await, FollowEvent::Failed(_)));
    store.set_faults(MemoryFaults::default());
    let began = tokio::time::Instant::now();
    assert!(matches!(follow.next().await, FollowEvent::Changes(changes) if changes.is_empty()));
    assert!(began.elapsed() < Duration::from_secs(1), "noticed after {:?}", began.elapsed());
}
