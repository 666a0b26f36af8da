//! Appends that are not part of a segment yet, and their grouping into segments.

use std::mem;

use oleander_core::{AttemptId, HostId};
use serde::Serialize;

use super::event::Ticket;
use crate::segment::{MAX_SEGMENT_BYTES, Segment};

/// Upper bound of the segment's size without its records.
const SEGMENT_OVERHEAD_BYTES: usize = 512;

/// The pending appends of one writer.
#[derive(Debug)]
pub(super) struct AppendQueue<R> {
    writer: HostId,
    incarnation: u64,
    /// Number of segments that were started.
    attempts: u64,
    pending: Vec<(Ticket, R)>,
}

impl<R> AppendQueue<R> {
    /// An empty queue.
    pub(super) const fn new(writer: HostId, incarnation: u64) -> Self {
        Self { writer, incarnation, attempts: 0, pending: Vec::new() }
    }

    pub(super) const fn len(&self) -> usize {
        self.pending.len()
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    pub(super) fn push(&mut self, ticket: Ticket, record: R) {
        self.pending.push((ticket, record));
    }

    /// Removes and returns all appends.
    pub(super) fn take(&mut self) -> Vec<(Ticket, R)> {
        mem::take(&mut self.pending)
    }

    fn attempt_id(&self) -> AttemptId {
        let text = format!("{}:{}:{}", self.writer, self.incarnation, self.attempts);
        AttemptId::try_from(text)
            .unwrap_or_else(|_| unreachable!("the longest host id fits in an attempt id"))
    }
}

impl<R: Serialize> AppendQueue<R> {
    /// Moves as many records as fit into a segment of a new attempt.
    pub(super) fn next_segment(&mut self) -> (Segment<R>, Vec<Ticket>) {
        let mut size = SEGMENT_OVERHEAD_BYTES;
        let mut count = 0;
        for (_, record) in &self.pending {
            size += encoded_len(record);
            if count > 0 && size > MAX_SEGMENT_BYTES {
                break;
            }
            count += 1;
        }
        self.attempts += 1;
        let (tickets, records) = self.pending.drain(..count).unzip();
        let segment = Segment { writer: self.writer.clone(), attempt: self.attempt_id(), records };
        (segment, tickets)
    }
}

fn encoded_len<R: Serialize>(record: &R) -> usize {
    postcard::experimental::serialized_size(record).unwrap_or(MAX_SEGMENT_BYTES)
}
