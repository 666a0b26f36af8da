//! Answers as the chat/completions interface writes them.

use oleander_core::DigestId;
use serde::Serialize;

use crate::{record::unix_micros, response};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// The end marker of a streamed answer.
pub(super) const END_LINE: &str = "data: [DONE]\n\n";

/// What an answer says, apart from its tokens.
#[derive(Debug, Clone)]
pub(super) struct AnswerShape {
    pub(super) id: String,
    pub(super) digest: DigestId,
    pub(super) model: String,
    pub(super) prompt_tokens: u64,
    pub(super) length: u32,
    pub(super) natural: bool,
}

/// One answer or one chunk of it.
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

impl AnswerShape {
    /// The event of the token at `index`.
    pub(super) fn token_line(&self, index: u32) -> String {
        let delta = Delta { content: Some(response::token(&self.digest, index)) };
        let choice = Choice { index: 0, delta: Some(delta), message: None, finish_reason: None };
        let chunk = self.completion_of("chat.completion.chunk", choice);
        data_line(&Completion { index_token: Some(index), ..chunk })
    }

    /// The event that ends the tokens.
    pub(super) fn finish_line(&self) -> String {
        let choice = Choice {
            index: 0,
            delta: Some(Delta::default()),
            message: None,
            finish_reason: Some(self.finish_reason()),
        };
        let chunk = self.completion_of("chat.completion.chunk", choice);
        data_line(&Completion { usage: Some(self.usage()), ..chunk })
    }

    /// The plain answer from the token at `first` on.
    pub(super) fn completion(&self, first: u32) -> Completion<'_> {
        let tokens = (first..self.length).map(|index| response::token(&self.digest, index));
        let message = Message { role: "assistant", content: tokens.collect() };
        let choice = Choice {
            index: 0,
            delta: None,
            message: Some(message),
            finish_reason: Some(self.finish_reason()),
        };
        let whole = self.completion_of("chat.completion", choice);
        Completion { usage: Some(self.usage()), ..whole }
    }

    fn completion_of(&self, object: &'static str, choice: Choice) -> Completion<'_> {
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
        if self.natural { "stop" } else { "length" }
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.length,
            total_tokens: self.prompt_tokens + u64::from(self.length),
        }
    }
}

fn data_line(completion: &Completion<'_>) -> String {
    let json = serde_json::to_string(completion)
        .unwrap_or_else(|_| unreachable!("completions have text keys"));
    format!("data: {json}\n\n")
}
