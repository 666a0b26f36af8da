//! Calls, and the outcomes that their callers observe.

use http::StatusCode;
use oleander_check::{Response, chat_body};
use rand::{Rng, rngs::SmallRng};
use serde_json::{Value, json};
use standin::response::{expected_result, expected_text};

/// Kind of request that a call sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// Chat completion that is not streamed.
    Plain,
    /// Streamed chat completion.
    Streamed,
    /// Operation of the plain service that may be repeated.
    Notify,
    /// Operation of the plain service that must not be repeated.
    Dispatch,
}

/// Call with its idempotency key, which its resends share.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    /// Idempotency key.
    pub(crate) key: String,
    /// Kind of request.
    pub(crate) kind: CallKind,
    /// Whether the caller stops resending after an error with `ran: no`.
    pub(crate) gives_up: bool,
}

/// Outcome of a call according to one response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Result, and the request id sent to the target; the key of the call if the response does not
    /// have that id.
    Completed(String, String),
    /// `code` and `ran` members of an error.
    Error(String, String),
    /// The call is still running.
    Running,
    /// Text of a stream that ended early.
    Partial(String),
    /// Response that violates the API.
    Malformed(String),
    /// Reason why there is no complete response.
    NoResponse(String),
}

/// Outcome that a caller observed.
#[derive(Debug, Clone)]
pub(crate) struct Observation {
    /// Call that was sent.
    pub(crate) call: Call,
    /// Outcome according to the response.
    pub(crate) outcome: Outcome,
}

impl Call {
    /// Generates a call of random kind.
    pub(crate) fn random(key: String, rng: &mut SmallRng) -> Self {
        let kinds = [CallKind::Plain, CallKind::Streamed, CallKind::Notify, CallKind::Dispatch];
        let kind = kinds[rng.random_range(0..kinds.len())];
        Self { key, kind, gives_up: rng.random_bool(0.3) }
    }

    /// Path of the request.
    pub(crate) fn path(&self) -> &'static str {
        match self.kind {
            CallKind::Plain | CallKind::Streamed => "v1/chat/completions",
            CallKind::Notify => "v1/services/desk/notify",
            CallKind::Dispatch => "v1/services/desk/dispatch",
        }
    }

    /// Body of the request.
    pub(crate) fn body(&self) -> Value {
        match self.kind {
            CallKind::Plain => chat_body(&self.key, false),
            CallKind::Streamed => chat_body(&self.key, true),
            CallKind::Notify | CallKind::Dispatch => json!({"about": self.key}),
        }
    }

    /// Result that each target returns for the call.
    pub(crate) fn expected(&self) -> String {
        match self.kind {
            CallKind::Plain | CallKind::Streamed => expected_text(&self.body()),
            CallKind::Notify => expected_result("notify", &self.body()),
            CallKind::Dispatch => expected_result("dispatch", &self.body()),
        }
    }

    /// Whether all later responses must have the same outcome.
    pub(crate) fn is_final(&self, outcome: &Outcome) -> bool {
        match outcome {
            Outcome::Completed(..) | Outcome::Malformed(_) => true,
            Outcome::Error(code, ran) => {
                code == "outcome_unknown"
                    || (self.kind == CallKind::Dispatch && code == "target_failed" && ran != "no")
            }
            Outcome::Running | Outcome::Partial(_) | Outcome::NoResponse(_) => false,
        }
    }

    /// Outcome of this call according to a response.
    pub(crate) fn parse_response(&self, response: Result<Response, String>) -> Outcome {
        let response = match response {
            Ok(response) => response,
            Err(reason) => return Outcome::NoResponse(reason),
        };
        if response.status == StatusCode::ACCEPTED && response.json()["status"] == "running" {
            return Outcome::Running;
        }
        if response.status != StatusCode::OK {
            return error_outcome(&response.json(), &response);
        }
        if response.body.starts_with("data: ") || response.body.starts_with("event: ") {
            return self.parse_stream(&response);
        }
        let json = response.json();
        let (id, result) = match self.kind {
            CallKind::Plain | CallKind::Streamed => (&json["id"], response.completion_text()),
            _ => (&json["request_id"], json["result"].as_str().map(str::to_owned)),
        };
        match (id.as_str(), result) {
            (Some(id), Some(result)) if self.is_own_id(id) => {
                Outcome::Completed(result, id.to_owned())
            }
            _ => Outcome::Malformed(response.body),
        }
    }

    /// Whether a request id belongs to this call: ids consist of the key and an optional suffix
    /// after `@`.
    fn is_own_id(&self, id: &str) -> bool {
        id.split('@').next() == Some(self.key.as_str())
    }

    fn parse_stream(&self, response: &Response) -> Outcome {
        if let Some(text) = response.streamed_text() {
            return Outcome::Completed(text, self.key.clone());
        }
        let data = response.body.lines().filter_map(|line| line.strip_prefix("data: "));
        let chunks: Vec<Value> = data.filter_map(|data| serde_json::from_str(data).ok()).collect();
        if let Some(last) = chunks.last().filter(|last| last["error"].is_object()) {
            return error_outcome(last, response);
        }
        let parts = chunks.iter().filter_map(|c| c["choices"][0]["delta"]["content"].as_str());
        Outcome::Partial(parts.collect())
    }
}

fn error_outcome(json: &Value, response: &Response) -> Outcome {
    let (code, ran) = (json["error"]["code"].as_str(), json["error"]["ran"].as_str());
    match (code, ran) {
        (Some(code), Some(ran)) => Outcome::Error(code.to_owned(), ran.to_owned()),
        _ => Outcome::Malformed(format!("{} {}", response.status, response.body)),
    }
}
