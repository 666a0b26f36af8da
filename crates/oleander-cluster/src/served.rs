//! Requests to the platform that a host makes for others.
//!
//! Each holds a worker of the host's link until the platform answers, so as many as the link has
//! workers would delay probes, announcements and questions about streams.

use std::sync::Arc;

use oleander_platform::{Created, ObjectStore, POLL_WAIT, PlatformError, Updated};
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::{
    cluster::LINK_WORKERS,
    failover::{FailoverStore, StoreFallback, StoreRequest, StoreResponse, failure_response},
};

/// Maximum number of requests that wait for the platform at the same time.
const MAX_SERVED: usize = LINK_WORKERS * 3 / 8;

/// Permissions to make requests for others.
#[derive(Debug, Clone)]
pub(crate) struct ServedRequests(Arc<Semaphore>);

impl Default for ServedRequests {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_SERVED)))
    }
}

/// The response to a request that was not made, since as many as may wait for the platform.
///
/// A read that is refused says that this host has no path to the platform.
fn busy_response(request: &StoreRequest) -> StoreResponse {
    let reason = "this host makes as many requests for others as it may".to_owned();
    match request {
        StoreRequest::Get(_) => StoreResponse::Unknown(reason),
        _ => StoreResponse::Refused(reason),
    }
}

impl<S: ObjectStore, F: StoreFallback> FailoverStore<S, F> {
    /// Makes a request for another host, if the direct path works.
    pub async fn serve(&self, request: StoreRequest) -> StoreResponse {
        let _permit = match self.admit(&request) {
            Ok(permit) => permit,
            Err(response) => return response,
        };
        self.make(request).await.unwrap_or_else(|error| failure_response(&error))
    }

    /// The permission to make a request, which a watch of a feed does not need, or the response
    /// without one.
    fn admit(&self, request: &StoreRequest) -> Result<Option<SemaphorePermit<'_>>, StoreResponse> {
        if matches!(request, StoreRequest::Watch(..)) {
            return Ok(None);
        }
        if !self.is_path_open() {
            let reason = "this host has no path to the platform either";
            return Err(StoreResponse::Refused(reason.to_owned()));
        }
        self.served.0.try_acquire().map(Some).map_err(|_| {
            metrics::counter!("peer_store_requests_refused_total").increment(1);
            busy_response(request)
        })
    }

    async fn make(&self, request: StoreRequest) -> Result<StoreResponse, PlatformError> {
        Ok(match request {
            StoreRequest::Get(key) => StoreResponse::Got(self.record(self.store.get(&key).await)?),
            StoreRequest::Create(key, body) => {
                match self.record(self.store.create(&key, body).await)? {
                    Created::New(revision) => StoreResponse::Created(Some(revision)),
                    Created::Exists => StoreResponse::Created(None),
                }
            }
            StoreRequest::Update(key, body, expected) => {
                match self.record(self.store.update(&key, body, expected).await)? {
                    Updated::Done(revision) => StoreResponse::Updated(revision),
                    Updated::Stale(revision) => StoreResponse::Stale(revision),
                }
            }
            StoreRequest::Watch(prefix, from, wait) => {
                self.feeds.watch(&prefix, from, wait.to_duration()).await
            }
            StoreRequest::Poll(prefix, from) => {
                let read = self.store.watch(&prefix, from, POLL_WAIT).await;
                StoreResponse::Changes(self.record(read)?)
            }
        })
    }
}
