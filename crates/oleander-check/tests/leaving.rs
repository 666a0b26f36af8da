//! System tests of targets that leave: they get no new requests after a few seconds, and requests
//! in flight complete.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::{Method, StatusCode};
use oleander_check::{Deployment, DeploymentOptions, chat_body};
use serde_json::{Value, json};
use standin::{record::unix_micros, response::expected_text};

/// Maximum time until a leaving target gets no new requests.
const MAX_LEAVE_DELAY: Duration = Duration::from_secs(3);
/// Lag of the host list.
const LIST_LAG: Duration = Duration::from_secs(2);
/// Time for which calls continue after the maximum delay.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
const CALLERS: usize = 9;
/// Maximum probes that each entry sends to a target that refuses connections within
/// `OBSERVATION_TIME`.
const MAX_PROBES: usize = 3;
/// Steps slow enough for streams to be in flight at any time.
const SLOW_STEPS: [&str; 4] = ["--step-base-us", "20000", "--step-per-seq-us", "100"];

async fn start(name: &str) -> Deployment {
    Deployment::start(name, &DeploymentOptions::new().engine_args(&SLOW_STEPS)).await
}

/// Sends chat completions through all entries for `length`; each must get a complete response.
async fn run_load(deployment: &Deployment, prefix: &str, length: Duration) {
    let start = Instant::now();
    let callers = (0..CALLERS).map(|caller| async move {
        let mut number = 0;
        while start.elapsed() < length {
            let key = format!("{prefix}-{caller}-{number}");
            let stream = number % 2 == 0;
            let response = deployment.chat(caller % 3, &key, &key, stream).await.unwrap();
            assert_eq!(response.status, StatusCode::OK, "{}", response.body);
            let text = if stream { response.streamed_text() } else { response.completion_text() };
            assert_eq!(text, Some(expected_text(&chat_body(&key, false))), "{key}");
            number += 1;
        }
    });
    join_all(callers).await;
}

/// Sets the state of an engine in the platform's host list.
async fn set_state(deployment: &Deployment, engine: usize, state: &str) {
    let name = format!("engine-{engine}");
    let host = json!({
        "name": name, "role": "target", "zone": "zone-a",
        "address": deployment.engine_address(engine), "state": state,
    });
    let path = format!("v1/hosts/{name}");
    let response = deployment.call_platform(Method::PUT, &path, &host).await.unwrap();
    assert!(response.status.is_success(), "{}", response.body);
}

/// Times of an engine's records of one event, in microseconds since the Unix epoch.
async fn event_times(deployment: &Deployment, engine: usize, event: &str) -> Vec<u64> {
    let records = deployment.engine_records(engine).await;
    let matching = records.iter().filter(|record| record["event"] == event);
    matching.map(|record| record["at_us"].as_u64().unwrap()).collect()
}

/// Lists an engine as leaving under load; checks that new requests stop within `max_delay` and
/// that those in flight complete.
async fn assert_leaves(deployment: &Deployment, max_delay: Duration) {
    run_load(deployment, "before", Duration::from_secs(1)).await;
    assert!(!event_times(deployment, 0, "started").await.is_empty(), "the engine got no request");
    let (listed_at, ()) = tokio::join!(
        async {
            set_state(deployment, 0, "leaving").await;
            unix_micros()
        },
        run_load(deployment, "during", max_delay + OBSERVATION_TIME),
    );
    let last = event_times(deployment, 0, "received").await.into_iter().max().unwrap();
    let deadline = listed_at + u64::try_from(max_delay.as_micros()).unwrap();
    assert!(last <= deadline, "new request {} us too late", last - deadline);
    assert!(
        event_times(deployment, 0, "cancelled").await.is_empty(),
        "a request in flight was cancelled"
    );
    let (started, finished) =
        (event_times(deployment, 0, "started").await, event_times(deployment, 0, "finished").await);
    assert_eq!(started.len(), finished.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_listed_as_leaving_gets_no_new_requests_and_completes_those_in_flight() {
    let deployment = start("leaving").await;
    assert_leaves(&deployment, MAX_LEAVE_DELAY).await;
    set_state(&deployment, 0, "live").await;
    run_load(&deployment, "back", MAX_LEAVE_DELAY + OBSERVATION_TIME).await;
    let last = event_times(&deployment, 0, "received").await.into_iter().max().unwrap();
    let recent = u64::try_from(OBSERVATION_TIME.as_micros()).unwrap();
    assert!(last > unix_micros() - recent, "a target listed as live again gets no request");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lagging_host_list_delays_the_leave_only_by_its_lag() {
    let deployment = start("lagging").await;
    let lag = u64::try_from(LIST_LAG.as_millis()).unwrap();
    deployment.set_platform_faults(&json!({"hosts_lag_ms": lag})).await;
    assert_leaves(&deployment, MAX_LEAVE_DELAY + LIST_LAG).await;
}

/// Number of dispatches to the first engine that an entry has recorded since `since`, in
/// microseconds since the Unix epoch.
async fn dispatch_count(deployment: &Deployment, entry: usize, since: u64) -> usize {
    let path = format!("admin/events?since={since}");
    let response = deployment.call_admin(entry, Method::GET, &path, &Value::Null).await.unwrap();
    let events = response.json()["events"].as_array().unwrap().clone();
    let matching = events.iter().filter(|event| {
        event["kind"] == "dispatched" && event["detail"].as_str().unwrap().contains("engine-0")
    });
    matching.count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_refuses_connections_is_only_probed() {
    let mut deployment = start("refusing").await;
    run_load(&deployment, "before", Duration::from_secs(1)).await;
    deployment.engines[0].kill().await;
    run_load(&deployment, "after", MAX_LEAVE_DELAY).await;
    let since = unix_micros();
    run_load(&deployment, "later", OBSERVATION_TIME).await;
    for entry in 0..3 {
        let count = dispatch_count(&deployment, entry, since).await;
        assert!(count <= MAX_PROBES, "entry {entry} dispatched {count} times to the target");
    }
    deployment.engines[0].restart();
    run_load(&deployment, "again", Duration::from_secs(8)).await;
    assert!(
        !event_times(&deployment, 0, "started").await.is_empty(),
        "the restarted engine got no request"
    );
}
