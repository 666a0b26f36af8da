//! Items that no route serves.
//!
//! A job may have been accepted by a newer configuration than this host knows. An item therefore
//! fails only if its route is missing in a configuration that was read from the platform after the
//! item was found without a route; it waits while the platform can't be read.

use std::{sync::Arc, time::Duration};

use oleander_platform::ObjectStore;
use oleander_relay::{RouteTable, TargetTransport};
use tokio::time;

use crate::manager::{JobManager, LoadedJob};

/// Minimum time between two reads of the configuration.
const READ_PAUSE: Duration = Duration::from_millis(250);

/// Items of one job, by their index.
struct Unrouted {
    loaded: Arc<LoadedJob>,
    items: Vec<usize>,
}

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
    /// Fails waiting items whose route has been removed; never returns.
    pub(crate) async fn fail_unrouted(&self) {
        loop {
            self.unrouted.notified().await;
            // Only these items: a job that is loaded during the read may have been accepted by a
            // configuration that is newer than the one read.
            let found = self.unrouted_items();
            self.relay.confirm_table().await;
            if let Some(table) = self.relay.table() {
                found.iter().for_each(|job| job.fail(&table));
            }
            self.wake.notify_one();
            time::sleep(READ_PAUSE).await;
        }
    }

    fn unrouted_items(&self) -> Vec<Unrouted> {
        let Some(table) = self.relay.table() else { return Vec::new() };
        let jobs: Vec<Arc<LoadedJob>> = self.loaded.lock().values().cloned().collect();
        let open = jobs.into_iter().filter(|loaded| !loaded.is_stopped());
        open.map(|loaded| {
            let items = loaded.job.lock().unrouted(&table);
            Unrouted { loaded, items }
        })
        .collect()
    }
}

impl Unrouted {
    /// Fails the items that `table` has no route for.
    fn fail(&self, table: &RouteTable) {
        let mut job = self.loaded.job.lock();
        let unrouted = job.unrouted(table);
        let failed = self.items.iter().filter(|index| unrouted.contains(index));
        for index in failed {
            log::warn!(request:% = job.item(*index).request.id, job:% = job.record.job,
                version = table.version; "item failed: its route was removed");
            job.fail_item(*index);
        }
        drop(job);
        self.loaded.finished.notify_one();
    }
}
