//! One online call, sent to an entry or directly to an engine.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use crate::{
    client::{ClientError, HttpClient},
    load::{
        addresses::AddressBook,
        outcome::{CallResult, FailureKind, Outcome, Refusal},
        prompts::PromptSettings,
        schedule::Arrival,
        stream::{ExpectedResponse, StreamReader, micros_between},
    },
    response,
};

const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
const MILLIS_PER_SECOND: u64 = 1_000;
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(100);
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Destination of the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// Entry hosts of the system.
    Entry,
    /// Engines, bypassing the system.
    Engine,
}

/// Sends calls and verifies their responses.
#[derive(Debug)]
pub struct LoadClient {
    /// Destination of the calls.
    pub destination: Destination,
    /// HTTP client with its connection pool.
    pub client: HttpClient,
    /// Addresses of each caller.
    pub address_book: AddressBook,
    /// Keys assigned to the callers in rotation; empty to send no key.
    pub keys: Vec<String>,
    /// Content of the prompts.
    pub prompts: PromptSettings,
    /// Seed of the prompts.
    pub seed: u64,
    /// Prefix of each request id, before the request number.
    pub run_id: String,
    /// Deadline sent in the request header, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Maximum duration of a call, including retries.
    pub call_timeout: Duration,
    /// Maximum retries per call: after a refusal with a retry delay, or after a failure.
    pub max_retries: u64,
}

impl LoadClient {
    /// Makes one call and reads its response to the end, with retries where permitted.
    pub async fn call(&self, arrival: Arrival) -> CallResult {
        let sent_at = Instant::now();
        let id = format!("{}-{}", self.run_id, arrival.number);
        let mut body = self.prompts.body(self.seed, arrival.prefix, arrival.number, "");
        let expected = ExpectedResponse { request_id: id, text: response::expected_text(&body) };
        body["stream"] = json!(true);
        let body = Bytes::from(body.to_string());
        let mut reader = StreamReader::new(expected.clone(), sent_at);
        let mut retries = 0;
        let attempts = async {
            loop {
                let offset = retries as usize + usize::from(arrival.duplicate);
                let outcome = self.attempt(&mut reader, arrival, body.clone(), offset).await;
                let Some(delay) = retry_delay(&outcome).filter(|_| retries < self.max_retries)
                else {
                    return outcome;
                };
                sleep(delay).await;
                retries += 1;
                reader = StreamReader::new(expected.clone(), sent_at);
            }
        };
        let outcome = timeout(self.call_timeout, attempts).await;
        let outcome = outcome.unwrap_or_else(|_| reader.failed(FailureKind::Timeout));
        CallResult { outcome, retries }
    }

    /// Sends the request once and reads the response.
    async fn attempt(
        &self,
        reader: &mut StreamReader,
        arrival: Arrival,
        body: Bytes,
        offset: usize,
    ) -> Outcome {
        match self.send(arrival.caller, reader.request_id(), body, offset).await {
            Ok(response) if response.status().is_success() => {
                reader.read(response.into_body()).await
            }
            Ok(response) => read_refusal(response, reader.sent_at()).await,
            Err(error) => reader.failed(failure_kind(&error)),
        }
    }

    /// Sends the request to the first address that accepts a connection.
    async fn send(
        &self,
        caller: u32,
        id: &str,
        body: Bytes,
        offset: usize,
    ) -> Result<Response<Incoming>, ClientError> {
        let key = self.key(caller);
        let now = Instant::now();
        let mut addresses = self.address_book.addresses(&self.client, key, caller, now).await;
        let first = offset % addresses.len().max(1);
        addresses.rotate_left(first);
        let mut last_error = ClientError::Connect("no address".to_owned());
        for address in addresses {
            let request = self.request(&address, key, id, body.clone())?;
            match self.client.send(request).await {
                Err(error @ ClientError::Connect(_)) => last_error = error,
                result => return result,
            }
        }
        Err(last_error)
    }

    fn request(
        &self,
        address: &str,
        key: &str,
        id: &str,
        body: Bytes,
    ) -> Result<Request<Bytes>, ClientError> {
        let id_header = match self.destination {
            Destination::Entry => IDEMPOTENCY_HEADER,
            Destination::Engine => REQUEST_ID_HEADER,
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

/// Delay before the next attempt; `None` if the outcome is final.
fn retry_delay(outcome: &Outcome) -> Option<Duration> {
    match outcome {
        Outcome::Refused(refusal) => refusal.retry_after_ms.map(Duration::from_millis),
        Outcome::Failed(_) => Some(FAILURE_RETRY_DELAY),
        Outcome::Complete(_) | Outcome::Wrong(_) => None,
    }
}

async fn read_refusal(response: Response<Incoming>, sent_at: Instant) -> Outcome {
    let status = response.status().as_u16();
    let header_ms = header_retry_ms(response.headers());
    let body = response.into_body().collect().await.map(|body| body.to_bytes());
    let body: Value = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
    let field = |name: &str| body["error"][name].as_str().unwrap_or("-").to_owned();
    Outcome::Refused(Refusal {
        status,
        code: field("code"),
        ran: field("ran"),
        retry_after_ms: body["error"]["retry_after_ms"].as_u64().or(header_ms),
        latency_us: micros_between(sent_at, Instant::now()),
    })
}

fn header_retry_ms(headers: &HeaderMap) -> Option<u64> {
    let seconds: u64 = headers.get(header::RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    seconds.checked_mul(MILLIS_PER_SECOND)
}

fn failure_kind(error: &ClientError) -> FailureKind {
    match error {
        ClientError::Connect(_) => FailureKind::Connect,
        ClientError::Request(_) => FailureKind::InvalidRequest,
        ClientError::Incomplete(_) | ClientError::Decode(_) => FailureKind::ConnectionLost,
    }
}
