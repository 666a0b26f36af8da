//! Reads of bodies at several hosts, and by several readers.

use std::{sync::Arc, time::Duration};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    fixture::{Manager, PATIENCE, Shape, StoredJob, item_name, job, start_host},
    store::SlowStore,
};

/// Time in which a host lists its jobs.
const LISTED: Duration = Duration::from_secs(5);
/// Number of tries in which a body that has no result is found.
const TRIES: usize = 5;

/// The store of a job without an owner, of which the last items have no result.
async fn stored(segments: usize, open_items: usize, call: Duration) -> SlowStore {
    let shape = Shape { open_items, owner: None, ..Shape::finished(vec![1; segments]) };
    SlowStore::new(StoredJob::write(&shape).await.platform, call)
}

/// Number of tries until a body is found, with pauses drawn anew.
async fn tries(host: &Manager, item: usize, draw: &mut Pcg64Mcg) -> usize {
    for number in 1..=TRIES {
        let body = timeout(PATIENCE, host.read_body(&job(), &item_name(item))).await;
        if matches!(body, Ok(Ok(Some(_)))) {
            return number;
        }
        sleep(Duration::from_millis(draw.random_range(0..300))).await;
    }
    usize::MAX
}

/// Guards against bodies that each host puts off once, so that a reader who goes from host to host
/// finds none.
#[tokio::test(start_paused = true)]
async fn a_body_is_found_by_the_first_read_at_each_host() {
    const SEGMENTS: usize = 10;
    let store = stored(SEGMENTS, 1, Duration::from_millis(500)).await;
    let (mut late, mut draw) = (0, Pcg64Mcg::seed_from_u64(1));
    for number in 0..8 {
        let host = start_host(&format!("entry-{number}"), &store);
        sleep(LISTED).await;
        late += usize::from(tries(&host, SEGMENTS, &mut draw).await > 1);
    }
    assert_eq!(late, 0, "of 8 hosts");
}

/// Guards against bodies that are not found while other readers ask the same host all the time.
#[tokio::test(start_paused = true)]
async fn bodies_are_found_though_others_of_the_job_are_asked_for_all_the_time() {
    const SEGMENTS: usize = 3;
    let store = stored(SEGMENTS, 17, Duration::from_millis(900)).await;
    let host = start_host("entry-1", &store);
    sleep(LISTED).await;
    let mut readers = JoinSet::new();
    for reader in 0..8 {
        let host = Arc::clone(&host);
        readers.spawn(async move {
            let (mut late, mut draw) = (0, Pcg64Mcg::seed_from_u64(reader));
            for item in SEGMENTS..SEGMENTS + 17 {
                late += usize::from(tries(&host, item, &mut draw).await > TRIES);
                sleep(Duration::from_millis(draw.random_range(0..100))).await;
            }
            late
        });
    }
    let late: usize = readers.join_all().await.into_iter().sum();
    assert_eq!(late, 0, "of 136 bodies");
}
