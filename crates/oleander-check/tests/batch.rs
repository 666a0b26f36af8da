//! What must hold for jobs, over real processes and faults.

#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use http::StatusCode;
use oleander_check::{Deployment, DeploymentOptions, Response, chat_body, eventually};
use serde_json::{Value, json};
use standin::{answer::expected_text, record::unix_micros};

const CLAIM_MS: u64 = 2_000;
/// Longer than a claim.
const PAUSE: Duration = Duration::from_secs(4);
/// Long enough for each item to meet a fault several times.
const FAULT: Duration = Duration::from_secs(12);
const JOB_BOUND: Duration = Duration::from_secs(90);
const BOUND: Duration = Duration::from_secs(30);
/// Generous bound on an online call; one takes less than a second.
const ONLINE_BOUND: Duration = Duration::from_secs(5);
/// After this time a cancelled job sends no new item.
const STOP_BOUND: Duration = Duration::from_secs(4);
const LARGE_JOB: usize = 30_000;
const POISON: &str = "poison";

async fn start(name: &str, step_us: &str) -> Deployment {
    start_with(name, &["--step-base-us", step_us, "--step-per-seq-us", "100"]).await
}

async fn start_with(name: &str, engine_args: &[&str]) -> Deployment {
    let shape = DeploymentOptions::new()
        .batch_hosts(2)
        .batch_settings(json!({"claim_ms": CLAIM_MS}))
        .engine_args(engine_args);
    let deployment = Deployment::start(name, &shape).await;
    let mut document = deployment.document();
    document["services"][0]["batch"] =
        json!({"lot_items": 10, "item_tries": 3, "checkpoint_ms": 200});
    deployment.apply(&document).await;
    deployment
}

/// Names and prompts of a job's items.
fn items(job: &str, count: usize) -> BTreeMap<String, String> {
    (0..count).map(|n| (format!("i{n}"), format!("{job} item {n}"))).collect()
}

fn body(prompt: &str) -> Value {
    json!({"model": "llm", "messages": [{"role": "user", "content": prompt}]})
}

/// Uploads the items and returns the text of the job that runs them.
async fn upload(deployment: &Deployment, items: &BTreeMap<String, String>) -> Value {
    let lines: String = items
        .iter()
        .map(|(name, prompt)| {
            let line = json!({"custom_id": name, "method": "POST",
                "url": "/v1/chat/completions", "body": body(prompt)});
            format!("{line}\n")
        })
        .collect();
    let file = deployment.upload(0, &lines).await.unwrap();
    assert_eq!(file.status, StatusCode::OK, "{}", file.body);
    json!({"input_file_id": file.json()["id"], "endpoint": "/v1/chat/completions",
        "completion_window": "1h"})
}

/// Submits a job until it is accepted and returns its id.
async fn submit(deployment: &Deployment, entry: usize, key: &str, submission: &Value) -> String {
    eventually("the job is accepted", BOUND, || async {
        let response = deployment.post(entry, "v1/batches", key, submission).await.ok()?;
        response.json()["id"]
            .as_str()
            .filter(|_| response.status == StatusCode::OK)
            .map(str::to_owned)
    })
    .await
}

async fn job(deployment: &Deployment, entry: usize, job: &str) -> Option<Value> {
    let response = deployment.get(entry, &format!("v1/batches/{job}")).await.ok()?;
    (response.status == StatusCode::OK).then(|| response.json())
}

async fn cancel(deployment: &Deployment, entry: usize, job: &str) -> Response {
    let path = format!("v1/batches/{job}/cancel");
    deployment.post(entry, &path, "cancel", &Value::Null).await.unwrap()
}

async fn wait_for(deployment: &Deployment, entry: usize, id: &str, states: &[&str]) -> Value {
    eventually("the job is at its end", JOB_BOUND, || async {
        let found = job(deployment, entry, id).await?;
        states.contains(&found["status"].as_str()?).then_some(found)
    })
    .await
}

/// A job's output by `custom_id`; each may stand once.
async fn output(deployment: &Deployment, entry: usize, found: &Value) -> BTreeMap<String, Value> {
    let Some(file) = found["output_file_id"].as_str() else { return BTreeMap::new() };
    let path = format!("v1/files/{file}/content");
    let content = eventually("the output is readable", BOUND, || async {
        let response = deployment.get(entry, &path).await.ok()?;
        (response.status == StatusCode::OK).then_some(response.body)
    })
    .await;
    let mut rows = BTreeMap::new();
    for line in content.lines() {
        let row: Value = serde_json::from_str(line).unwrap();
        let name = row["custom_id"].as_str().unwrap().to_owned();
        assert!(rows.insert(name, row).is_none(), "an item ended twice: {line}");
    }
    rows
}

