//! What became of a request.

use oleander_core::{PromptPart, Span};
use oleander_quarantine::RequestParts;

use crate::sink::Refusal;

/// The result of a request, for its log line.
#[derive(Debug, Clone)]
pub struct RequestSummary {
    /// Name of the route.
    pub route: String,
    /// Parts of the prompt that other requests may share.
    pub parts: Vec<PromptPart>,
    /// Content of the request as a whole; the same request that comes again has the same.
    pub content: Option<PromptPart>,
    /// Attempts, each with the target, its load when it was selected, and the outcome.
    pub attempts: Vec<String>,
    /// Time spent waiting for a target.
    pub waited: Span,
    /// Time from the arrival of the request to the first byte forwarded.
    pub first_byte: Option<Span>,
    /// The refusal, if the request was refused.
    pub refusal: Option<Refusal>,
    /// Whether the response was aborted after its head.
    pub interrupted: bool,
    /// Whether the caller disconnected before the end of the response.
    pub disconnected: bool,
}

impl RequestSummary {
    pub(crate) fn new(route: &str, parts: &RequestParts) -> Self {
        Self {
            route: route.to_owned(),
            parts: parts.shared.clone(),
            content: parts.content,
            attempts: Vec::new(),
            waited: Span::ZERO,
            first_byte: None,
            refusal: None,
            interrupted: false,
            disconnected: false,
        }
    }
}
