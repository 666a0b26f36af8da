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
    store::{JOB_PREFIX, JobStore, record_key},
};

/// Time between two scans; removal is not urgent.
const SCAN_INTERVAL: Duration = Duration::from_secs(60);

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
/// # Errors
///
/// Returns an error if an object can't be read or removed.
pub async fn sweep_once<S: ObjectStore>(
    store: &JobStore<S>,
    local: &Owner,
    now: Time,
    keep: Span,
) -> Result<usize, StoreError> {
    let mut index = JobIndex::default();
    let mut after = String::new();
    loop {
        let page = store.objects().scan(JOB_PREFIX, &after).await?;
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
            break;
        }
    }
    let mut removed = 0;
    for (revision, record) in index.removable(now - keep) {
        store.remove(*revision, record).await?;
        removed += 1;
    }
    Ok(removed)
}