/// Checks that each row is the response to just its item.
fn assert_own(items: &BTreeMap<String, String>, rows: &BTreeMap<String, Value>) {
    for (name, row) in rows {
        let text = &row["response"]["body"]["choices"][0]["message"]["content"];
        let expected = expected_text(&chat_body(&items[name], false));
        assert_eq!(text.as_str(), Some(expected.as_str()), "{name}: {row}");
    }
}

fn names<T>(map: &BTreeMap<String, T>) -> BTreeSet<&String> {
    map.keys().collect()
}

/// Checks that a job is complete and reads the same from each entry.
async fn assert_complete(deployment: &Deployment, id: &str, items: &BTreeMap<String, String>) {
    let found = wait_for(deployment, 0, id, &["completed"]).await;
    let rows = output(deployment, 0, &found).await;
    let failed = rows.values().find(|row| !row["error"].is_null());
    assert_eq!(found["request_counts"]["completed"], items.len(), "{found} {failed:?}");
    assert_eq!(found["request_counts"]["failed"], 0, "{found}");
    assert_eq!(names(&rows), names(items));
    assert_own(items, &rows);
    for entry in 1..3 {
        let found = wait_for(deployment, entry, id, &["completed"]).await;
        assert_eq!(output(deployment, entry, &found).await, rows);
    }
}

