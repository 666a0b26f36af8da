//! What a stand-in saw happen, for tests to check against.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{SystemTime, UNIX_EPOCH},
};

use oleander_core::DigestId;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Records kept before the oldest are dropped.
pub const MAX_RECORDS: usize = 300_000;

/// What happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RecordEvent {
    /// The request came in.
    Received,
    /// Its run began.
    Started,
    /// Its run ended and the answer was handed to the connection.
    Finished,
    /// It was cancelled, by call or by a closed connection.
    Cancelled,
    /// A fault ended it.
    Broken,
}

/// One event of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Id of the request.
    pub request_id: String,
    /// What happened.
    pub event: RecordEvent,
    /// When, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Digest of the messages or the body.
    pub digest: DigestId,
}

/// The answer to `GET /_records`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordList {
    /// Events in order.
    pub records: Vec<Record>,
    /// Records dropped since the start because there were too many.
    pub dropped: u64,
    /// Runs begun by request id.
    pub runs: BTreeMap<String, u64>,
}

/// Query of `GET /_records`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RecordQuery {
    /// Only this request.
    pub request_id: Option<String>,
}

/// The events that a stand-in saw.
#[derive(Debug, Default)]
pub struct Records {
    inner: Mutex<RecordLog>,
}

#[derive(Debug, Default)]
struct RecordLog {
    records: VecDeque<Record>,
    counts: BTreeMap<RecordEvent, u64>,
    dropped: u64,
}

impl Records {
    /// Adds an event that happens now.
    pub fn add(&self, request_id: &str, event: RecordEvent, digest: &DigestId) {
        let record = Record {
            request_id: request_id.to_owned(),
            event,
            at_us: unix_micros(),
            digest: digest.clone(),
        };
        let mut log = self.inner.lock();
        *log.counts.entry(event).or_default() += 1;
        if log.records.len() == MAX_RECORDS {
            log.records.pop_front();
            log.dropped += 1;
        }
        log.records.push_back(record);
    }

    /// The events that match `query`.
    #[must_use]
    pub fn list(&self, query: &RecordQuery) -> RecordList {
        let log = self.inner.lock();
        let wanted = |id: &str| query.request_id.as_deref().is_none_or(|wanted| wanted == id);
        let matching = log.records.iter().filter(|record| wanted(&record.request_id));
        let records: Vec<Record> = matching.cloned().collect();
        let mut runs = BTreeMap::new();
        for record in records.iter().filter(|record| record.event == RecordEvent::Started) {
            *runs.entry(record.request_id.clone()).or_default() += 1;
        }
        RecordList { records, dropped: log.dropped, runs }
    }

    /// Number of events of each kind since the start.
    #[must_use]
    pub fn counts(&self) -> BTreeMap<RecordEvent, u64> {
        self.inner.lock().counts.clone()
    }
}

/// The present time in microseconds since the Unix epoch.
#[must_use]
pub fn unix_micros() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
