//! System tests of the responses during a platform outage: they must hold for the call on all
//! hosts, not only for what the responding host knows.

#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use http::StatusCode;
use oleander_check::{Deployment, DeploymentOptions, Response, eventually};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than the copy delay, after which a host commits the copy that it holds for another.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);
const KEYS: usize = 12;

async fn dispatch(deployment: &Deployment, entry: usize, key: &str) -> Option<(StatusCode, Value)> {
    let body = json!({"about": key});
    let response = deployment.post(entry, "v1/services/desk/dispatch", key, &body).await.ok()?;
    Some((response.status, response.json()))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_in_an_outage_does_not_report_an_executed_call_as_not_run() {
    let mut deployment = Deployment::start("truth", &DeploymentOptions::new()).await;
    for n in 0..KEYS {
        let (status, body) = dispatch(&deployment, n % 3, &format!("t{n}")).await.unwrap();
        assert_eq!(status, StatusCode::OK, "{body}");
    }
    deployment.set_platform_faults(&json!({"down": true})).await;
    let mut false_reports = BTreeSet::new();
    for entry in 0..3 {
        deployment.entries[entry].kill().await;
        deployment.entries[entry].restart();
        eventually("the entry serves again", TIMEOUT, || async {
            deployment.revision(entry).await.map(|_| ())
        })
        .await;
        for n in 0..KEYS {
            let Some((_, body)) = dispatch(&deployment, entry, &format!("t{n}")).await else {
                continue;
            };
            if body["error"]["ran"] == "no" {
                false_reports.insert(format!("t{n} through entry {entry}: {body}"));
            }
        }
    }
    assert!(false_reports.is_empty(), "{false_reports:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_result_returned_in_an_outage_is_never_reported_as_absent() {
    let mut deployment = Deployment::start("absent", &DeploymentOptions::new()).await;
    deployment.set_platform_faults(&json!({"down": true})).await;
    let mut absent = BTreeSet::new();
    for killed in 0..3 {
        deployment.entries[killed].kill().await;
        let others = [(killed + 1) % 3, (killed + 2) % 3];
        for n in 0..KEYS {
            let key = format!("k{killed}-{n}");
            eventually("the call completes", TIMEOUT, || async {
                let response = deployment.chat(others[n % 2], &key, &key, false).await.ok()?;
                (response.status == StatusCode::OK).then_some(())
            })
            .await;
        }
        deployment.entries[killed].restart();
        eventually("the entry serves again", TIMEOUT, || async {
            deployment.revision(killed).await.map(|_| ())
        })
        .await;
        deployment.set_platform_faults(&json!({"down": false})).await;
        absent.extend(absent_results(&deployment, killed).await);
        deployment.set_platform_faults(&json!({"down": true})).await;
    }
    assert!(absent.is_empty(), "{absent:#?}");
}

/// Reads the results of one round for `OBSERVATION_TIME`; returns those reported as absent.
async fn absent_results(deployment: &Deployment, round: usize) -> BTreeSet<String> {
    let start = Instant::now();
    let mut absent = BTreeSet::new();
    while start.elapsed() < OBSERVATION_TIME {
        for n in 0..KEYS {
            let path = format!("v1/results/k{round}-{n}");
            let Ok(response) = deployment.get(n % 3, &path).await else { continue };
            if response.status == StatusCode::NOT_FOUND {
                absent.insert(format!("k{round}-{n} through entry {}: {}", n % 3, response.body));
            }
        }
    }
    absent
}

/// Request id of the run that a result comes from; `None` without a result.
fn run_id(response: Result<Response, String>) -> Option<String> {
    let response = response.ok().filter(|response| response.status == StatusCode::OK)?;
    response.json()["request_id"].as_str().map(str::to_owned)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_in_an_outage_still_counts_after_a_paused_owner_resumes() {
    let options = DeploymentOptions::new().service_args(&["--work-ms", "300"]);
    let deployment = Deployment::start("resumes", &options).await;
    let first_caller = deployment.caller(Duration::from_secs(1));
    let caller = deployment.caller(TIMEOUT);
    let path = "v1/services/desk/notify";
    let body = json!({"about": 1});
    let keys: Vec<String> = (0..KEYS).map(|n| format!("n{n}")).collect();
    let first = keys.iter().map(|key| first_caller.post(0, path, key, &body));
    let faults = async {
        eventually("all calls have started", TIMEOUT, || async {
            (deployment.service_runs().await.len() == KEYS).then_some(())
        })
        .await;
        deployment.entries[0].signal("STOP").await;
        deployment.set_platform_faults(&json!({"silent": true})).await;
    };
    tokio::join!(join_all(first), faults);
    let mut returned = Vec::new();
    for (n, key) in keys.iter().enumerate() {
        let run = eventually("a resend completes", TIMEOUT, || async {
            run_id(caller.post(1 + n % 2, path, key, &body).await)
        });
        returned.push(run.await);
    }
    deployment.entries[0].signal("CONT").await;
    deployment.set_platform_faults(&json!({})).await;
    let mut differences = BTreeSet::new();
    for (key, run) in keys.iter().zip(returned) {
        for entry in 0..3 {
            let read = eventually("the result is readable", TIMEOUT, || async {
                run_id(caller.get(entry, &format!("v1/results/{key}")).await)
            });
            let read = read.await;
            if read != run {
                differences
                    .insert(format!("{key}: run {run} was returned, entry {entry} reads {read}"));
            }
        }
    }
    assert!(differences.is_empty(), "{differences:#?}");
}
