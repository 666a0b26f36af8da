//! Failover of platform requests to another host while this host's direct path fails.
//!
//! A host that is refused by the platform's store, or disconnected from it, sends its requests
//! through a host that reaches the store. A read may be sent on both paths. A write is sent through
//! another host only if the direct attempt had no effect; otherwise its outcome is unknown, and the
//! caller finds it by a read. What the store rejects for good is sent through no other host. A failing path is tested with extra reads only. A host serves others
//! only while its own direct path works, so that an outage for all hosts causes no requests between
//! them.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use oleander_core::{Revision, Span};
use oleander_host::clock;
use oleander_platform::{
    Changes, Created, Listing, Object, ObjectStore, Page, PlatformError, Updated,
};
use parking_lot::{Mutex, RwLock};
use serde::{Deserialize, Serialize};

use crate::{breaker::CircuitBreaker, feed::ChangeFeeds, served::ServedRequests};

/// Maximum wait for a request through another host: the store's response time and the link to the
/// host.
pub(crate) const FALLBACK_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Minimum wait of a watch that is sent to a feeder.
const MIN_FEED_WAIT: Duration = Duration::from_millis(100);

/// A store request that another host makes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Reads an object.
    Get(String),
    /// Creates an object unless there is one.
    Create(String, Bytes),
    /// Replaces an object at a revision.
    Update(String, Bytes, Revision),
    /// Waits for changes below a prefix after a revision; served by feeders only.
    Watch(String, Revision, Span),
    /// Reads the changes below a prefix after a revision at the platform, without waiting for one.
    /// A host that does not know this request fails to decode it.
    Poll(String, Revision),
}

/// The response to a [`StoreRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StoreResponse {
    /// The object, if there is one.
    Got(Option<Object>),
    /// The object was created at this revision; `None` if it existed already.
    Created(Option<Revision>),
    /// The object was replaced, at this revision.
    Updated(Revision),
    /// The object has another revision, or no longer exists.
    Stale(Option<Revision>),
    /// Changes up to a revision.
    Changes(Changes),
    /// The request had no effect: the host does not reach the store either.
    Refused(String),
    /// The request may have taken effect.
    Unknown(String),
    /// The store rejects the request for good; it had no effect. A host that does not know this
    /// response fails to decode it, and takes the outcome for unknown.
    Rejected(String),
}

/// Sends store requests through other hosts.
pub trait StoreFallback: Send + Sync + 'static {
    /// Sends a request through another host.
    fn call(&self, request: StoreRequest) -> impl Future<Output = StoreResponse> + Send;

    /// Watches this host's feeder; `None` if no feeder responds.
    fn watch_feed(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> impl Future<Output = Option<Changes>> + Send;

    /// Reads changes at the platform through another host; `None` if none reaches it.
    fn poll(&self, prefix: &str, from: Revision) -> impl Future<Output = Option<Changes>> + Send {
        let response = self.call(StoreRequest::Poll(prefix.to_owned(), from));
        async move {
            match response.await {
                StoreResponse::Changes(changes) => Some(changes),
                _ => None,
            }
        }
    }
}

/// A store with a direct path and a fallback through other hosts.
#[derive(Debug)]
pub struct FailoverStore<S, F> {
    pub(crate) store: S,
    pub(crate) breaker: Arc<Mutex<CircuitBreaker>>,
    fallback: Arc<RwLock<Option<Arc<F>>>>,
    pub(crate) feeds: ChangeFeeds,
    pub(crate) served: ServedRequests,
}

impl<S: Clone, F> Clone for FailoverStore<S, F> {
    fn clone(&self) -> Self {
        let (breaker, fallback) = (Arc::clone(&self.breaker), Arc::clone(&self.fallback));
        let (feeds, served) = (self.feeds.clone(), self.served.clone());
        Self { store: self.store.clone(), breaker, fallback, feeds, served }
    }
}

impl<S: ObjectStore, F: StoreFallback> FailoverStore<S, F> {
    /// Creates a store without a fallback.
    #[must_use]
    pub fn new(store: S) -> Self {
        let (breaker, fallback) = (Arc::default(), Arc::default());
        let (feeds, served) = (ChangeFeeds::default(), ServedRequests::default());
        Self { store, breaker, fallback, feeds, served }
    }

    /// Change feeds that this host serves to others.
    #[must_use]
    pub fn feeds(&self) -> ChangeFeeds {
        self.feeds.clone()
    }

    /// Sets the fallback.
    pub fn set_fallback(&self, fallback: Arc<F>) {
        *self.fallback.write() = Some(fallback);
    }

    /// Whether requests take the direct path, as far as known.
    pub(crate) fn is_path_open(&self) -> bool {
        !self.breaker.lock().is_open()
    }

    /// Other hosts, if there may be any.
    pub(crate) fn fallback(&self) -> Option<Arc<F>> {
        self.fallback.read().clone()
    }

