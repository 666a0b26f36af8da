//! One item of an open job.

use std::{collections::BTreeMap, sync::Arc};

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use oleander_core::{TargetId, Time};
use oleander_relay::{EventReader, Request};

use crate::record::ItemRecord;

/// An item as it is submitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewItem {
    /// Name of the item.
    pub id: String,
    /// Path and query of its request.
    pub path: String,
    /// Headers of its request.
    pub headers: BTreeMap<String, String>,
    /// Body of its request.
    pub body: Bytes,
    /// Tokens of its prompt and most tokens of its output.
    pub tokens: u64,
}

/// How a run of an item ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemEnd {
    /// Its output is whole.
    Completed,
    /// The target failed it; counts towards the bound of attempts.
    Failed,
    /// It can never be done.
    Impossible,
    /// The run was lost or refused; the item may go on elsewhere.
    Interrupted,
}

/// Where an item stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    Waiting,
    Running,
    /// Ended; the result is not listed yet.
    Ended(crate::record::ItemState),
    Listed,
}

/// What is kept of an item between runs.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    /// Reads the stream over all runs.
    pub events: EventReader,
    /// Data of the events so far.
    pub output: Vec<u8>,
    /// Whether the output holds any event.
    pub begun: bool,
}

/// An item of an open job.
#[derive(Debug, Clone)]
pub(crate) struct Item {
    pub(crate) request: Arc<Request>,
    pub(crate) standing: Standing,
    pub(crate) failures: u32,
    pub(crate) earliest: Time,
    pub(crate) avoid: Option<TargetId>,
    pub(crate) progress: Progress,
}

impl NewItem {
    /// The item as it is stored.
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
    /// A waiting item of a job on `host`; `id_header` carries its name to targets.
    pub(crate) fn new(item: NewItem, host: &str, id_header: &HeaderName) -> Self {
        let mut headers = HeaderMap::new();
        for (name, value) in &item.headers {
            match (HeaderName::try_from(name.as_str()), HeaderValue::try_from(value.as_str())) {
                (Ok(name), Ok(value)) => drop(headers.insert(name, value)),
                _ => log::warn!(item:% = item.id, header:% = name; "header can't be sent"),
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
            received: Time(0),
        };
        Self {
            request: Arc::new(request),
            standing: Standing::Waiting,
            failures: 0,
            earliest: Time(0),
            avoid: None,
            progress: Progress::default(),
        }
    }
}
