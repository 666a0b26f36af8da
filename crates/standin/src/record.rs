//! Log of request events in a stand-in, which tests check.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{SystemTime, UNIX_EPOCH},
};

use oleander_core::DigestId;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Maximum number of records; the oldest are dropped first.
pub const MAX_RECORDS: usize = 300_000;

/// What happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RecordEvent {
    /// The request was received.
    Received,
    /// Its run started.
    Started,
    /// Its run ended and the response was passed to the connection.
    Finished,
    /// It was cancelled by a call, or because the client closed the connection.
    Cancelled,
    /// An injected fault ended it.
    Broken,
}

/// One event of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Id of the request.
    pub request_id: String,
    /// What happened.
    pub event: RecordEvent,
    /// Time of the event, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Digest of the messages or of the request body.
    pub digest: DigestId,
}

/// Response to `GET /_records`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordList {
    /// Matching records in order of time.
    pub records: Vec<Record>,
    /// Records dropped since the start because [`MAX_RECORDS`] was reached.
    pub dropped: u64,
    /// Number of started runs by request id.
    pub runs: BTreeMap<String, u64>,
}

/// Query parameters of `GET /_records`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RecordQuery {
    /// Selects the records of one request; all requests if absent.
    pub request_id: Option<String>,
}

/// Records of the requests to a stand-in.
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
    /// Records an event at the current time.
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

    /// The records that match `query`.
    #[must_use]
    pub fn list(&self, query: &RecordQuery) -> RecordList {
        let log = self.inner.lock();
        let matches = |id: &str| query.request_id.as_deref().is_none_or(|wanted| wanted == id);
        let matching = log.records.iter().filter(|record| matches(&record.request_id));
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

/// The current time in microseconds since the Unix epoch.
#[must_use]
pub fn unix_micros() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
