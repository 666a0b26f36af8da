//! System tests of batch jobs under injected faults.

#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use http::StatusCode;
use oleander_check::{Deployment, DeploymentOptions, Response, chat_body, eventually};
use serde_json::{Value, json};
use standin::{record::unix_micros, response::expected_text};

const CLAIM_TIMEOUT_MS: u64 = 2_000;
/// Longer than the claim timeout.
const PAUSE_DURATION: Duration = Duration::from_secs(4);
/// Long enough for runs of each item to fail several times.
const FAULT_DURATION: Duration = Duration::from_secs(12);
const JOB_TIMEOUT: Duration = Duration::from_secs(90);
const TIMEOUT: Duration = Duration::from_secs(30);
/// Well above the latency of an online call, which is below a second.
const MAX_ONLINE_LATENCY: Duration = Duration::from_secs(5);
/// Maximum time after a cancel within which new items may still reach an engine.
const MAX_CANCEL_DELAY: Duration = Duration::from_secs(4);
const LARGE_JOB_ITEMS: usize = 30_000;
const POISON_ITEM: &str = "poison";

async fn start(name: &str, step_us: &str) -> Deployment {
    start_with(name, &["--step-base-us", step_us, "--step-per-seq-us", "100"]).await
}

async fn start_with(name: &str, engine_args: &[&str]) -> Deployment {
    let options = DeploymentOptions::new()
        .batch_hosts(2)
        .batch_settings(json!({"claim_ms": CLAIM_TIMEOUT_MS}))
        .engine_args(engine_args);
    let deployment = Deployment::start(name, &options).await;
    let mut document = deployment.document();
    document["services"][0]["batch"] =
        json!({"lot_items": 10, "item_tries": 3, "checkpoint_ms": 200});
    deployment.apply(&document).await;
    deployment
}

/// Prompts of a job's items by `custom_id`.
fn items(job: &str, count: usize) -> BTreeMap<String, String> {
    (0..count).map(|n| (format!("i{n}"), format!("{job} item {n}"))).collect()
}

fn item_body(prompt: &str) -> Value {
    json!({"model": "llm", "messages": [{"role": "user", "content": prompt}]})
}

/// Uploads the items and returns the request body that submits their job.
async fn upload(deployment: &Deployment, items: &BTreeMap<String, String>) -> Value {
    let lines: String = items
        .iter()
        .map(|(name, prompt)| {
            let line = json!({"custom_id": name, "method": "POST",
                "url": "/v1/chat/completions", "body": item_body(prompt)});
            format!("{line}\n")
        })
        .collect();
    let file = deployment.upload(0, &lines).await.unwrap();
    assert_eq!(file.status, StatusCode::OK, "{}", file.body);
    json!({"input_file_id": file.json()["id"], "endpoint": "/v1/chat/completions",
        "completion_window": "1h"})
}

/// Submits a job, resending until it is accepted, and returns its id.
async fn submit(deployment: &Deployment, entry: usize, key: &str, submission: &Value) -> String {
    eventually("the job is accepted", TIMEOUT, || async {
        let response = deployment.post(entry, "v1/batches", key, submission).await.ok()?;
        response.json()["id"]
            .as_str()
            .filter(|_| response.status == StatusCode::OK)
            .map(str::to_owned)
    })
    .await
}

async fn read_job(deployment: &Deployment, entry: usize, id: &str) -> Option<Value> {
    let response = deployment.get(entry, &format!("v1/batches/{id}")).await.ok()?;
    (response.status == StatusCode::OK).then(|| response.json())
}

async fn cancel(deployment: &Deployment, entry: usize, id: &str) -> Response {
    let path = format!("v1/batches/{id}/cancel");
    deployment.post(entry, &path, "cancel", &Value::Null).await.unwrap()
}

async fn wait_for_status(
    deployment: &Deployment,
    entry: usize,
    id: &str,
    statuses: &[&str],
) -> Value {
    eventually("the job has an expected status", JOB_TIMEOUT, || async {
        let job = read_job(deployment, entry, id).await?;
        statuses.contains(&job["status"].as_str()?).then_some(job)
    })
    .await
}

/// Reads a job's output rows by `custom_id`, which must be unique.
async fn read_output(
    deployment: &Deployment,
    entry: usize,
    job: &Value,
) -> BTreeMap<String, Value> {
    let Some(file) = job["output_file_id"].as_str() else { return BTreeMap::new() };
    let path = format!("v1/files/{file}/content");
    let content = eventually("the output is readable", TIMEOUT, || async {
        let response = deployment.get(entry, &path).await.ok()?;
        (response.status == StatusCode::OK).then_some(response.body)
    })
    .await;
    let mut rows = BTreeMap::new();
    for line in content.lines() {
        let row: Value = serde_json::from_str(line).unwrap();
        let name = row["custom_id"].as_str().unwrap().to_owned();
        assert!(rows.insert(name, row).is_none(), "duplicate output of an item: {line}");
    }
    rows
}

