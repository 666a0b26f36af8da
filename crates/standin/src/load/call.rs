//! One online call: sent to an entry or straight to an engine.

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
        outcome::{CallAnswer, FailureKind, Outcome, Refusal},
        prompts::PromptSettings,
        schedule::Arrival,
        stream::{Expected, StreamReader, micros},
    },
    response,
};

const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
const MILLIS_PER_SECOND: u64 = 1_000;
const BROKEN_RESEND_DELAY: Duration = Duration::from_millis(100);
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
    /// Most sendings after the first: when a refusal says so, or after a broken exchange.
    pub retries: u64,
}

impl Caller {
    /// Makes one call and reads its answer to the end, sending again where that is allowed.
    pub async fn call(&self, arrival: Arrival) -> CallAnswer {
        let sent = Instant::now();
        let id = format!("{}-{}", self.run_id, arrival.number);
        let mut body = self.prompts.body(self.seed, arrival.prefix, arrival.number, "");
        let expected = Expected { id, text: response::expected_text(&body) };
        body["stream"] = json!(true);
        let body = Bytes::from(body.to_string());
        let mut reader = StreamReader::new(expected.clone(), sent);
        let mut resends = 0;
        let attempts = async {
            loop {
                let rotation = resends as usize + usize::from(arrival.copy);
                let outcome = self.attempt(&mut reader, arrival, body.clone(), rotation).await;
                let Some(wait) = resend_delay(&outcome).filter(|_| resends < self.retries) else {
                    return outcome;
                };
                sleep(wait).await;
                resends += 1;
                reader = StreamReader::new(expected.clone(), sent);
            }
        };
        let outcome = timeout(self.give_up, attempts).await;
        let outcome = outcome.unwrap_or_else(|_| reader.failed(FailureKind::Timeout));
        CallAnswer { outcome, resends }
    }

    /// Sends the request once and reads what comes back.
    async fn attempt(
        &self,
        reader: &mut StreamReader,
        arrival: Arrival,
        body: Bytes,
        rotation: usize,
    ) -> Outcome {
        match self.send(arrival.caller, reader.id(), body, rotation).await {
            Ok(response) if response.status().is_success() => {
                reader.read(response.into_body()).await
            }
            Ok(response) => refusal(response, reader.sent()).await,
            Err(error) => reader.failed(failure_kind(&error)),
        }
    }

    /// Sends the request to the first address that accepts a connection.
    async fn send(
        &self,
        caller: u32,
        id: &str,
        body: Bytes,
        rotation: usize,
    ) -> Result<Response<Incoming>, ClientError> {
        let key = self.key(caller);
        let now = Instant::now();
        let mut addresses = self.book.addresses(&self.client, key, caller, now).await;
        let first = rotation % addresses.len().max(1);
        addresses.rotate_left(first);
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

/// When to send again; `None` if the outcome is final.
fn resend_delay(outcome: &Outcome) -> Option<Duration> {
    match outcome {
        Outcome::Refused(refusal) => refusal.retry_ms.map(Duration::from_millis),
        Outcome::Failed(_) => Some(BROKEN_RESEND_DELAY),
        Outcome::Whole(_) | Outcome::Wrong(_) => None,
    }
}

async fn refusal(response: Response<Incoming>, sent: Instant) -> Outcome {
    let status = response.status().as_u16();
    let header_ms = retry_after_ms(response.headers());
    let body = response.into_body().collect().await.map(|body| body.to_bytes());
    let body: Value = serde_json::from_slice(&body.unwrap_or_default()).unwrap_or_default();
    let text = |name: &str| body["error"][name].as_str().unwrap_or("-").to_owned();
    Outcome::Refused(Refusal {
        status,
        code: text("code"),
        ran: text("ran"),
        retry_ms: body["error"]["retry_after_ms"].as_u64().or(header_ms),
        after_us: micros(sent, Instant::now()),
    })
}

fn retry_after_ms(headers: &HeaderMap) -> Option<u64> {
    let seconds: u64 = headers.get(header::RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    seconds.checked_mul(MILLIS_PER_SECOND)
}

fn failure_kind(error: &ClientError) -> FailureKind {
    match error {
        ClientError::Connect(_) => FailureKind::Connect,
        ClientError::Request(_) => FailureKind::Request,
        ClientError::Incomplete(_) | ClientError::Decode(_) => FailureKind::Broken,
    }
}
