//! What must always hold for the configuration, over real processes and faults.

#![allow(clippy::unwrap_used)]

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use futures_util::future::join_all;
use http::{Method, StatusCode};
use oleander_check::{Client, Deployment, DeploymentOptions, OPERATOR_KEY, eventually};
use serde_json::{Value, json};

/// An accepted document must be in force everywhere within this time.
const IN_FORCE: Duration = Duration::from_secs(8);
const WATCH_INTERVAL: Duration = Duration::from_millis(10);
/// Shorter than a host stays paused.
const WATCH_TIMEOUT: Duration = Duration::from_millis(200);
const BOUND: Duration = Duration::from_secs(30);

fn changed(deployment: &Deployment, queue: u32) -> Value {
    let mut document = deployment.document();
    document["services"][0]["online"]["queue_limit"] = json!(queue);
    document
}

async fn in_force(deployment: &Deployment, revision: u64) {
    for host in 0..deployment.entries.len() {
        eventually("the revision is in force", IN_FORCE, || async {
            (deployment.revision(host).await >= Some(revision)).then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_loser_of_a_race_is_told_and_the_winner_is_in_force() {
    let deployment = Deployment::start("race", &DeploymentOptions::new()).await;
    let mut base = deployment.revision(0).await.unwrap();
    for round in 0..5 {
        let bodies: Vec<Value> = (0..3)
            .map(|n| json!({"base": base, "document": changed(&deployment, 10 + 3 * round + n)}))
            .collect();
        let calls = bodies.iter().enumerate();
        let calls = calls
            .map(|(host, body)| deployment.call_admin(host, Method::POST, "admin/apply", body));
        let responses = join_all(calls).await;
        let mut winners = Vec::new();
        for response in responses {
            let response = response.unwrap();
            match response.status {
                StatusCode::OK => winners.push(response.json()["revision"].as_u64().unwrap()),
                StatusCode::CONFLICT => assert!(response.json()["revision"].is_u64()),
                status => panic!("{status}: {}", response.body),
            }
        }
        assert_eq!(winners.len(), 1);
        in_force(&deployment, winners[0]).await;
        base = winners[0];
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_settled_and_applying_again_succeeds() {
    let deployment = Deployment::start("lost", &DeploymentOptions::new()).await;
    let base = deployment.revision(0).await.unwrap();
    deployment.set_platform_faults(&json!({"lose_answers": 1})).await;
    let body = json!({"base": base, "document": changed(&deployment, 99)});
    let first = deployment.call_admin(0, Method::POST, "admin/apply", &body).await.unwrap();
    assert_eq!(first.status, StatusCode::OK, "{}", first.body);
    let again = deployment.call_admin(1, Method::POST, "admin/apply", &body).await.unwrap();
    assert_eq!(again.status, StatusCode::OK, "{}", again.body);
    assert_eq!(first.json()["revision"], again.json()["revision"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restart_in_an_outage_takes_the_document_from_a_peer() {
    let mut deployment = Deployment::start("restart", &DeploymentOptions::new()).await;
    let base = deployment.revision(0).await.unwrap();
    let body = json!({"base": base, "document": changed(&deployment, 77)});
    let response = deployment.call_admin(0, Method::POST, "admin/apply", &body).await.unwrap();
    let revision = response.json()["revision"].as_u64().unwrap();
    in_force(&deployment, revision).await;
    deployment.set_platform_faults(&json!({"down": true})).await;
    for entry in 0..3 {
        deployment.entries[entry].kill().await;
        deployment.entries[entry].restart();
        eventually("the document comes from a peer", BOUND, || async {
            (deployment.revision(entry).await == Some(revision)).then_some(())
        })
        .await;
    }
}

/// Reads the revision of each host until told to stop; returns the steps that went back.
async fn watch_revisions(admin: Client, addresses: Vec<String>, stop: &AtomicBool) -> Vec<String> {
    let mut highest = vec![0; addresses.len()];
    let mut lower = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        for (host, address) in addresses.iter().enumerate() {
            let key = format!("Bearer {OPERATOR_KEY}");
            let url = format!("{address}/admin/status");
            let Ok(response) = admin.get(&url, &[("authorization", &key)]).await else { continue };
            let Some(revision) = response.json()["revision"].as_u64() else { continue };
            if revision < highest[host] {
                lower.push(format!("host {host}: {revision} after {}", highest[host]));
            }
            highest[host] = revision.max(highest[host]);
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
    lower
}

#[tokio::test(flavor = "multi_thread")]
async fn no_host_steps_back_over_kills_pauses_and_outages() {
    let mut deployment = Deployment::start("monotone", &DeploymentOptions::new()).await;
    let stop = AtomicBool::new(false);
    let addresses = (0..3).map(|host| deployment.admin_address(host).to_owned()).collect();
    let watch = watch_revisions(Client::new(WATCH_TIMEOUT), addresses, &stop);
    let change = async {
        for round in 0..6 {
            let (applier, victim) = (round % 3, (round + 1) % 3);
            let base = deployment.revision(applier).await.unwrap();
            let body = json!({"base": base, "document": changed(&deployment, 50 + round as u32)});
            let paused = (round + 2) % 3;
            deployment.entries[paused].signal("STOP").await;
            let response = deployment.call_admin(applier, Method::POST, "admin/apply", &body).await;
            let response = response.unwrap();
            assert_eq!(response.status, StatusCode::OK, "{}", response.body);
            let revision = response.json()["revision"].as_u64().unwrap();
            deployment.set_platform_faults(&json!({"down": round % 2 == 0})).await;
            deployment.entries[victim].kill().await;
            deployment.entries[victim].restart();
            deployment.entries[paused].signal("CONT").await;
            in_force(&deployment, revision).await;
            deployment.set_platform_faults(&json!({"down": false, "watch_delay_ms": 500})).await;
        }
        stop.store(true, Ordering::Relaxed);
    };
    let (lower, ()) = tokio::join!(watch, change);
    assert!(lower.is_empty(), "{lower:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_faulty_document_is_refused_whole() {
    let deployment = Deployment::start("faulty", &DeploymentOptions::new()).await;
    let base = deployment.revision(0).await.unwrap();
    let mut document = deployment.document();
    document["services"][0]["kind"] = json!("other");
    document["workspaces"][0]["name"] = json!("a b");
    let body = json!({"base": base, "document": document});
    let response = deployment.call_admin(0, Method::POST, "admin/apply", &body).await.unwrap();
    assert_eq!(response.status, StatusCode::BAD_REQUEST);
    assert!(response.json()["faults"].as_array().unwrap().len() >= 2, "{}", response.body);
    assert_eq!(deployment.revision(0).await, Some(base));
}
