//! Calls, what was heard about them, and the history of a run.

use http::StatusCode;
use oleander_check::{Response, chat_body};
use rand::{Rng, rngs::SmallRng};
use serde_json::{Value, json};
use standin::answer::{expected_result, expected_text};

/// What a call asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A chat completion in one piece.
    Plain,
    /// A chat completion as a stream.
    Streamed,
    /// An operation that may be repeated.
    Notify,
    /// An operation that may not be repeated.
    Dispatch,
}

/// One call with its idempotency key.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    /// Idempotency key.
    pub(crate) key: String,
    /// What it asks for.
    pub(crate) kind: Kind,
    /// Whether its caller gives up at the first refusal that says `ran: no`.
    pub(crate) impatient: bool,
}

/// What one response or read said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Word {
    /// A whole result, and the id that its target was called with, where the response tells it.
    Whole(String, String),
    /// An error: its code and its `ran` member.
    Refused(String, String),
    /// A read of a call that still runs.
    Running,
    /// A stream that ended early, with the text so far.
    Partial(String),
    /// Something that breaks the interface.
    Malformed(String),
    /// No complete response.
    Lost(String),
}

/// One response of a call.
#[derive(Debug, Clone)]
pub(crate) struct Heard {
    /// The call.
    pub(crate) call: Call,
    /// What it said.
    pub(crate) word: Word,
}

impl Call {
    /// A call drawn at random.
    pub(crate) fn draw(key: String, rng: &mut SmallRng) -> Self {
        let kinds = [Kind::Plain, Kind::Streamed, Kind::Notify, Kind::Dispatch];
        let kind = kinds[rng.random_range(0..kinds.len())];
        Self { key, kind, impatient: rng.random_bool(0.3) }
    }

    /// Path at the entry.
    pub(crate) fn path(&self) -> &'static str {
        match self.kind {
            Kind::Plain | Kind::Streamed => "v1/chat/completions",
            Kind::Notify => "v1/services/desk/notify",
            Kind::Dispatch => "v1/services/desk/dispatch",
        }
    }

    /// Body of the request.
    pub(crate) fn body(&self) -> Value {
        match self.kind {
            Kind::Plain => chat_body(&self.key, false),
            Kind::Streamed => chat_body(&self.key, true),
            Kind::Notify | Kind::Dispatch => json!({"about": self.key}),
        }
    }

    /// The only result that a target may give.
    pub(crate) fn expected(&self) -> String {
        match self.kind {
            Kind::Plain | Kind::Streamed => expected_text(&self.body()),
            Kind::Notify => expected_result("notify", &self.body()),
            Kind::Dispatch => expected_result("dispatch", &self.body()),
        }
    }

    /// Whether nothing else may follow `word`.
    pub(crate) fn is_final(&self, word: &Word) -> bool {
        match word {
            Word::Whole(..) | Word::Malformed(_) => true,
            Word::Refused(code, ran) => {
                code == "outcome_unknown"
                    || (self.kind == Kind::Dispatch && code == "target_failed" && ran != "no")
            }
            Word::Running | Word::Partial(_) | Word::Lost(_) => false,
        }
    }

    /// What a response says about this call.
    pub(crate) fn read(&self, response: Result<Response, String>) -> Word {
        let response = match response {
            Ok(response) => response,
            Err(text) => return Word::Lost(text),
        };
        if response.status == StatusCode::ACCEPTED && response.json()["status"] == "running" {
            return Word::Running;
        }
        if response.status != StatusCode::OK {
            return error(&response.json(), &response);
        }
        if response.body.starts_with("data: ") || response.body.starts_with("event: ") {
            return self.read_stream(&response);
        }
        let json = response.json();
        let (id, result) = match self.kind {
            Kind::Plain | Kind::Streamed => (&json["id"], response.completion_text()),
            _ => (&json["request_id"], json["result"].as_str().map(str::to_owned)),
        };
        match (id.as_str(), result) {
            (Some(id), Some(result)) if self.is_own(id) => Word::Whole(result, id.to_owned()),
            _ => Word::Malformed(response.body),
        }
    }

    /// Whether an id in a response names this call.
    fn is_own(&self, id: &str) -> bool {
        id.split('@').next() == Some(self.key.as_str())
    }

    fn read_stream(&self, response: &Response) -> Word {
        if let Some(text) = response.streamed_text() {
            return Word::Whole(text, self.key.clone());
        }
        let data = response.body.lines().filter_map(|line| line.strip_prefix("data: "));
        let chunks: Vec<Value> = data.filter_map(|data| serde_json::from_str(data).ok()).collect();
        if let Some(last) = chunks.last().filter(|last| last["error"].is_object()) {
            return error(last, response);
        }
        let parts = chunks.iter().filter_map(|c| c["choices"][0]["delta"]["content"].as_str());
        Word::Partial(parts.collect())
    }
}

fn error(json: &Value, response: &Response) -> Word {
    let (code, ran) = (json["error"]["code"].as_str(), json["error"]["ran"].as_str());
    match (code, ran) {
        (Some(code), Some(ran)) => Word::Refused(code.to_owned(), ran.to_owned()),
        _ => Word::Malformed(format!("{} {}", response.status, response.body)),
    }
}
