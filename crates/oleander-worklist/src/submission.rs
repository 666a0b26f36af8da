//! A job that is being submitted.

use oleander_core::{JobId, Span, Time, Tokens};
use oleander_relay::{Route, RouteKind};

use crate::{
    item::NewItem,
    record::{JobPhase, JobRecord, Owner, Part},
    size::content_bytes,
};

/// A submitted job.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Id of the job.
    pub job: JobId,
    /// Host name that the caller addressed.
    pub host: String,
    /// Items of the job.
    pub items: Vec<NewItem>,
    /// Arrival of the first byte.
    pub received: Time,
}

/// Why a job was not accepted, and the time after which it can be submitted again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitError {
    /// The platform takes no writes, or this host is not ready; the job was not accepted.
    Unavailable(Span),
    /// The route's backlog or this host's memory is full; the job was not accepted.
    Full(Span),
    /// An item is larger than the platform stores; the job is never accepted.
    TooLarge,
    /// The platform rejects what describes the job, its id for example; it is never accepted.
    Rejected,
    /// The job may have been accepted; submitting it again reveals the outcome.
    Unknown,
}

/// An item that fits into no object of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TooLarge {
    /// Id of the item.
    pub(crate) item: String,
    /// Its size, in bytes.
    pub(crate) bytes: usize,
}

impl Submission {
    /// Sum of the items' tokens.
    #[must_use]
    pub fn tokens(&self) -> Tokens {
        Tokens(self.items.iter().fold(0, |sum: u64, item| sum.saturating_add(item.tokens)))
    }

    /// Size of all request bodies, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.items.iter().map(|item| item.body.len()).sum()
    }

    /// Splits the items into parts that fit into objects of `object_bytes`.
    pub(crate) fn parts(&self, object_bytes: usize) -> Result<Vec<Part>, TooLarge> {
        let capacity = content_bytes(object_bytes);
        let mut parts: Vec<Part> = Vec::new();
        let mut used = capacity;
        for item in &self.items {
            let record = item.record();
            let bytes = record.json_len();
            if bytes > capacity {
                return Err(TooLarge { item: record.id, bytes });
            }
            if used + bytes > capacity || parts.is_empty() {
                parts.push(Part { items: Vec::new() });
                used = 0;
            }
            used += bytes;
            parts.last_mut().into_iter().for_each(|part| part.items.push(record.clone()));
        }
        Ok(parts)
    }

    /// Builds the record that accepts the job on `route`.
    #[must_use]
    pub fn record(
        &self,
        wall_now: Time,
        route: &Route,
        parts: u32,
        owner: Option<Owner>,
    ) -> JobRecord {
        let (due, retention) = match route.kind {
            RouteKind::Batch { due, retention, .. } => (due, retention),
            RouteKind::Single | RouteKind::Stream => (route.timeout, route.timeout),
        };
        JobRecord {
            job: self.job.clone(),
            route: route.name.clone(),
            host: self.host.clone(),
            total: self.items.len() as u32,
            tokens: self.tokens(),
            parts,
            accepted: wall_now,
            due,
            retention,
            attempts: route.max_attempts,
            owner,
            phase: JobPhase::Open,
        }
    }
}
