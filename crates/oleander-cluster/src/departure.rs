//! The end of a host's record.
//!
//! A record outlives its process, so that a host which starts again finds when it started last. The
//! record of a host that is gone for good would stay for ever: each process that starts would look
//! for the host, and majorities of all hosts would count it. So a host that stops as planned says so
//! in its record, and counts no more from then on, until it starts again. A record is removed some
//! time after that, and that of a host which has ended without notice once it has been away for as
//! long. A host that was cut off and finds its record removed writes it again.

use std::{sync::Arc, time::Duration};

use oleander_core::{HostId, Span, Time};
use oleander_host::clock;
use oleander_platform::{
    Created, Object, ObjectStore, PlatformError, StoreError, Updated, decode_value, encode_value,
};
use tokio::time;

use crate::{
    cluster::Cluster,
    record::{HostRecord, PREFIX, StoredRecord},
};

/// Time for which the record of a host that is away is kept.
const RECORD_RETENTION: Span = Span::from_secs(10 * 60);
/// Time between two searches for records to remove.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);
/// The task of removing them, which one host has.
const SWEEP_TASK: &str = "host records";

impl Cluster {
    /// Says in this host's record that it has left; it counts no more until it starts again.
    pub async fn record_departure<S: ObjectStore>(&self, store: &S) {
        match self.mark_left(store, clock::now()).await {
            Ok(true) => log::info!("record of this host says that it has left"),
            Ok(false) => log::info!("record of this host has changed; it is left as it is"),
            Err(error) => log::warn!(error:% = error; "record of this host can't be changed"),
        }
    }

    async fn mark_left<S: ObjectStore>(&self, store: &S, now: Time) -> Result<bool, StoreError> {
        let key = HostRecord::key(&self.local.host);
        let Some(current) = store.get(&key).await? else { return Ok(false) };
        let record: HostRecord = decode_value(&current.body)?;
        if record.started != self.local.started {
            return Ok(false);
        }
        let body = encode_value(&StoredRecord { record, left: Some(now) })?;
        let updated = store.update(&key, body, current.revision).await?;
        Ok(matches!(updated, Updated::Done(_)))
    }

    /// Writes this host's record again, which has been removed.
    pub(crate) async fn restore_record<S: ObjectStore>(&self, store: &S) {
        if self.is_leaving() {
            return;
        }
        let body = match encode_value(&self.local) {
            Ok(body) => body,
            Err(error) => return log::error!(error:% = error; "record can't be encoded"),
        };
        match store.create(&HostRecord::key(&self.local.host), body).await {
            Ok(Created::New(_)) => log::info!("record of this host was removed; written again"),
            Ok(Created::Exists) => {}
            Err(error) => log::warn!(error:% = error; "record of this host was not written again"),
        }
    }

    /// Removes the records of hosts that have long been away; never returns.
    pub async fn sweep_records<S: ObjectStore>(self: Arc<Self>, store: S) {
        loop {
            time::sleep(SWEEP_INTERVAL).await;
            if !self.is_task_owner(SWEEP_TASK, None) {
                continue;
            }
            if let Err(error) = self.remove_records(&store, clock::now(), clock::steady()).await {
                log::warn!(error:% = error; "records of hosts can't be removed");
            }
        }
    }

    /// Removes the records of hosts that have been away for [`RECORD_RETENTION`] at the wall time
    /// `wall_now`, which is `now` on the clock [`clock::steady`].
    ///
    /// # Errors
    ///
    /// Returns an error of the platform; some records may have been removed.
    pub async fn remove_records<S: ObjectStore>(
        &self,
        store: &S,
        wall_now: Time,
        now: Time,
    ) -> Result<(), PlatformError> {
        let mut after = String::new();
        loop {
            let page = store.scan(PREFIX, &after).await?;
            for (key, object) in &page.objects {
                if self.is_obsolete(object, wall_now, now) {
                    let removed = store.remove(key, object.revision).await?;
                    log::info!(key, removed:?; "record of a host that is gone");
                }
            }
            match page.objects.last() {
                Some((key, _)) if page.more => after.clone_from(key),
                _ => return Ok(()),
            }
        }
    }

    fn is_obsolete(&self, object: &Object, wall_now: Time, now: Time) -> bool {
        let Ok(stored) = serde_json::from_slice::<StoredRecord>(&object.body) else { return false };
        match stored.left {
            Some(left) => wall_now.since(left) >= RECORD_RETENTION,
            None => self.has_long_failed(&stored.record.host, now),
        }
    }

    fn has_long_failed(&self, host: &HostId, now: Time) -> bool {
        let failed = self.members.lock().failed_since(host);
        failed.is_some_and(|failed| now.since(failed) >= RECORD_RETENTION)
    }
}
