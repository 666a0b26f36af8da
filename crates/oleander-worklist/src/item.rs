//! Items of a job: as submitted, and with their state in an open job.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, OnceLock},
};

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use oleander_core::{TargetId, Time};
use oleander_quarantine::RequestParts;
use oleander_relay::{EventReader, Request, SoftwareVersion, TargetTransport, request_parts};

use crate::record::{ItemOutcome, ItemRecord};

/// A submitted item: one request of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewItem {
    /// Id of the item, unique in its job.
    pub id: String,
    /// Path and query of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: BTreeMap<String, String>,
    /// Body of the request.
    pub body: Bytes,
    /// Tokens of the prompt plus the maximum tokens of the output.
    pub tokens: u64,
}

/// Outcome of one run of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// The output is complete.
    Completed,
    /// The target failed the request (status 500); counts as one of the item's attempts.
    Failed,
    /// The target can't process the request (status 422); the item is not retried.
    Impossible,
    /// The run was refused, lost or interrupted; the item can resume at another target.
    Interrupted,
    /// The target crashed and had sent nothing for the item, which waits longer each time.
    Crashed,
    /// The output is larger than a result can be; the item starts again elsewhere.
    Oversized,
}

/// Status of an item of an open job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ItemStatus {
    Waiting,
    Running,
    /// The result is known but not committed yet.
    Finished(ItemOutcome),
    Committed,
}

/// Output of an item that is kept between runs.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// Reader of the event stream over all runs; knows the last event id to resume from.
    pub events: EventReader,
    /// Data of the events so far, joined by line feeds.
    pub output: Vec<u8>,
    /// Number of events in the output.
    pub event_count: u64,
    /// Software version of the targets that wrote the output.
    pub version: Option<SoftwareVersion>,
}

/// An item of an open job, with its status and progress.
#[derive(Debug, Clone)]
pub(crate) struct Item {
    pub(crate) request: Arc<Request>,
    parts: OnceLock<Arc<RequestParts>>,
    pub(crate) status: ItemStatus,
    pub(crate) failures: u32,
    /// Targets that crashed one after the other without output for the item.
    pub(crate) crashes: u32,
    pub(crate) not_before: Time,
    pub(crate) avoid: Option<TargetId>,
    pub(crate) progress: Progress,
    /// Number of times that the platform has rejected the result.
    pub(crate) rejections: u32,
    /// Targets whose output for the item can't be stored.
    pub(crate) unstorable: BTreeSet<TargetId>,
}

impl NewItem {
    /// The stored form of the item.
    #[must_use]
    pub fn record(&self) -> ItemRecord {
        ItemRecord {
            id: self.id.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: BASE64_STANDARD.encode(&self.body),
            tokens: self.tokens,
        }
    }
}

impl TryFrom<ItemRecord> for NewItem {
    type Error = base64::DecodeError;

    fn try_from(record: ItemRecord) -> Result<Self, Self::Error> {
        let body = Bytes::from(BASE64_STANDARD.decode(&record.body)?);
        let ItemRecord { id, path, headers, tokens, .. } = record;
        Ok(Self { id, path, headers, body, tokens })
    }
}

impl Item {
    /// Creates a waiting item of a job addressed to `host`; `id_header` carries its id to targets.
    pub(crate) fn new(item: NewItem, host: &str, id_header: &HeaderName) -> Self {
        let mut headers = HeaderMap::new();
        for (name, value) in &item.headers {
            match (HeaderName::try_from(name.as_str()), HeaderValue::try_from(value.as_str())) {
                (Ok(name), Ok(value)) => drop(headers.insert(name, value)),
                _ => log::warn!(item:% = item.id, header:% = name; "invalid header is not sent"),
            }
        }
        if let Ok(id) = HeaderValue::try_from(item.id.as_str()) {
            headers.insert(id_header.clone(), id);
        }
        let request = Request {
            id: item.id,
            host: host.to_owned(),
            method: Method::POST,
            path: item.path,
            headers,
            body: item.body,
            budget: None,
            resume_after: None,
            resumes: None,
            received: Time(0),
        };
        Self {
            request: Arc::new(request),
            parts: OnceLock::new(),
            status: ItemStatus::Waiting,
            failures: 0,
            crashes: 0,
            not_before: Time(0),
            avoid: None,
            progress: Progress::default(),
            rejections: 0,
            unstorable: BTreeSet::new(),
        }
    }

    /// Drops output that can't be stored; the item runs again elsewhere, until enough targets have
    /// written such output to show that the item asks for it.
    pub(crate) fn drop_unstorable(&mut self, max_targets: usize) {
        self.progress = Progress::default();
        self.rejections = 0;
        self.unstorable.extend(self.avoid.clone());
        self.status = if self.unstorable.len() < max_targets {
            ItemStatus::Waiting
        } else {
            ItemStatus::Finished(ItemOutcome::Failed)
        };
    }

    /// The parts of the request, by which a crash of its target is attributed.
    pub(crate) fn parts<T: TargetTransport>(&self, transport: &T) -> Arc<RequestParts> {
        Arc::clone(self.parts.get_or_init(|| request_parts(transport, &self.request)))
    }
}
