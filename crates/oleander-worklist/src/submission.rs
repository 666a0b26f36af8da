//! A job on its way in.

use oleander_core::{JobId, Span, Time, Tokens};
use oleander_relay::{Route, RouteKind};

use crate::{
    item::NewItem,
    record::{JobEntry, JobPhase, Owner, Part},
};

/// Bytes of a stored item that are not its body, as an upper estimate.
const ITEM_OVERHEAD: usize = 1 << 10;

/// A job as it is submitted.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Name of the job.
    pub job: JobId,
    /// Host that its caller addressed.
    pub host: String,
    /// Its items.
    pub items: Vec<NewItem>,
    /// When its first byte arrived.
    pub received: Time,
}

/// Why a job is not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitError {
    /// It was not accepted and will not be; it may come again after a while.
    Busy(Span),
    /// The route has no room for it; it may come again after a while.
    Full(Span),
    /// It may have been accepted; coming again finds out.
    Unknown,
}

impl Submission {
    /// Tokens of all items.
    #[must_use]
    pub fn tokens(&self) -> Tokens {
        Tokens(self.items.iter().map(|item| item.tokens).sum())
    }

    /// Size of all bodies.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.items.iter().map(|item| item.body.len()).sum()
    }

    /// The items in parts that fit into objects of `object_bytes`.
    #[must_use]
    pub fn parts(&self, object_bytes: usize) -> Vec<Part> {
        let room = object_bytes - object_bytes / 8;
        let mut parts: Vec<Part> = Vec::new();
        let mut used = room;
        for item in &self.items {
            let record = item.record();
            let headers: usize = record.headers.iter().map(|(k, v)| k.len() + v.len() + 8).sum();
            let size = record.body.len() + record.path.len() + headers + ITEM_OVERHEAD;
            if used + size > room || parts.is_empty() {
                parts.push(Part { items: Vec::new() });
                used = 0;
            }
            used += size;
            parts.last_mut().into_iter().for_each(|part| part.items.push(record.clone()));
        }
        parts
    }

    /// The entry that accepts the job on `route`.
    #[must_use]
    pub fn entry(&self, wall: Time, route: &Route, parts: u32, owner: Option<Owner>) -> JobEntry {
        let (due, retention) = match route.kind {
            RouteKind::Batch { due, retention, .. } => (due, retention),
            RouteKind::Single | RouteKind::Stream => (route.timeout, route.timeout),
        };
        JobEntry {
            job: self.job.clone(),
            route: route.name.clone(),
            host: self.host.clone(),
            total: self.items.len() as u32,
            tokens: self.tokens(),
            parts,
            accepted: wall,
            due,
            retention,
            attempts: route.max_attempts,
            owner,
            phase: JobPhase::Open,
        }
    }
}
