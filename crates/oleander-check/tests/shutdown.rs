//! System tests of graceful shutdown: when entries leave under load, no request is cut or refused.

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
use standin::response::{expected_result, expected_text};

const KEEP_ADDRESSES_MS: u64 = 2_000;
const CALLERS: usize = 12;
const TIMEOUT: Duration = Duration::from_secs(30);
/// Steps slow enough for streams to be in flight at any time.
const SLOW_STEPS: [&str; 4] = ["--step-base-us", "15000", "--step-per-seq-us", "100"];

/// Caller that uses a list of entry addresses until the list expires.
struct CachingCaller {
    client: Client,
    addresses: Vec<String>,
    expires: Instant,
}

impl CachingCaller {
    fn new(client: Client, address: &str) -> Self {
        Self { client, addresses: vec![address.to_owned()], expires: Instant::now() }
    }

    /// Returns one of the addresses, after renewing the list if it expires soon.
    async fn address(&mut self, n: usize) -> Result<String, String> {
        if self.expires <= Instant::now() + Duration::from_millis(KEEP_ADDRESSES_MS / 4) {
            let url = format!("{}/v1/addresses", self.addresses[n % self.addresses.len()]);
            let response = self.client.get(&url, &[]).await?.json();
            let addresses = response["addresses"].as_array().ok_or("no addresses in response")?;
            let texts = addresses.iter().filter_map(Value::as_str).map(str::to_owned);
            self.addresses = texts.collect();
            let keep = Duration::from_millis(
                response["keep_ms"].as_u64().ok_or("no keep_ms in response")?,
            );
            self.expires = Instant::now() + keep;
        }
        Ok(self.addresses[n % self.addresses.len()].clone())
    }

    async fn send(&mut self, n: usize, key: &str) -> Result<(), String> {
        let address =
            self.address(n).await.map_err(|e| format!("failed to renew addresses: {e}"))?;
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
        check_response(&response, n, &body)
            .ok_or_else(|| format!("{key} at {address}: {response:?}"))
    }
}

/// Returns `None` unless the response is complete and belongs to the request.
fn check_response(response: &Response, n: usize, body: &Value) -> Option<()> {
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

/// Results of all callers of a run.
#[derive(Default)]
struct CallLog {
    stop: AtomicBool,
    failures: Mutex<Vec<String>>,
    completed: Mutex<Vec<String>>,
}

/// Sends calls one after another until `log.stop` is set.
async fn run_caller(log: &CallLog, address: &str, name: usize) {
    let mut caller = CachingCaller::new(Client::new(TIMEOUT), address);
    let mut n = name;
    while !log.stop.load(Ordering::Relaxed) {
        let key = format!("c{name}-{n}");
        match caller.send(n, &key).await {
            Ok(()) => log.completed.lock().unwrap().push(key),
            Err(text) => log.failures.lock().unwrap().push(text),
        }
        n += 1;
    }
}

/// Shuts an entry down and checks that it exits cleanly.
async fn shut_down(deployment: &mut Deployment, entry: usize) {
    deployment.entries[entry].signal("TERM").await;
    let ended = tokio::time::timeout(TIMEOUT, deployment.entries[entry].wait()).await;
    assert!(ended.expect("entry did not exit in time"), "entry exited with an error");
}

async fn options() -> DeploymentOptions {
    let entry = json!({"keep_addresses_ms": KEEP_ADDRESSES_MS, "shards": 4});
    DeploymentOptions::new()
        .engine_args(&SLOW_STEPS)
        .service_args(&["--work-ms", "100"])
        .entry_settings(entry)
}

/// Runs callers while `entries` are shut down in turn, and restarted if `replace` is set. Checks
/// that no call fails and returns the keys of the completed ones.
async fn shut_down_under_load(
    deployment: &mut Deployment,
    replace: bool,
    entries: &[usize],
) -> Vec<String> {
    let log = CallLog::default();
    let address = deployment.entry_address(2).to_owned();
    let callers = join_all((0..CALLERS).map(|name| run_caller(&log, &address, name)));
    let shutdowns = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        for &entry in entries {
            shut_down(deployment, entry).await;
            if replace {
                deployment.entries[entry].restart();
                wait_for_address(deployment, entry).await;
            }
        }
        log.stop.store(true, Ordering::Relaxed);
    };
    tokio::join!(callers, shutdowns);
    let failures = log.failures.into_inner().unwrap();
    let completed = log.completed.into_inner().unwrap();
    assert!(
        failures.is_empty(),
        "{} calls failed, {} completed: {failures:#?}",
        failures.len(),
        completed.len()
    );
    completed
}

/// Waits until all entries list the address of `entry`.
async fn wait_for_address(deployment: &Deployment, entry: usize) {
    for other in 0..3 {
        eventually("the address of the restarted entry is listed", TIMEOUT, || async {
            let response = deployment.get(other, "v1/addresses").await.ok()?.json();
            let addresses = response["addresses"].as_array()?.clone();
            addresses.contains(&json!(deployment.entry_address(entry))).then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_leaves_under_load_and_no_request_is_cut_or_refused() {
    let mut deployment = Deployment::start("leave", &options().await).await;
    shut_down_under_load(&mut deployment, false, &[0]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entries_are_replaced_one_after_another_under_load() {
    let mut deployment = Deployment::start("rolling", &options().await).await;
    let completed = shut_down_under_load(&mut deployment, true, &[0, 1, 2]).await;
    for (n, key) in completed.iter().enumerate() {
        eventually("the result is readable", TIMEOUT, || async {
            let response = deployment.get(n % 3, &format!("v1/results/{key}")).await.ok()?;
            (response.status == StatusCode::OK).then_some(())
        })
        .await;
    }
    for (id, runs) in deployment.service_runs().await {
        assert_eq!(runs, 1, "{id}");
    }
}

/// Guards against callers without any address: a call that outlasts the caller's list of addresses is
/// followed by a renewal at an old address, whose entry had just closed its listener.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_entry_still_answers_when_its_address_has_just_expired() {
    let deployment = Deployment::start("expired", &options().await).await;
    let url = format!("{}/v1/addresses", deployment.entry_address(0));
    deployment.entries[0].signal("TERM").await;
    tokio::time::sleep(Duration::from_millis(KEEP_ADDRESSES_MS + 300)).await;
    let response = Client::new(TIMEOUT).get(&url, &[]).await.expect("a response");
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.headers["connection"], "close");
}
