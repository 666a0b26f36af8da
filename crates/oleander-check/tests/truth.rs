//! What is said of a call while the platform is down must be true of the call, not of one host.

#![allow(clippy::unwrap_used)]

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use http::StatusCode;
use oleander_check::{Deployment, Shape, eventually};
use serde_json::{Value, json};

const BOUND: Duration = Duration::from_secs(30);
/// Longer than the time after which a copy is committed by the host that holds it.
const WATCHED: Duration = Duration::from_secs(5);
const KEYS: usize = 12;

async fn dispatch(deployment: &Deployment, entry: usize, key: &str) -> Option<(StatusCode, Value)> {
    let body = json!({"about": key});
    let answer = deployment.post(entry, "v1/services/desk/dispatch", key, &body).await.ok()?;
    Some((answer.status, answer.json()))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_in_an_outage_does_not_say_that_a_call_that_ran_has_not_run() {
    let mut deployment = Deployment::start("truth", &Shape::new()).await;
    for n in 0..KEYS {
        let (status, body) = dispatch(&deployment, n % 3, &format!("t{n}")).await.unwrap();
        assert_eq!(status, StatusCode::OK, "{body}");
    }
    deployment.platform_fault(&json!({"down": true})).await;
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
    let mut deployment = Deployment::start("absent", &Shape::new()).await;
    deployment.platform_fault(&json!({"down": true})).await;
    let mut absent = BTreeSet::new();
    for victim in 0..3 {
        deployment.entries[victim].kill().await;
        let others = [(victim + 1) % 3, (victim + 2) % 3];
        for n in 0..KEYS {
            let key = format!("k{victim}-{n}");
            eventually("the call is answered", BOUND, || async {
                let answer = deployment.chat(others[n % 2], &key, &key, false).await.ok()?;
                (answer.status == StatusCode::OK).then_some(())
            })
            .await;
        }
        deployment.entries[victim].restart();
        eventually("the entry serves again", BOUND, || async {
            deployment.revision(victim).await.map(|_| ())
        })
        .await;
        deployment.platform_fault(&json!({"down": false})).await;
        absent.extend(watch_for_absence(&deployment, victim).await);
        deployment.platform_fault(&json!({"down": true})).await;
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
            let Ok(answer) = deployment.get(n % 3, &path).await else { continue };
            if answer.status == StatusCode::NOT_FOUND {
                absent.insert(format!("k{round}-{n} through entry {}: {}", n % 3, answer.body));
            }
        }
    }
    absent
}
