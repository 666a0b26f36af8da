//! One request as the batch sees it, and the events that its connection receives.

use oleander_core::DigestId;
use tokio::sync::mpsc;

/// What the batch tells the connection of a sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SequenceEvent {
    /// The token at this position was generated.
    Token(u32),
    /// The answer is whole.
    Finished,
    /// The sequence was cancelled.
    Cancelled,
    /// A fault cut it.
    Broken,
}

/// One request in the batch.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) request_id: String,
    pub(super) digest: DigestId,
    pub(super) hashes: Vec<u64>,
    pub(super) prompt_tokens: u64,
    pub(super) first: u32,
    pub(super) next: u32,
    pub(super) length: u32,
    pub(super) events: mpsc::UnboundedSender<SequenceEvent>,
}

impl Sequence {
    /// KV cache tokens that it holds now.
    pub(super) fn kv_tokens(&self) -> u64 {
        self.prompt_tokens + u64::from(self.next)
    }

    /// KV cache tokens that it holds at its end.
    pub(super) fn kv_bound(&self) -> u64 {
        self.prompt_tokens + u64::from(self.length)
    }

    /// Whether nobody listens any more.
    pub(super) fn is_dropped(&self) -> bool {
        self.events.is_closed()
    }

    /// Tells the connection; one that is gone is noticed at the next step.
    pub(super) fn tell(&self, event: SequenceEvent) {
        let _ = self.events.send(event);
    }
}
