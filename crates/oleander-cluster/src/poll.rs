//! Watches at the platform, and reads of changes through other hosts in their place.
//!
//! A host may be turned away by the platform, or be disconnected from it, while other hosts are
//! served. Its feeder may be turned away as well. What it follows must not grow old meanwhile: it
//! reads the changes through another host, which reads them at the platform for this purpose and
//! not from a feed, so that the answer is as new as the request.

use std::time::Duration;

use oleander_core::Revision;
use oleander_platform::{Changes, ObjectStore, POLL_WAIT, PlatformError};
use tokio::time;

use crate::failover::{FailoverStore, StoreFallback};

/// Time after which a read without a response is also made through another host.
const HEDGE_DELAY: Duration = Duration::from_millis(50);
/// Time between two reads that stand in for a watch.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

impl<S: ObjectStore, F: StoreFallback> FailoverStore<S, F> {
    /// Watches the platform directly, or through another host while that fails.
    pub(crate) async fn watch_platform(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        if wait <= POLL_WAIT {
            return self.poll(prefix, from).await;
        }
        if self.is_path_open() {
            let result = self.record(self.store.watch(prefix, from, wait).await);
            if self.is_path_open() || result.is_ok() {
                return result;
            }
        }
        let changes = self.poll(prefix, from).await?;
        if changes.changes.is_empty() {
            time::sleep(wait.min(POLL_INTERVAL)).await;
        }
        Ok(changes)
    }

    /// Reads the changes after a revision directly; also through another host if that fails or
    /// takes long.
    async fn poll(&self, prefix: &str, from: Revision) -> Result<Changes, PlatformError> {
        let (path, own_prefix) = (self.clone(), prefix.to_owned());
        // The outcome of the direct read counts also after another host has answered.
        let mut direct = tokio::spawn(async move {
            path.record(path.store.watch(&own_prefix, from, POLL_WAIT).await)
        });
        let delay = if self.is_path_open() { HEDGE_DELAY } else { Duration::ZERO };
        let error = match time::timeout(delay, &mut direct).await {
            Ok(Ok(Err(error))) if may_poll_elsewhere(&error) => Some(error),
            Ok(joined) => return joined.unwrap_or_else(|error| Err(no_response(&error))),
            Err(_) => None,
        };
        let elsewhere = self.poll_elsewhere(prefix, from);
        if let Some(error) = error {
            return elsewhere.await.ok_or(error);
        }
        tokio::pin!(elsewhere);
        tokio::select! {
            joined = &mut direct => match joined {
                Ok(Err(error)) if may_poll_elsewhere(&error) => elsewhere.await.ok_or(error),
                joined => joined.unwrap_or_else(|error| Err(no_response(&error))),
            },
            changes = &mut elsewhere => match changes {
                Some(changes) => Ok(changes),
                None => direct.await.unwrap_or_else(|error| Err(no_response(&error))),
            },
        }
    }

    async fn poll_elsewhere(&self, prefix: &str, from: Revision) -> Option<Changes> {
        let fallback = self.fallback()?;
        fallback.poll(prefix, from).await
    }
}

/// Whether another host may read what could not be read here.
const fn may_poll_elsewhere(error: &PlatformError) -> bool {
    !matches!(error, PlatformError::Rejected(_) | PlatformError::HistoryGone)
}

fn no_response(error: &impl ToString) -> PlatformError {
    PlatformError::NoResponse(error.to_string())
}
