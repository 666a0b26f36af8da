//! The platform's store, by way of another host where the own path is bad.
//!
//! A host that is refused by the store, or cut off from it, goes on with its jobs through a host
//! that reaches it. A read may go both ways. A write goes the second way only if the first did
//! nothing; otherwise its caller settles it by reading, as ever. A bad path is tried by
//! reads of its own only. A host serves others only while its own path is good, so that an outage for
//! all costs no calls.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use oleander_core::{Revision, Span};
use oleander_host::clock;
use oleander_platform::{
    Changes, Created, Listing, Object, ObjectStore, Page, PlatformError, Updated,
};
use parking_lot::{Mutex, RwLock};
use serde::{Deserialize, Serialize};

use crate::{breaker::CircuitBreaker, feed::ChangeFeeds};

/// Longest wait for a host that makes the call: the store's own answer and the way there.
pub(crate) const FALLBACK_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Shortest wait of a watch that a feeder may answer.
const LEAST_FED: Duration = Duration::from_millis(100);

/// A call of the store that another host makes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Reads an object.
    Get(String),
    /// Creates an object unless there is one.
    Create(String, Bytes),
    /// Replaces an object at a revision.
    Update(String, Bytes, Revision),
    /// Waits for changes below a prefix after a revision; only a feeder answers.
    Watch(String, Revision, Span),
}

/// What came of it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum StoreResponse {
    /// The object, if there is one.
    Got(Option<Object>),
    /// It was created at this revision, or one was there.
    Created(Option<Revision>),
    /// It was replaced.
    Updated(Revision),
    /// It has another revision, or is gone.
    Stale(Option<Revision>),
    /// Changes up to a revision.
    Changes(Changes),
    /// It changed nothing: the host does not reach the store either.
    Refused(String),
    /// It may have taken effect.
    Unknown(String),
}

/// Makes calls through other hosts.
pub trait StoreFallback: Send + Sync + 'static {
    /// Lets another host make `call`.
    fn call(&self, call: StoreRequest) -> impl Future<Output = StoreResponse> + Send;

    /// Lets this host's feeder answer a watch; `None` if there is none that does.
    fn watch_feed(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> impl Future<Output = Option<Changes>> + Send;
}

/// A store with a second way to it.
#[derive(Debug)]
pub struct FailoverStore<S, D> {
    store: S,
    breaker: Arc<Mutex<CircuitBreaker>>,
    detour: Arc<RwLock<Option<Arc<D>>>>,
    feeds: ChangeFeeds,
}

impl<S: Clone, D> Clone for FailoverStore<S, D> {
    fn clone(&self) -> Self {
        let (breaker, detour) = (Arc::clone(&self.breaker), Arc::clone(&self.detour));
        Self { store: self.store.clone(), breaker, detour, feeds: self.feeds.clone() }
    }
}

impl<S: ObjectStore, D: StoreFallback> FailoverStore<S, D> {
    /// A store without a second way.
    #[must_use]
    pub fn new(store: S) -> Self {
        let (breaker, detour, feeds) = (Arc::default(), Arc::default(), ChangeFeeds::default());
        Self { store, breaker, detour, feeds }
    }

    /// What this host keeps for others.
    #[must_use]
    pub fn feeds(&self) -> ChangeFeeds {
        self.feeds.clone()
    }

    /// Sets the second way.
    pub fn set_fallback(&self, detour: Arc<D>) {
        *self.detour.write() = Some(detour);
    }

    /// Makes a call for another host, if the own path is good.
    pub async fn serve(&self, call: StoreRequest) -> StoreResponse {
        match call {
            StoreRequest::Watch(prefix, from, wait) => {
                self.feeds.watch(&prefix, from, wait.to_duration()).await
            }
            _ if self.breaker.lock().is_open() => {
                StoreResponse::Refused("no path to the platform here either".to_owned())
            }
            StoreRequest::Get(key) => match self.watched(self.store.get(&key).await) {
                Ok(object) => StoreResponse::Got(object),
                Err(error) => failure(&error),
            },
            StoreRequest::Create(key, body) => {
                match self.watched(self.store.create(&key, body).await) {
                    Ok(Created::New(revision)) => StoreResponse::Created(Some(revision)),
                    Ok(Created::Exists) => StoreResponse::Created(None),
                    Err(error) => failure(&error),
                }
            }
            StoreRequest::Update(key, body, expected) => {
                match self.watched(self.store.update(&key, body, expected).await) {
                    Ok(Updated::Done(revision)) => StoreResponse::Updated(revision),
                    Ok(Updated::Stale(revision)) => StoreResponse::Stale(revision),
                    Err(error) => failure(&error),
                }
            }
        }
    }

