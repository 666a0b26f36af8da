//! The path of one host to the platform, with faults.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use oleander_core::Revision;
use oleander_platform::{
    Changes, Created, Listing, MemoryPlatform, Object, ObjectStore, Page, PlatformError, Updated,
};
use parking_lot::Mutex;
use tokio::time::sleep;

/// Latency of each call.
const CALL_LATENCY: Duration = Duration::from_millis(5);
/// Time after which a call without an answer fails.
const NO_ANSWER: Duration = Duration::from_millis(600);
/// Time for which the client of the platform waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which a delayed write is carried out.
const WRITE_DELAY: Duration = Duration::from_millis(900);
/// Prefix of the keys of job records.
const RECORDS: &str = "joblist/";

/// Whether a host reaches the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Path {
    #[default]
    Open,
    Refused,
    Silent,
    /// As silent, for as long as the client of the platform waits.
    Unanswered,
}

/// What becomes of the next write of a job record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum NextWrite {
    #[default]
    Answered,
    /// It is done, and its answer is lost.
    AnswerLost,
    /// Its answer is lost, and it is done some time later.
    Delayed,
}

#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) path: Path,
    pub(crate) next_write: NextWrite,
    /// Whether watches say that nothing has changed.
    pub(crate) stands_still: bool,
}

/// The path of one host.
#[derive(Debug, Clone)]
pub(crate) struct FaultyStore {
    platform: MemoryPlatform,
    pub(crate) faults: Arc<Mutex<Faults>>,
}

fn no_answer() -> PlatformError {
    PlatformError::NoResponse("lost by the test".to_owned())
}

impl FaultyStore {
    pub(crate) fn new(platform: MemoryPlatform) -> Self {
        Self { platform, faults: Arc::default() }
    }

    async fn pass(&self) -> Result<(), PlatformError> {
        sleep(CALL_LATENCY).await;
        let path = self.faults.lock().path;
        match path {
            Path::Open => Ok(()),
            Path::Refused => Err(PlatformError::Busy("refused by the test".to_owned())),
            Path::Silent => {
                sleep(NO_ANSWER).await;
                Err(no_answer())
            }
            Path::Unanswered => {
                sleep(CLIENT_TIMEOUT).await;
                Err(no_answer())
            }
        }
    }

    fn next_write(&self, key: &str) -> NextWrite {
        if !key.starts_with(RECORDS) {
            return NextWrite::Answered;
        }
        std::mem::take(&mut self.faults.lock().next_write)
    }

    /// Carries out a write as the faults say.
    async fn write<T, F>(&self, key: &str, write: F) -> Result<T, PlatformError>
    where
        T: Send + 'static,
        F: Future<Output = Result<T, PlatformError>> + Send + 'static,
    {
        self.pass().await?;
        match self.next_write(key) {
            NextWrite::Answered => write.await,
            NextWrite::AnswerLost => {
                write.await?;
                sleep(NO_ANSWER).await;
                Err(no_answer())
            }
            NextWrite::Delayed => {
                tokio::spawn(async move {
                    sleep(WRITE_DELAY).await;
                    drop(write.await);
                });
                sleep(NO_ANSWER).await;
                Err(no_answer())
            }
        }
    }
}

impl ObjectStore for FaultyStore {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        self.pass().await?;
        self.platform.get(key).await
    }

    async fn create(&self, key: &str, body: Bytes) -> Result<Created, PlatformError> {
        let (platform, name) = (self.platform.clone(), key.to_owned());
        self.write(key, async move { platform.create(&name, body).await }).await
    }

    async fn update(
        &self,
        key: &str,
        body: Bytes,
        expected: Revision,
    ) -> Result<Updated, PlatformError> {
        let (platform, name) = (self.platform.clone(), key.to_owned());
        self.write(key, async move { platform.update(&name, body, expected).await }).await
    }

    async fn remove(&self, key: &str, expected: Revision) -> Result<Updated, PlatformError> {
        self.pass().await?;
        self.platform.remove(key, expected).await
    }

    async fn list(&self, prefix: &str, after: &str, n: usize) -> Result<Listing, PlatformError> {
        self.pass().await?;
        self.platform.list(prefix, after, n).await
    }

    async fn changed(&self, prefix: &str, from: Revision) -> Result<Revision, PlatformError> {
        self.pass().await?;
        self.platform.changed(prefix, from).await
    }

    async fn scan(&self, prefix: &str, after: &str) -> Result<Page, PlatformError> {
        self.pass().await?;
        self.platform.scan(prefix, after).await
    }

    async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        self.pass().await?;
        if self.faults.lock().stands_still {
            sleep(wait).await;
            return Ok(Changes { changes: Vec::new(), revision: from });
        }
        self.platform.watch(prefix, from, wait).await
    }
}
