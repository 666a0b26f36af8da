//! What must hold for targets that leave: no new work after a few seconds, running work ends.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::{Method, StatusCode};
use oleander_check::{Deployment, DeploymentOptions, chat_body};
use serde_json::{Value, json};
use standin::{answer::expected_text, record::unix_micros};

/// After this time a leaving target gets no new work.
const NO_NEW_WORK: Duration = Duration::from_secs(3);
const LAG: Duration = Duration::from_secs(2);
/// Time that calls go on after the bound.
const WATCHED: Duration = Duration::from_secs(3);
const CALLERS: usize = 9;
/// Most probes of a target that refuses connections, from each entry, within `WATCHED`.
const MOST_PROBES: usize = 3;
/// Steps slow enough for streams to be under way at any time.
const SLOW_STEPS: [&str; 4] = ["--step-base-us", "20000", "--step-per-seq-us", "100"];

async fn start(name: &str) -> Deployment {
    Deployment::start(name, &DeploymentOptions::new().engine_args(&SLOW_STEPS)).await
}

/// Sends chats through all entries for a while; each must be answered whole.
async fn load(deployment: &Deployment, prefix: &str, length: Duration) {
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

async fn list(deployment: &Deployment, engine: usize, state: &str) {
    let name = format!("engine-{engine}");
    let host = json!({
        "name": name, "role": "target", "zone": "zone-a",
        "address": deployment.engine_address(engine), "state": state,
    });
    let path = format!("v1/hosts/{name}");
    let response = deployment.call_platform(Method::PUT, &path, &host).await.unwrap();
    assert!(response.status.is_success(), "{}", response.body);
}

/// Times of an engine's records of one kind, in microseconds.
async fn times(deployment: &Deployment, engine: usize, event: &str) -> Vec<u64> {
    let records = deployment.engine_records(engine).await;
    let matching = records.iter().filter(|record| record["event"] == event);
    matching.map(|record| record["at_us"].as_u64().unwrap()).collect()
}

/// Marks an engine as leaving under load and checks what reaches it.
async fn leaves(deployment: &Deployment, bound: Duration) {
    load(deployment, "before", Duration::from_secs(1)).await;
    assert!(!times(deployment, 0, "started").await.is_empty(), "the engine has work");
    let (marked, ()) = tokio::join!(
        async {
            list(deployment, 0, "leaving").await;
            unix_micros()
        },
        load(deployment, "during", bound + WATCHED),
    );
    let last = times(deployment, 0, "received").await.into_iter().max().unwrap();
    let allowed = marked + u64::try_from(bound.as_micros()).unwrap();
    assert!(last <= allowed, "new work {} us too late", last - allowed);
    assert!(times(deployment, 0, "cancelled").await.is_empty(), "running work ended whole");
    let (started, finished) =
        (times(deployment, 0, "started").await, times(deployment, 0, "finished").await);
    assert_eq!(started.len(), finished.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_listed_leaving_target_gets_no_new_work_and_ends_what_runs() {
    let deployment = start("leaving").await;
    leaves(&deployment, NO_NEW_WORK).await;
    list(&deployment, 0, "live").await;
    load(&deployment, "back", NO_NEW_WORK + WATCHED).await;
    let last = times(&deployment, 0, "received").await.into_iter().max().unwrap();
    let recent = u64::try_from(WATCHED.as_micros()).unwrap();
    assert!(last > unix_micros() - recent, "a target that came back gets work");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lagging_list_only_adds_its_lag() {
    let deployment = start("lagging").await;
    let lag = u64::try_from(LAG.as_millis()).unwrap();
    deployment.set_platform_faults(&json!({"hosts_lag_ms": lag})).await;
    leaves(&deployment, NO_NEW_WORK + LAG).await;
}

/// Dispatches to the first engine that an entry recorded since a time.
async fn dispatches(deployment: &Deployment, entry: usize, since: u64) -> usize {
    let path = format!("admin/events?since={since}");
    let response = deployment.call_admin(entry, Method::GET, &path, &Value::Null).await.unwrap();
    let events = response.json()["events"].as_array().unwrap().clone();
    let own = events.iter().filter(|event| {
        event["kind"] == "dispatched" && event["detail"].as_str().unwrap().contains("engine-0")
    });
    own.count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_refuses_connections_is_only_probed() {
    let mut deployment = start("refusing").await;
    load(&deployment, "before", Duration::from_secs(1)).await;
    deployment.engines[0].kill().await;
    load(&deployment, "after", NO_NEW_WORK).await;
    let since = unix_micros();
    load(&deployment, "later", WATCHED).await;
    for entry in 0..3 {
        let tries = dispatches(&deployment, entry, since).await;
        assert!(tries <= MOST_PROBES, "entry {entry} tried it {tries} times");
    }
    deployment.engines[0].restart();
    load(&deployment, "again", Duration::from_secs(8)).await;
    assert!(!times(&deployment, 0, "started").await.is_empty(), "it gets work again");
}
