//! Jobs whose records are removed while a host follows nothing, and whose removal the platform no
//! longer reports then.

use std::time::Duration;

use oleander_platform::{MemoryFaults, MemoryPlatform, ObjectStore};
use oleander_worklist::JobStore;

use crate::fixture::{
    SlowStore, job, route, start_manager, submission, wait_for_results, wait_until_ready,
};

/// Time in which a host notices that it is cut off, or reads all records again.
const FOLLOW_TIME: Duration = Duration::from_secs(3);

/// Removes all objects; returns the revision of the last removal.
async fn remove_all(store: &MemoryPlatform) -> u64 {
    let listing = store.list("", "", 1_000).await.expect("up");
    for object in listing.objects {
        store.remove(&object.key, object.revision).await.expect("up");
    }
    store.list("", "", 1).await.expect("up").revision.0
}

/// Guards against a job that is accepted because a host still has the record of an earlier job.
#[tokio::test]
async fn a_job_that_is_submitted_again_after_a_lost_removal_is_not_lost() {
    let store = MemoryPlatform::new();
    let path = store.other_path();
    let (manager, _, _) = start_manager("entry-1", SlowStore::new(path.clone()));
    wait_until_ready(&manager).await;
    assert_eq!(manager.submit(submission(10), &route()).await, Ok(()));
    assert_eq!(wait_for_results(&manager).await, 3);
    tokio::time::sleep(FOLLOW_TIME).await;
    path.set_disconnected(true);
    tokio::time::sleep(FOLLOW_TIME).await;
    let oldest_revision = remove_all(&store).await;
    store.set_faults(MemoryFaults { oldest_revision, ..MemoryFaults::default() });
    path.set_disconnected(false);
    tokio::time::sleep(FOLLOW_TIME).await;
    assert_eq!(manager.submit(submission(10), &route()).await, Ok(()));
    let stored = JobStore::new(store).record(&job()).await.expect("up");
    assert!(stored.is_some(), "accepted, but nothing of it is stored");
}