    /// Takes the outcome of a direct call into account.
    fn watched<T>(&self, result: Result<T, PlatformError>) -> Result<T, PlatformError> {
        let now = clock::steady();
        let mut breaker = self.breaker.lock();
        let was_open = breaker.is_open();
        match &result {
            Err(PlatformError::Rejected(_) | PlatformError::HistoryGone) | Ok(_) => {
                breaker.succeed();
            }
            Err(_) => breaker.fail(now),
        }
        match (was_open, breaker.is_open()) {
            (false, true) => log::warn!("path to the platform is lost"),
            (true, false) => log::info!("path to the platform is back"),
            _ => {}
        }
        result
    }

    /// Whether a call may take the own path. While it is bad, a read beside the calls tries it once
    /// in a while, so that none of them is held up by it or has an unknown outcome for it.
    fn is_good(&self, key: &str) -> bool {
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
            if let Err(error) = path.watched(path.store.get(&key).await) {
                log::debug!(error:% = error; "path to the platform is still bad");
            }
        });
        false
    }

    /// Makes a call on the own path if that is good.
    async fn direct<T>(
        &self,
        key: &str,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        if !self.is_good(key) {
            return Err(PlatformError::Busy("the path to the platform is bad".to_owned()));
        }
        self.watched(call.await)
    }

    async fn around(&self, call: StoreRequest, first: PlatformError) -> StoreResponse {
        let detour = self.detour.read().clone();
        match detour {
            Some(detour) => detour.call(call).await,
            None => failure(&first),
        }
    }
}

fn failure(error: &PlatformError) -> StoreResponse {
    if error.may_have_written() {
        StoreResponse::Unknown(error.to_string())
    } else {
        StoreResponse::Refused(error.to_string())
    }
}

fn error_of(answer: StoreResponse) -> PlatformError {
    match answer {
        StoreResponse::Refused(text) => PlatformError::Busy(text),
        StoreResponse::Unknown(text) => PlatformError::NoAnswer(text),
        _ => PlatformError::NoAnswer("answer to another kind of call".to_owned()),
    }
}

impl<S: ObjectStore, D: StoreFallback> ObjectStore for FailoverStore<S, D> {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let first = match self.direct(key, self.store.get(key)).await {
            Ok(object) => return Ok(object),
            Err(error) => error,
        };
        match self.around(StoreRequest::Get(key.to_owned()), first).await {
            StoreResponse::Got(object) => Ok(object),
            other => Err(error_of(other)),
        }
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        let first = match self.direct(key, self.store.create(key, body.clone())).await {
            Err(error) if !error.may_have_written() => error,
            settled => return settled,
        };
        match self.around(StoreRequest::Create(key.to_owned(), body), first).await {
            StoreResponse::Created(Some(revision)) => Ok(Created::New(revision)),
            StoreResponse::Created(None) => Ok(Created::Exists),
            other => Err(error_of(other)),
        }
    }

    async fn update(
        &self,
        key: &str,
        body: Bytes,
        expected: Revision,
    ) -> Result<Updated, PlatformError> {
        let first = match self.direct(key, self.store.update(key, body.clone(), expected)).await {
            Err(error) if !error.may_have_written() => error,
            settled => return settled,
        };
        match self.around(StoreRequest::Update(key.to_owned(), body, expected), first).await {
            StoreResponse::Updated(revision) => Ok(Updated::Done(revision)),
            StoreResponse::Stale(revision) => Ok(Updated::Stale(revision)),
            other => Err(error_of(other)),
        }
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<Updated, PlatformError> {
        self.watched(self.store.remove(key, expected).await)
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Listing, PlatformError> {
        self.watched(self.store.list(prefix, after, limit).await)
    }

    async fn changed(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        self.watched(self.store.changed(prefix, from).await)
    }

    async fn scan(&self, prefix: &str, after: &str) -> Result<Page, PlatformError> {
        self.watched(self.store.scan(prefix, after).await)
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let feeder = self.detour.read().clone();
        // A watch that waits for next to nothing is to show that the platform answers.
        if let Some(feeder) = feeder.filter(|_| wait >= LEAST_FED)
            && let Some(changes) = feeder.watch_feed(prefix, from, wait).await
        {
            return Ok(changes);
        }
        self.watched(self.store.watch(prefix, from, wait).await)
    }
}
