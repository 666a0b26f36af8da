//! Removes ended jobs whose results are no longer available to callers.
//!
//! The platform expires nothing by itself. One host at a time scans the job records; a record is
//! removed after its parts and segments, so that an interrupted removal is found by the next scan.
//! Entry hosts that follow the records drop the removed jobs from memory.

use std::time::Duration;

use oleander_core::{Span, Time};
use oleander_host::clock;
use oleander_platform::{ObjectStore, StoreError, decode_value};
use tokio::time;

use crate::{
    index::JobIndex,
    record::{JobRecord, Owner},
    removal::repeat,
    store::{JOB_PREFIX, JobStore, record_key},
};

/// Time between two scans; removal is not urgent.
const SCAN_INTERVAL: Duration = Duration::from_secs(60);
/// Number of jobs in a row that can't be removed after which a sweep ends: the platform is out.
const MAX_FAILED: u32 = 3;

/// Periodically removes ended jobs accepted longer than `keep` ago, whenever `is_turn`; never
/// returns.
pub async fn sweep<S: ObjectStore>(store: S, local: Owner, keep: Span, is_turn: impl Fn() -> bool) {
    loop {
        time::sleep(SCAN_INTERVAL).await;
        if !is_turn() {
            continue;
        }
        let store = JobStore::new(store.clone());
        match sweep_once(&store, &local, clock::now(), keep).await {
            Ok(0) => {}
            Ok(removed) => log::info!(removed; "ended jobs removed"),
            Err(fault) => log::warn!(error:% = fault; "removal of ended jobs failed"),
        }
    }
}

/// Removes ended jobs accepted longer than `keep` before `now`; returns their number.
///
/// A job that can't be removed holds up no other.
///
/// # Errors
///
/// Returns an error if an object can't be read or removed by several attempts.
pub async fn sweep_once<S: ObjectStore>(
    store: &JobStore<S>,
    local: &Owner,
    now: Time,
    keep: Span,
) -> Result<usize, StoreError> {
    let index = read_records(store, local).await?;
    let (mut removed, mut failed) = (0, 0);
    let mut failure = Ok(());
    for (revision, record) in index.removable(now - keep) {
        match store.remove(*revision, record).await {
            Ok(()) => (removed, failed) = (removed + 1, 0),
            Err(fault) => {
                log::warn!(job:% = record.job, error:% = fault; "ended job was not removed");
                failed += 1;
                failure = Err(fault);
                if failed == MAX_FAILED {
                    break;
                }
            }
        }
    }
    failure.map(|()| removed)
}

async fn read_records<S: ObjectStore>(
    store: &JobStore<S>,
    local: &Owner,
) -> Result<JobIndex, StoreError> {
    let mut index = JobIndex::default();
    let mut after = String::new();
    loop {
        let page = repeat(|| store.objects().scan(JOB_PREFIX, &after)).await?;
        for (key, object) in page.objects {
            match decode_value::<JobRecord>(&object.body) {
                Ok(record) if key == record_key(&record.job) => {
                    index.put(object.revision, record, local);
                }
                Ok(record) => log::warn!(key:% = key, named:% = record.job;
                    "job record of another job skipped"),
                Err(fault) => log::warn!(key:% = key, error:% = fault; "job record skipped"),
            }
            after = key;
        }
        if !page.more {
            return Ok(index);
        }
    }
}
