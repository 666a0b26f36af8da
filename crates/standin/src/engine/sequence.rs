//! Sequences of the batch, and the events that their connections receive.

use oleander_core::DigestId;
use tokio::sync::mpsc;

/// Event that the batch sends to the connection of a sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SequenceEvent {
    /// The token at this position was generated.
    Token(u32),
    /// All tokens were generated.
    Finished,
    /// The sequence was cancelled.
    Cancelled,
    /// An injected fault ended it.
    Broken,
}

/// A request in the batch or its queue.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) request_id: String,
    pub(super) digest: DigestId,
    pub(super) hashes: Vec<u64>,
    pub(super) prompt_tokens: u64,
    pub(super) first_token: u32,
    pub(super) next_token: u32,
    pub(super) length: u32,
    pub(super) events: mpsc::UnboundedSender<SequenceEvent>,
}

impl Sequence {
    /// KV cache tokens currently used.
    pub(super) fn kv_tokens(&self) -> u64 {
        self.prompt_tokens + u64::from(self.next_token)
    }

    /// KV cache tokens used when it has finished.
    pub(super) fn max_kv_tokens(&self) -> u64 {
        self.prompt_tokens + u64::from(self.length)
    }

    /// Whether the client has disconnected.
    pub(super) fn is_abandoned(&self) -> bool {
        self.events.is_closed()
    }

    /// Sends an event to the connection; the next step removes the sequence if it is closed.
    pub(super) fn send(&self, event: SequenceEvent) {
        let _ = self.events.send(event);
    }
}