/// Waits until a job has completed some items.
async fn progress(deployment: &Deployment, id: &str, least: u64) {
    eventually("the job makes progress", JOB_BOUND, || async {
        let counts = job(deployment, 2, id).await?["request_counts"].clone();
        (counts["completed"].as_u64()? >= least).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_ends_once_over_kills_of_all_hosts_and_resends() {
    let mut deployment = start("batch-kills", "10000").await;
    let items = items("kills", 200);
    let submission = upload(&deployment, &items).await;
    let id = submit(&deployment, 0, "job", &submission).await;
    for round in 0..2_usize {
        deployment.batch_hosts[round].kill().await;
        deployment.entries[round].kill().await;
        let again = submit(&deployment, 2, "job", &submission).await;
        assert_eq!(again, id, "a resend is the same job");
        deployment.batch_hosts[round].restart();
        deployment.entries[round].restart();
        progress(&deployment, &id, 30 * (round as u64 + 1)).await;
    }
    assert_complete(&deployment, &id, &items).await;
    let again = submit(&deployment, 1, "job", &submission).await;
    assert_eq!(again, id, "a resend after the end is the same job");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_ends_once_over_a_runner_paused_past_its_claim() {
    let deployment = start("batch-pause", "10000").await;
    let items = items("pause", 200);
    let submission = upload(&deployment, &items).await;
    let id = submit(&deployment, 0, "job", &submission).await;
    for round in 0..2 {
        progress(&deployment, &id, 10).await;
        deployment.batch_hosts[round].signal("STOP").await;
        tokio::time::sleep(PAUSE).await;
        deployment.batch_hosts[round].signal("CONT").await;
    }
    assert_complete(&deployment, &id, &items).await;
}

/// Runs a job while all engines show one fault for a while; no item may end as failed.
async fn outlasts(name: &str, fault: &Value) {
    let deployment = start(name, "5000").await;
    let items = items(name, 100);
    for engine in 0..3 {
        deployment.set_engine_faults(engine, fault).await;
    }
    let submission = upload(&deployment, &items).await;
    let id = submit(&deployment, 0, "job", &submission).await;
    tokio::time::sleep(FAULT).await;
    for engine in 0..3 {
        deployment.set_engine_faults(engine, &json!({})).await;
    }
    assert_complete(&deployment, &id, &items).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_that_answer_500_use_up_no_try() {
    outlasts("batch-status", &json!({"fail_status": 500})).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_that_cut_streams_use_up_no_try() {
    outlasts("batch-cut", &json!({"break_after_tokens": 3})).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_that_cross_answers_use_up_no_try() {
    outlasts("batch-cross", &json!({"cross_ids": true})).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_that_freeze_use_up_no_try() {
    outlasts("batch-freeze", &json!({"freeze": true})).await;
}

/// Starts engines again that have ended; the poison item may end them again at once.
fn revive(deployment: &mut Deployment) {
    for engine in &mut deployment.engines {
        if engine.has_exited() {
            engine.restart();
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poison_item_ends_failed_and_the_others_complete() {
    // From the start, so that a restarted engine never serves the item.
    let args = ["--step-base-us", "5000", "--step-per-seq-us", "100", "--die-on", POISON];
    let mut deployment = start_with("batch-poison", &args).await;
    let mut items = items("job", 60);
    items.insert(POISON.to_owned(), POISON.to_owned());
    let submission = upload(&deployment, &items).await;
    let id = submit(&deployment, 0, "job", &submission).await;
    let mut rounds = 0;
    let found = loop {
        revive(&mut deployment);
        let found = job(&deployment, 0, &id).await.unwrap_or_default();
        if found["status"] == "completed" {
            break found;
        }
        rounds += 1;
        assert!(rounds < 900, "not at its end: {found}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    assert_eq!(found["request_counts"]["failed"], 1, "{found}");
    assert_eq!(found["request_counts"]["completed"], 60, "{found}");
    let mut rows = output(&deployment, 1, &found).await;
    let poison = rows.remove(POISON).unwrap();
    assert!(poison["error"].is_object(), "{poison}");
    assert_eq!(rows.len(), 60);
    assert_own(&items, &rows);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_that_races_the_end_has_one_outcome() {
    let deployment = start("batch-race", "3000").await;
    for round in 0..8_u64 {
        let name = format!("race {round}");
        let items = items(&name, 10);
        let submission = upload(&deployment, &items).await;
        let id = submit(&deployment, 0, &format!("race-{round}"), &submission).await;
        let near_end = round + 3;
        progress(&deployment, &id, near_end.min(10)).await;
        let response = cancel(&deployment, 1, &id).await;
        let expected = match response.status {
            StatusCode::OK => "cancelled",
            StatusCode::CONFLICT => "completed",
            status => panic!("{status}: {}", response.body),
        };
        for entry in 0..3 {
            let found = wait_for(&deployment, entry, &id, &["cancelled", "completed"]).await;
            assert_eq!(found["status"], expected, "{found}");
            assert_own(&items, &output(&deployment, entry, &found).await);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_in_an_outage_is_refused_truthfully() {
    let deployment = start("batch-outage", "5000").await;
    let faults = [json!({"down": true}), json!({"silent": true}), json!({"lose_answers": 6})];
    for (round, fault) in faults.iter().enumerate() {
        let items = items(&format!("outage {round}"), 60);
        let submission = upload(&deployment, &items).await;
        let id = submit(&deployment, 0, &format!("outage-{round}"), &submission).await;
        progress(&deployment, &id, 1).await;
        deployment.set_platform_faults(fault).await;
        let response = cancel(&deployment, 1, &id).await;
        deployment.set_platform_faults(&json!({})).await;
        let found = wait_for(&deployment, 2, &id, &["cancelled", "completed"]).await;
        match (response.status, response.ran().as_deref()) {
            (StatusCode::OK, _) => assert_eq!(found["status"], "cancelled", "{found}"),
            (_, Some("no")) => assert_eq!(found["status"], "completed", "{fault}: {found}"),
            (_, Some("unknown")) => {}
            (status, _) => panic!("{status}: {}", response.body),
        }
        assert_own(&items, &output(&deployment, 0, &found).await);
    }
}

/// Chats through all entries one after another, each within the bound.
async fn online_calls(deployment: &Deployment, prefix: &str) {
    for n in 0..30 {
        let begun = Instant::now();
        let key = format!("{prefix}-{n}");
        let response = deployment.chat(n % 3, &key, &key, n % 2 == 0).await.unwrap();
        assert_eq!(response.status, StatusCode::OK, "{}", response.body);
        assert!(begun.elapsed() < ONLINE_BOUND, "{key} took {:?}", begun.elapsed());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn online_calls_go_on_beside_a_large_job_which_stops_when_cancelled() {
    let deployment = start("batch-large", "10000").await;
    let items = items("large", LARGE_JOB);
    let (submission, ()) =
        tokio::join!(upload(&deployment, &items), online_calls(&deployment, "upload"));
    let id = submit(&deployment, 0, "large", &submission).await;
    progress(&deployment, &id, 10).await;
    online_calls(&deployment, "run").await;
    let response = cancel(&deployment, 1, &id).await;
    assert_eq!(response.status, StatusCode::OK, "{}", response.body);
    let allowed = unix_micros() + u64::try_from(STOP_BOUND.as_micros()).unwrap();
    tokio::time::sleep(STOP_BOUND + Duration::from_secs(2)).await;
    for engine in 0..3 {
        let records = deployment.engine_records(engine).await;
        let received = records.iter().filter(|record| record["event"] == "received");
        let late = received.filter(|record| record["at_us"].as_u64().unwrap() > allowed).count();
        assert_eq!(late, 0, "new items at engine {engine} after the cancel");
    }
    let found = wait_for(&deployment, 2, &id, &["cancelled"]).await;
    let rows = output(&deployment, 2, &found).await;
    assert!(!rows.is_empty() && rows.len() < items.len(), "{}", rows.len());
    assert_own(&items, &rows);
}
