//! Responses in the format of the chat completions API.

use oleander_core::DigestId;
use serde::Serialize;

use crate::{record::unix_micros, response};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Last event of a streamed response.
pub(super) const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Content of a response.
#[derive(Debug, Clone)]
pub(super) struct ResponseContent {
    pub(super) id: String,
    pub(super) digest: DigestId,
    pub(super) model: String,
    pub(super) prompt_tokens: u64,
    pub(super) length: u32,
    pub(super) untruncated: bool,
}

/// A complete response or a chunk of a streamed one.
#[derive(Debug, Serialize)]
pub(super) struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
    #[serde(skip_serializing_if = "Option::is_none")]
    index_token: Option<u32>,
}

#[derive(Debug, Serialize)]
struct Choice {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message>,
    finish_reason: Option<&'static str>,
}

#[derive(Debug, Default, Serialize)]
struct Delta {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<String>,
}

#[derive(Debug, Serialize)]
struct Message {
    role: &'static str,
    content: String,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u32,
    total_tokens: u64,
}

impl ResponseContent {
    /// Event with the token at `index`.
    pub(super) fn token_event(&self, index: u32) -> String {
        let delta = Delta { content: Some(response::token(&self.digest, index)) };
        let choice = Choice { index: 0, delta: Some(delta), message: None, finish_reason: None };
        let chunk = self.new_completion("chat.completion.chunk", choice);
        data_event(&Completion { index_token: Some(index), ..chunk })
    }

    /// Event after the last token, with finish reason and usage.
    pub(super) fn finish_event(&self) -> String {
        let choice = Choice {
            index: 0,
            delta: Some(Delta::default()),
            message: None,
            finish_reason: Some(self.finish_reason()),
        };
        let chunk = self.new_completion("chat.completion.chunk", choice);
        data_event(&Completion { usage: Some(self.usage()), ..chunk })
    }

    /// Complete response with the tokens from `first` on.
    pub(super) fn completion(&self, first: u32) -> Completion<'_> {
        let tokens = (first..self.length).map(|index| response::token(&self.digest, index));
        let message = Message { role: "assistant", content: tokens.collect() };
        let choice = Choice {
            index: 0,
            delta: None,
            message: Some(message),
            finish_reason: Some(self.finish_reason()),
        };
        let completion = self.new_completion("chat.completion", choice);
        Completion { usage: Some(self.usage()), ..completion }
    }

    fn new_completion(&self, object: &'static str, choice: Choice) -> Completion<'_> {
        Completion {
            id: &self.id,
            object,
            created: unix_micros() / MICROS_PER_SECOND,
            model: &self.model,
            choices: [choice],
            usage: None,
            index_token: None,
        }
    }

    fn finish_reason(&self) -> &'static str {
        if self.untruncated { "stop" } else { "length" }
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.length,
            total_tokens: self.prompt_tokens + u64::from(self.length),
        }
    }
}

fn data_event(completion: &Completion<'_>) -> String {
    let json = serde_json::to_string(completion)
        .unwrap_or_else(|_| unreachable!("completions have only string keys"));
    format!("data: {json}\n\n")
}