/// Checks that each row holds the response to its own item.
fn assert_own_responses(items: &BTreeMap<String, String>, rows: &BTreeMap<String, Value>) {
    for (name, row) in rows {
        let text = &row["response"]["body"]["choices"][0]["message"]["content"];
        let expected = expected_text(&chat_body(&items[name], false));
        assert_eq!(text.as_str(), Some(expected.as_str()), "{name}: {row}");
    }
}

fn item_names<T>(map: &BTreeMap<String, T>) -> BTreeSet<&String> {
    map.keys().collect()
}

/// Checks that all items of a job completed and that every entry returns the same output.
async fn assert_complete(deployment: &Deployment, id: &str, items: &BTreeMap<String, String>) {
    let job = wait_for_status(deployment, 0, id, &["completed"]).await;
    let rows = read_output(deployment, 0, &job).await;
    let failed = rows.values().find(|row| !row["error"].is_null());
    assert_eq!(job["request_counts"]["completed"], items.len(), "{job} {failed:?}");
    assert_eq!(job["request_counts"]["failed"], 0, "{job}");
    assert_eq!(item_names(&rows), item_names(items));
    assert_own_responses(items, &rows);
    for entry in 1..3 {
        let job = wait_for_status(deployment, entry, id, &["completed"]).await;
        assert_eq!(read_output(deployment, entry, &job).await, rows);
    }
}

