//! What must hold when entries leave under load: no request is cut, none is refused.

#![allow(clippy::unwrap_used)]

use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use http::{Method, StatusCode};
use oleander_check::{
    CALLER_KEY, Client, Deployment, DeploymentOptions, Response, chat_body, eventually,
};
use serde_json::{Value, json};
use standin::answer::{expected_result, expected_text};

const KEEP_MS: u64 = 2_000;
const CALLERS: usize = 12;
const BOUND: Duration = Duration::from_secs(30);
/// Steps slow enough for streams to be in flight at any time.
const SLOW_STEPS: [&str; 4] = ["--step-base-us", "15000", "--step-per-seq-us", "100"];

/// A caller that keeps its addresses as long as it was told.
struct KeepingCaller {
    client: Client,
    addresses: Vec<String>,
    expires: Instant,
}

impl KeepingCaller {
    fn new(client: Client, address: &str) -> Self {
        Self { client, addresses: vec![address.to_owned()], expires: Instant::now() }
    }

    /// Any address that may still be used; asks for new ones shortly before they run out.
    async fn address(&mut self, n: usize) -> Result<String, String> {
        if self.expires <= Instant::now() + Duration::from_millis(KEEP_MS / 4) {
            let url = format!("{}/v1/addresses", self.addresses[n % self.addresses.len()]);
            let response = self.client.get(&url, &[]).await?.json();
            let addresses = response["addresses"].as_array().ok_or("no addresses")?;
            let texts = addresses.iter().filter_map(Value::as_str).map(str::to_owned);
            self.addresses = texts.collect();
            let keep = Duration::from_millis(response["keep_ms"].as_u64().ok_or("no time")?);
            self.expires = Instant::now() + keep;
        }
        Ok(self.addresses[n % self.addresses.len()].clone())
    }

    async fn send(&mut self, n: usize, key: &str) -> Result<(), String> {
        let address = self.address(n).await.map_err(|e| format!("addresses: {e}"))?;
        let (path, body) = match n % 3 {
            0 => ("v1/chat/completions", chat_body(key, false)),
            1 => ("v1/chat/completions", chat_body(key, true)),
            _ => ("v1/services/desk/dispatch", json!({"about": key})),
        };
        let bearer = format!("Bearer {CALLER_KEY}");
        let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
        let url = format!("{address}/{path}");
        let response = self.client.send(Method::POST, &url, &headers, body.to_string()).await;
        let response = response.map_err(|e| format!("{key} at {address}: {e}"))?;
        is_whole(&response, n, &body).ok_or_else(|| format!("{key} at {address}: {response:?}"))
    }
}

/// Whether a response is the one that belongs to the request.
fn is_whole(response: &Response, n: usize, body: &Value) -> Option<()> {
    if response.status != StatusCode::OK {
        return None;
    }
    let (text, expected) = match n % 3 {
        0 => (response.completion_text(), expected_text(body)),
        1 => (response.streamed_text(), expected_text(body)),
        _ => {
            let result = response.json()["result"].as_str().map(str::to_owned);
            (result, expected_result("dispatch", body))
        }
    };
    (text? == expected).then_some(())
}

/// What the callers of a run saw.
#[derive(Default)]
struct Seen {
    stop: AtomicBool,
    failures: Mutex<Vec<String>>,
    done: Mutex<Vec<String>>,
}

async fn call_on(seen: &Seen, address: &str, name: usize) {
    let mut caller = KeepingCaller::new(Client::new(BOUND), address);
    let mut n = name;
    while !seen.stop.load(Ordering::Relaxed) {
        let key = format!("c{name}-{n}");
        match caller.send(n, &key).await {
            Ok(()) => seen.done.lock().unwrap().push(key),
            Err(text) => seen.failures.lock().unwrap().push(text),
        }
        n += 1;
    }
}

async fn leave(deployment: &mut Deployment, entry: usize) {
    deployment.entries[entry].signal("TERM").await;
    let ended = tokio::time::timeout(BOUND, deployment.entries[entry].wait()).await;
    assert!(ended.expect("the entry ends in time"), "exit code 0");
}

async fn shape() -> DeploymentOptions {
    let entry = json!({"keep_addresses_ms": KEEP_MS, "shards": 4});
    DeploymentOptions::new()
        .engine_args(&SLOW_STEPS)
        .service_args(&["--work-ms", "100"])
        .entry_settings(entry)
}

/// Runs callers while `change` happens; none of them may see a failure.
async fn under_load(deployment: &mut Deployment, replace: bool, entries: &[usize]) -> Vec<String> {
    let seen = Seen::default();
    let address = deployment.entry_address(2).to_owned();
    let callers = join_all((0..CALLERS).map(|name| call_on(&seen, &address, name)));
    let change = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        for &entry in entries {
            leave(deployment, entry).await;
            if replace {
                deployment.entries[entry].restart();
                handed_out(deployment, entry).await;
            }
        }
        seen.stop.store(true, Ordering::Relaxed);
    };
    tokio::join!(callers, change);
    let failures = seen.failures.into_inner().unwrap();
    let done = seen.done.into_inner().unwrap();
    assert!(failures.is_empty(), "{} of {}: {failures:#?}", failures.len(), done.len());
    done
}

/// Waits until all entries hand out the address of one.
async fn handed_out(deployment: &Deployment, entry: usize) {
    for asked in 0..3 {
        eventually("the replacement is handed out", BOUND, || async {
            let response = deployment.get(asked, "v1/addresses").await.ok()?.json();
            let addresses = response["addresses"].as_array()?.clone();
            addresses.contains(&json!(deployment.entry_address(entry))).then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_leaves_under_load_without_a_cut_or_refused_request() {
    let mut deployment = Deployment::start("leave", &shape().await).await;
    under_load(&mut deployment, false, &[0]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entries_are_replaced_one_after_another_under_load() {
    let mut deployment = Deployment::start("rolling", &shape().await).await;
    let done = under_load(&mut deployment, true, &[0, 1, 2]).await;
    for (n, key) in done.iter().enumerate() {
        eventually("the result is readable", BOUND, || async {
            let response = deployment.get(n % 3, &format!("v1/results/{key}")).await.ok()?;
            (response.status == StatusCode::OK).then_some(())
        })
        .await;
    }
    for (id, runs) in deployment.service_runs().await {
        assert_eq!(runs, 1, "{id}");
    }
}
