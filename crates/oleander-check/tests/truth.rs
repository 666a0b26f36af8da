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
    for n in 0..KEYS {
        let key = format!("k{n}");
        let answer = deployment.chat(n % 3, &key, &key, false).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.body);
    }
    deployment.entries[0].kill().await;
    deployment.platform_fault(&json!({"down": false})).await;
    let start = Instant::now();
    let mut absent = BTreeSet::new();
    while start.elapsed() < WATCHED {
        for n in 0..KEYS {
            let path = format!("v1/results/k{n}");
            let Ok(answer) = deployment.get(1 + n % 2, &path).await else { continue };
            if answer.status == StatusCode::NOT_FOUND {
                absent.insert(format!("k{n}: {}", answer.body));
            }
        }
    }
    assert!(absent.is_empty(), "{absent:#?}");
}