/// Waits until at least `min_completed` items of a job have completed.
async fn wait_for_progress(deployment: &Deployment, id: &str, min_completed: u64) {
    eventually("the job makes progress", JOB_TIMEOUT, || async {
        let counts = read_job(deployment, 2, id).await?["request_counts"].clone();
        (counts["completed"].as_u64()? >= min_completed).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_completes_once_despite_killed_hosts_and_resends() {
    let mut deployment = start("batch-kills", "10000").await;
    let items = items("kills", 200);
    let submission = upload(&deployment, &items).await;
    let id = submit(&deployment, 0, "job", &submission).await;
    for round in 0..2_usize {
        deployment.batch_hosts[round].kill().await;
        deployment.entries[round].kill().await;
        let again = submit(&deployment, 2, "job", &submission).await;
        assert_eq!(again, id, "a resend returns the same job");
        deployment.batch_hosts[round].restart();
        deployment.entries[round].restart();
        wait_for_progress(&deployment, &id, 30 * (round as u64 + 1)).await;
    }
    assert_complete(&deployment, &id, &items).await;
    let again = submit(&deployment, 1, "job", &submission).await;
    assert_eq!(again, id, "a resend after completion returns the same job");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_completes_once_despite_a_host_paused_past_its_claim() {
    let deployment = start("batch-pause", "10000").await;
    let items = items("pause", 200);
    let submission = upload(&deployment, &items).await;
    let id = submit(&deployment, 0, "job", &submission).await;
    for round in 0..2 {
        wait_for_progress(&deployment, &id, 10).await;
        deployment.batch_hosts[round].signal("STOP").await;
        tokio::time::sleep(PAUSE_DURATION).await;
        deployment.batch_hosts[round].signal("CONT").await;
    }
    assert_complete(&deployment, &id, &items).await;
}

/// Runs a job while all engines have a fault for a while; no item may fail for good.
async fn job_outlasts_fault(name: &str, fault: &Value) {
    let deployment = start(name, "5000").await;
    let items = items(name, 100);
    for engine in 0..3 {
        deployment.set_engine_faults(engine, fault).await;
    }
    let submission = upload(&deployment, &items).await;
    let id = submit(&deployment, 0, "job", &submission).await;
    tokio::time::sleep(FAULT_DURATION).await;
    for engine in 0..3 {
        deployment.set_engine_faults(engine, &json!({})).await;
    }
    assert_complete(&deployment, &id, &items).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_that_answer_500_use_up_no_try() {
    job_outlasts_fault("batch-status", &json!({"fail_status": 500})).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_that_cut_streams_use_up_no_try() {
    job_outlasts_fault("batch-cut", &json!({"break_after_tokens": 3})).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_that_mix_up_responses_use_up_no_try() {
    job_outlasts_fault("batch-cross", &json!({"cross_ids": true})).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_that_freeze_use_up_no_try() {
    job_outlasts_fault("batch-freeze", &json!({"freeze": true})).await;
}

/// Restarts engines that have exited; the poison item may end them again at once.
fn restart_exited_engines(deployment: &mut Deployment) {
    for engine in &mut deployment.engines {
        if engine.has_exited() {
            engine.restart();
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poison_item_fails_and_the_others_complete() {
    // Set by argument, so that restarted engines also exit on the item instead of serving it.
    let args = ["--step-base-us", "5000", "--step-per-seq-us", "100", "--die-on", POISON_ITEM];
    let mut deployment = start_with("batch-poison", &args).await;
    let mut items = items("job", 60);
    items.insert(POISON_ITEM.to_owned(), POISON_ITEM.to_owned());
    let submission = upload(&deployment, &items).await;
    let id = submit(&deployment, 0, "job", &submission).await;
    let mut rounds = 0;
    let job = loop {
        restart_exited_engines(&mut deployment);
        let job = read_job(&deployment, 0, &id).await.unwrap_or_default();
        if job["status"] == "completed" {
            break job;
        }
        rounds += 1;
        assert!(rounds < 900, "job has not completed: {job}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    assert_eq!(job["request_counts"]["failed"], 1, "{job}");
    assert_eq!(job["request_counts"]["completed"], 60, "{job}");
    let mut rows = read_output(&deployment, 1, &job).await;
    let poison = rows.remove(POISON_ITEM).unwrap();
    assert!(poison["error"].is_object(), "{poison}");
    assert_eq!(rows.len(), 60);
    assert_own_responses(&items, &rows);
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
        wait_for_progress(&deployment, &id, near_end.min(10)).await;
        let response = cancel(&deployment, 1, &id).await;
        let expected = match response.status {
            StatusCode::OK => "cancelled",
            StatusCode::CONFLICT => "completed",
            status => panic!("{status}: {}", response.body),
        };
        for entry in 0..3 {
            let job = wait_for_status(&deployment, entry, &id, &["cancelled", "completed"]).await;
            assert_eq!(job["status"], expected, "{job}");
            assert_own_responses(&items, &read_output(&deployment, entry, &job).await);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_in_an_outage_reports_its_true_outcome() {
    let deployment = start("batch-outage", "5000").await;
    let faults = [json!({"down": true}), json!({"silent": true}), json!({"lose_answers": 6})];
    for (round, fault) in faults.iter().enumerate() {
        let items = items(&format!("outage {round}"), 60);
        let submission = upload(&deployment, &items).await;
        let id = submit(&deployment, 0, &format!("outage-{round}"), &submission).await;
        wait_for_progress(&deployment, &id, 1).await;
        deployment.set_platform_faults(fault).await;
        let response = cancel(&deployment, 1, &id).await;
        deployment.set_platform_faults(&json!({})).await;
        let job = wait_for_status(&deployment, 2, &id, &["cancelled", "completed"]).await;
        match (response.status, response.ran().as_deref()) {
            (StatusCode::OK, _) => assert_eq!(job["status"], "cancelled", "{job}"),
            (_, Some("no")) => assert_eq!(job["status"], "completed", "{fault}: {job}"),
            (_, Some("unknown")) => {}
            (status, _) => panic!("{status}: {}", response.body),
        }
        assert_own_responses(&items, &read_output(&deployment, 0, &job).await);
    }
}

/// Sends chat completions to all entries in turn and checks the latency of each.
async fn online_calls(deployment: &Deployment, prefix: &str) {
    for n in 0..30 {
        let start = Instant::now();
        let key = format!("{prefix}-{n}");
        let response = deployment.chat(n % 3, &key, &key, n % 2 == 0).await.unwrap();
        assert_eq!(response.status, StatusCode::OK, "{}", response.body);
        assert!(start.elapsed() < MAX_ONLINE_LATENCY, "{key} took {:?}", start.elapsed());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn online_calls_go_on_beside_a_large_job_which_stops_when_cancelled() {
    let deployment = start("batch-large", "10000").await;
    let items = items("large", LARGE_JOB_ITEMS);
    let (submission, ()) =
        tokio::join!(upload(&deployment, &items), online_calls(&deployment, "upload"));
    let id = submit(&deployment, 0, "large", &submission).await;
    wait_for_progress(&deployment, &id, 10).await;
    online_calls(&deployment, "run").await;
    let response = cancel(&deployment, 1, &id).await;
    assert_eq!(response.status, StatusCode::OK, "{}", response.body);
    let deadline = unix_micros() + u64::try_from(MAX_CANCEL_DELAY.as_micros()).unwrap();
    tokio::time::sleep(MAX_CANCEL_DELAY + Duration::from_secs(2)).await;
    for engine in 0..3 {
        let records = deployment.engine_records(engine).await;
        let received = records.iter().filter(|record| record["event"] == "received");
        let late = received.filter(|record| record["at_us"].as_u64().unwrap() > deadline).count();
        assert_eq!(late, 0, "new items received by engine {engine} after the cancel");
    }
    let job = wait_for_status(&deployment, 2, &id, &["cancelled"]).await;
    let rows = read_output(&deployment, 2, &job).await;
    assert!(!rows.is_empty() && rows.len() < items.len(), "{}", rows.len());
    assert_own_responses(&items, &rows);
}
