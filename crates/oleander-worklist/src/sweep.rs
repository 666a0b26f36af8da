//! Removes jobs that nobody may ask for any more.
//!
//! Nothing expires at the platform by itself. One host at a time looks through the entries; the
//! entry goes last, so that an interrupted removal is found again. Entries that follow the jobs
//! drop what they hold of a removed one.

use std::time::Duration;

use oleander_core::{Span, Time};
use oleander_host::clock;
use oleander_platform::{ObjectStore, StoreFault, decode_value};
use tokio::time;

use crate::{
    index::JobIndex,
    record::{JobEntry, Owner},
    store::{ENTRY_PREFIX, JobStore},
};

/// Time between two looks; removal is in no hurry.
const INTERVAL: Duration = Duration::from_secs(60);

/// Removes ended jobs accepted longer than `keep` ago, whenever it is this host's turn; never
/// ends.
pub async fn sweep<S: ObjectStore>(store: S, me: Owner, keep: Span, is_turn: impl Fn() -> bool) {
    loop {
        time::sleep(INTERVAL).await;
        if !is_turn() {
            continue;
        }
        let store = JobStore::new(store.clone());
        match sweep_once(&store, &me, clock::now(), keep).await {
            Ok(0) => {}
            Ok(removed) => log::info!(removed; "ended jobs removed"),
            Err(fault) => log::warn!(error:% = fault; "ended jobs can't be removed"),
        }
    }
}

/// Removes ended jobs accepted longer than `keep` before `now`; returns how many.
///
/// # Errors
///
/// Returns an error if an object can't be read or removed.
pub async fn sweep_once<S: ObjectStore>(
    store: &JobStore<S>,
    me: &Owner,
    now: Time,
    keep: Span,
) -> Result<usize, StoreFault> {
    let mut index = JobIndex::default();
    let mut after = String::new();
    loop {
        let page = store.objects().scan(ENTRY_PREFIX, &after).await?;
        for (key, object) in page.objects {
            match decode_value::<JobEntry>(&object.body) {
                Ok(entry) => drop(index.put(object.revision, entry, me)),
                Err(fault) => log::warn!(key:% = key, error:% = fault; "entry is left"),
            }
            after = key;
        }
        if !page.more {
            break;
        }
    }
    let mut removed = 0;
    for (revision, entry) in index.removable(now - keep) {
        store.remove(*revision, entry).await?;
        removed += 1;
    }
    Ok(removed)
}