    /// Updates the breaker with the result of a direct request.
    pub(crate) fn record<T>(&self, result: Result<T, PlatformError>) -> Result<T, PlatformError> {
        let now = clock::steady();
        let mut breaker = self.breaker.lock();
        let was_open = breaker.is_open();
        match &result {
            Err(PlatformError::Rejected(_) | PlatformError::HistoryGone) | Ok(_) => {
                breaker.record_success();
            }
            Err(_) => breaker.record_failure(now),
        }
        match (was_open, breaker.is_open()) {
            (false, true) => log::warn!("path to the platform is lost"),
            (true, false) => log::info!("path to the platform is back"),
            _ => {}
        }
        result
    }

    /// Whether a request may take the direct path. While the path fails, it is tested with a
    /// separate read once per retry interval, so that no request is delayed by it or gets an
    /// unknown outcome.
    fn is_available(&self, key: &str) -> bool {
        {
            let mut breaker = self.breaker.lock();
            if !breaker.is_open() {
                return true;
            }
            if !breaker.allow(clock::steady()) {
                return false;
            }
        }
        let (path, key) = (self.clone(), key.to_owned());
        tokio::spawn(async move {
            if let Err(error) = path.record(path.store.get(&key).await) {
                log::debug!(error:% = error; "path to the platform still fails");
            }
        });
        false
    }

    /// Makes a request on the direct path if it works.
    async fn direct<T>(
        &self,
        key: &str,
        request: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        if !self.is_available(key) {
            return Err(PlatformError::Busy("the direct path to the platform fails".to_owned()));
        }
        self.record(request.await)
    }

    async fn call_fallback(&self, request: StoreRequest, error: PlatformError) -> StoreResponse {
        match self.fallback() {
            Some(fallback) => fallback.call(request).await,
            None => failure_response(&error),
        }
    }
}

pub(crate) fn failure_response(error: &PlatformError) -> StoreResponse {
    match error {
        PlatformError::Rejected(reason) => StoreResponse::Rejected(reason.clone()),
        error if error.may_have_written() => StoreResponse::Unknown(error.to_string()),
        error => StoreResponse::Refused(error.to_string()),
    }
}

/// Whether another host may do what failed here: it had no effect, and the store does not reject
/// it for good.
const fn may_fall_back(error: &PlatformError) -> bool {
    !error.may_have_written() && !matches!(error, PlatformError::Rejected(_))
}

fn error_from(response: StoreResponse) -> PlatformError {
    match response {
        StoreResponse::Refused(text) => PlatformError::Busy(text),
        StoreResponse::Unknown(text) => PlatformError::NoResponse(text),
        StoreResponse::Rejected(text) => PlatformError::Rejected(text),
        _ => PlatformError::NoResponse("unexpected kind of response".to_owned()),
    }
}

impl<S: ObjectStore, F: StoreFallback> ObjectStore for FailoverStore<S, F> {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let error = match self.direct(key, self.store.get(key)).await {
            Err(error @ PlatformError::Rejected(_)) => return Err(error),
            Ok(object) => return Ok(object),
            Err(error) => error,
        };
        match self.call_fallback(StoreRequest::Get(key.to_owned()), error).await {
            StoreResponse::Got(object) => Ok(object),
            other => Err(error_from(other)),
        }
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        let error = match self.direct(key, self.store.create(key, body.clone())).await {
            Err(error) if may_fall_back(&error) => error,
            result => return result,
        };
        match self.call_fallback(StoreRequest::Create(key.to_owned(), body), error).await {
            StoreResponse::Created(Some(revision)) => Ok(Created::New(revision)),
            StoreResponse::Created(None) => Ok(Created::Exists),
            other => Err(error_from(other)),
        }
    }

    async fn update(
        &self,
        key: &str,
        body: Bytes,
        expected: Revision,
    ) -> Result<Updated, PlatformError> {
        let error = match self.direct(key, self.store.update(key, body.clone(), expected)).await {
            Err(error) if may_fall_back(&error) => error,
            result => return result,
        };
        match self.call_fallback(StoreRequest::Update(key.to_owned(), body, expected), error).await
        {
            StoreResponse::Updated(revision) => Ok(Updated::Done(revision)),
            StoreResponse::Stale(revision) => Ok(Updated::Stale(revision)),
            other => Err(error_from(other)),
        }
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<Updated, PlatformError> {
        self.record(self.store.remove(key, expected).await)
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Listing, PlatformError> {
        self.record(self.store.list(prefix, after, limit).await)
    }

    async fn changed(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        self.record(self.store.changed(prefix, from).await)
    }

    async fn scan(&self, prefix: &str, after: &str) -> Result<Page, PlatformError> {
        self.record(self.store.scan(prefix, after).await)
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let fallback = self.fallback();
        // A watch with a minimal wait tests whether the platform responds.
        if let Some(fallback) = fallback.filter(|_| wait >= MIN_FEED_WAIT)
            && let Some(changes) = fallback.watch_feed(prefix, from, wait).await
        {
            return Ok(changes);
        }
        self.watch_platform(prefix, from, wait).await
    }
}
