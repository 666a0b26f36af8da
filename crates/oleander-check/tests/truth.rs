//! What is said of a call while the platform is down must be true of the call, not of one host.

#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use http::StatusCode;
use oleander_check::{Deployment, DeploymentOptions, Response, eventually};
use serde_json::{Value, json};

const BOUND: Duration = Duration::from_secs(30);
/// Longer than the time after which a copy is committed by the host that holds it.
const WATCHED: Duration = Duration::from_secs(5);
const KEYS: usize = 12;

async fn dispatch(deployment: &Deployment, entry: usize, key: &str) -> Option<(StatusCode, Value)> {
    let body = json!({"about": key});
    let response = deployment.post(entry, "v1/services/desk/dispatch", key, &body).await.ok()?;
    Some((response.status, response.json()))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_in_an_outage_does_not_say_that_a_call_that_ran_has_not_run() {
    let mut deployment = Deployment::start("truth", &DeploymentOptions::new()).await;
    for n in 0..KEYS {
        let (status, body) = dispatch(&deployment, n % 3, &format!("t{n}")).await.unwrap();
        assert_eq!(status, StatusCode::OK, "{body}");
    }
    deployment.set_platform_faults(&json!({"down": true})).await;
    let mut lies = BTreeSet::new();
    for entry in 0..3 {
        deployment.entries[entry].kill().await;
        deployment.entries[entry].restart();
        eventually("the entry serves again", BOUND, || async {
            deployment.revision(entry).await.map(|_| ())
        })
        .await;
        for n in 0..KEYS {
            let Some((_, body)) = dispatch(&deployment, entry, &format!("t{n}")).await else {
                continue;
            };
            if body["error"]["ran"] == "no" {
                lies.insert(format!("t{n} through entry {entry}: {body}"));
            }
        }
    }
    assert!(lies.is_empty(), "{lies:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_result_answered_in_an_outage_is_never_said_to_be_absent() {
    let mut deployment = Deployment::start("absent", &DeploymentOptions::new()).await;
    deployment.set_platform_faults(&json!({"down": true})).await;
    let mut absent = BTreeSet::new();
    for victim in 0..3 {
        deployment.entries[victim].kill().await;
        let others = [(victim + 1) % 3, (victim + 2) % 3];
        for n in 0..KEYS {
            let key = format!("k{victim}-{n}");
            eventually("the call is answered", BOUND, || async {
                let response = deployment.chat(others[n % 2], &key, &key, false).await.ok()?;
                (response.status == StatusCode::OK).then_some(())
            })
            .await;
        }
        deployment.entries[victim].restart();
        eventually("the entry serves again", BOUND, || async {
            deployment.revision(victim).await.map(|_| ())
        })
        .await;
        deployment.set_platform_faults(&json!({"down": false})).await;
        absent.extend(watch_for_absence(&deployment, victim).await);
        deployment.set_platform_faults(&json!({"down": true})).await;
    }
    assert!(absent.is_empty(), "{absent:#?}");
}

/// Reads the results of one round for a while; returns those said to be absent.
async fn watch_for_absence(deployment: &Deployment, round: usize) -> BTreeSet<String> {
    let start = Instant::now();
    let mut absent = BTreeSet::new();
    while start.elapsed() < WATCHED {
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

/// Id of the run that a notify's response or read came from; `None` without a whole one.
fn run_of(response: Result<Response, String>) -> Option<String> {
    let response = response.ok().filter(|response| response.status == StatusCode::OK)?;
    response.json()["request_id"].as_str().map(str::to_owned)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_in_an_outage_still_counts_after_a_paused_owner_resumes() {
    let shape = DeploymentOptions::new().service_args(&["--work-ms", "300"]);
    let deployment = Deployment::start("resumes", &shape).await;
    let impatient = deployment.caller(Duration::from_secs(1));
    let caller = deployment.caller(BOUND);
    let path = "v1/services/desk/notify";
    let body = json!({"about": 1});
    let keys: Vec<String> = (0..KEYS).map(|n| format!("n{n}")).collect();
    let first = keys.iter().map(|key| impatient.post(0, path, key, &body));
    let disturb = async {
        eventually("all run", BOUND, || async {
            (deployment.service_runs().await.len() == KEYS).then_some(())
        })
        .await;
        deployment.entries[0].signal("STOP").await;
        deployment.set_platform_faults(&json!({"silent": true})).await;
    };
    tokio::join!(join_all(first), disturb);
    let mut answered = Vec::new();
    for (n, key) in keys.iter().enumerate() {
        let run = eventually("a resend is answered", BOUND, || async {
            run_of(caller.post(1 + n % 2, path, key, &body).await)
        });
        answered.push(run.await);
    }
    deployment.entries[0].signal("CONT").await;
    deployment.set_platform_faults(&json!({})).await;
    let mut others = BTreeSet::new();
    for (key, run) in keys.iter().zip(answered) {
        for entry in 0..3 {
            let read = eventually("the result is readable", BOUND, || async {
                run_of(caller.get(entry, &format!("v1/results/{key}")).await)
            });
            let read = read.await;
            if read != run {
                others.insert(format!("{key}: answered {run}, entry {entry} reads {read}"));
            }
        }
    }
    assert!(others.is_empty(), "{others:#?}");
}
