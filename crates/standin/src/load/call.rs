//! One online call: sent to an entry or straight to an engine.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderName, Request, Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::time::timeout;

use crate::{
    answer,
    client::{ClientError, HttpClient},
    load::{
        addresses::AddressBook,
        outcome::{FailureKind, Outcome, Refusal},
        prompts::PromptSettings,
        schedule::Arrival,
        stream::{Expected, StreamReader, micros},
    },
};

const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");

/// What a call is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// Entries of the system.
    Entry,
    /// Engines, without the system.
    Engine,
}

/// Sends calls and checks their answers.
#[derive(Debug)]
pub struct Caller {
    /// What the calls are sent to.
    pub route: Route,
    /// HTTP client with its connections.
    pub client: HttpClient,
    /// Which addresses are used.
    pub book: AddressBook,
    /// Keys of the callers in turn; empty for none.
    pub keys: Vec<String>,
    /// Shapes of the prompts.
    pub prompts: PromptSettings,
    /// Seed of the prompts.
    pub seed: u64,
    /// Text before the number in each request id.
    pub run_id: String,
    /// Deadline told to the system, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Longest time of a call.
    pub give_up: Duration,
}

impl Caller {
    /// Makes one call and reads its answer to the end.
    pub async fn call(&self, arrival: Arrival) -> Outcome {
        let sent = Instant::now();
        let id = format!("{}-{}", self.run_id, arrival.number);
        let mut body = self.prompts.body(self.seed, arrival.prefix, arrival.number, "");
        let text = answer::expected_text(&body);
        body["stream"] = json!(true);
        let mut reader = StreamReader::new(Expected { id: id.clone(), text }, sent);
        let answered = async {
            match self.send(arrival.caller, &id, body, sent).await {
                Ok(response) if response.status().is_success() => {
                    reader.read(response.into_body()).await
                }
                Ok(response) => refusal(response, sent).await,
                Err(error) => reader.failed(failure_kind(&error)),
            }
        };
        let outcome = timeout(self.give_up, answered).await;
        outcome.unwrap_or_else(|_| reader.failed(FailureKind::Timeout))
    }

    /// Sends the request to the first address that accepts a connection.
    async fn send(
        &self,
        caller: u32,
        id: &str,
        body: Value,
        now: Instant,
    ) -> Result<Response<Incoming>, ClientError> {
        let key = self.key(caller);
        let addresses = self.book.addresses(&self.client, key, caller, now).await;
        let body = Bytes::from(body.to_string());
        let mut last = ClientError::Connect("no address".to_owned());
        for address in addresses {
            let request = self.request(&address, key, id, body.clone())?;
            match self.client.send(request).await {
                Err(error @ ClientError::Connect(_)) => last = error,
                answered => return answered,
            }
        }
        Err(last)
    }

    fn request(
        &self,
        address: &str,
        key: &str,
        id: &str,
        body: Bytes,
    ) -> Result<Request<Bytes>, ClientError> {
        let id_header = match self.route {
            Route::Entry => IDEMPOTENCY_HEADER,
            Route::Engine => REQUEST_ID_HEADER,
        };
        let mut request = Request::post(format!("http://{address}/v1/chat/completions"))
            .header(header::CONTENT_TYPE, "application/json")
            .header(id_header, id);
        if !key.is_empty() {
            request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        if let Some(deadline) = self.deadline_ms {
            request = request.header(DEADLINE_HEADER, deadline.to_string());
        }
        request.body(body).map_err(|error| ClientError::Request(error.to_string()))
    }

    fn key(&self, caller: u32) -> &str {
        let index = caller as usize % self.keys.len().max(1);
        self.keys.get(index).map_or("", String::as_str)
    }
}

async fn refusal(response: Response<Incoming>, sent: Instant) -> Outcome {
    let status = response.status().as_u16();
    let retry_told = response.headers().contains_key(header::RETRY_AFTER);
    let body = response.into_body().collect().await.map(|body| body.to_bytes());
    let body: Value = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
    let text = |name: &str| body["error"][name].as_str().unwrap_or("-").to_owned();
    Outcome::Refused(Refusal {
        status,
        code: text("code"),
        ran: text("ran"),
        retry_told,
        after_us: micros(sent, Instant::now()),
    })
}

fn failure_kind(error: &ClientError) -> FailureKind {
    match error {
        ClientError::Connect(_) => FailureKind::Connect,
        ClientError::Request(_) => FailureKind::Request,
        ClientError::Broken(_) | ClientError::Decode(_) => FailureKind::Broken,
    }
}
