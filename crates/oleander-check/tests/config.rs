//! System tests of the configuration document under injected faults.

#![allow(clippy::unwrap_used)]

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Duration,
};

use futures_util::future::join_all;
use http::{Method, StatusCode};
use oleander_check::{Client, Deployment, DeploymentOptions, OPERATOR_KEY, eventually};
use serde_json::{Value, json};

/// Maximum time until an accepted document is in force on all hosts.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(8);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Shorter than the pause of a host, so that a paused host does not hold up the polling.
const POLL_TIMEOUT: Duration = Duration::from_millis(200);
const TIMEOUT: Duration = Duration::from_secs(30);

/// Initial document with another queue limit, so that each revision has its own content.
fn new_document(deployment: &Deployment, queue_limit: u32) -> Value {
    let mut document = deployment.document();
    document["services"][0]["online"]["queue_limit"] = json!(queue_limit);
    document
}

async fn wait_for_revision(deployment: &Deployment, revision: u64) {
    for host in 0..deployment.entries.len() {
        eventually("the revision is in force", IN_FORCE_TIMEOUT, || async {
            (deployment.revision(host).await >= Some(revision)).then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_applies_have_one_winner_and_the_others_conflict() {
    let deployment = Deployment::start("race", &DeploymentOptions::new()).await;
    let mut base = deployment.revision(0).await.unwrap();
    for round in 0..5 {
        let bodies: Vec<Value> = (0..3)
            .map(|n| json!({"base": base, "document": new_document(&deployment, 10 + 3 * round + n)}))
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
        wait_for_revision(&deployment, winners[0]).await;
        base = winners[0];
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_apply_whose_response_is_lost_succeeds_and_can_be_repeated() {
    let deployment = Deployment::start("lost", &DeploymentOptions::new()).await;
    let base = deployment.revision(0).await.unwrap();
    deployment.set_platform_faults(&json!({"lose_answers": 1})).await;
    let body = json!({"base": base, "document": new_document(&deployment, 99)});
    let first = deployment.call_admin(0, Method::POST, "admin/apply", &body).await.unwrap();
    assert_eq!(first.status, StatusCode::OK, "{}", first.body);
    let again = deployment.call_admin(1, Method::POST, "admin/apply", &body).await.unwrap();
    assert_eq!(again.status, StatusCode::OK, "{}", again.body);
    assert_eq!(first.json()["revision"], again.json()["revision"]);
}

/// Applies another document and waits until it is in force on all hosts; returns its revision.
async fn apply_new_document(deployment: &Deployment) -> u64 {
    let base = deployment.revision(0).await.unwrap();
    let body = json!({"base": base, "document": new_document(deployment, 77)});
    let response = deployment.call_admin(0, Method::POST, "admin/apply", &body).await.unwrap();
    let revision = response.json()["revision"].as_u64().unwrap();
    wait_for_revision(deployment, revision).await;
    revision
}

/// Kills and restarts an entry, and waits until it has the document.
async fn restart_entry(deployment: &mut Deployment, entry: usize, revision: u64) {
    deployment.entries[entry].kill().await;
    deployment.entries[entry].restart();
    eventually("the document comes from a peer", TIMEOUT, || async {
        (deployment.revision(entry).await == Some(revision)).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restart_in_an_outage_takes_the_document_from_a_peer() {
    let mut deployment = Deployment::start("restart", &DeploymentOptions::new()).await;
    let revision = apply_new_document(&deployment).await;
    deployment.set_platform_faults(&json!({"down": true})).await;
    for entry in 0..3 {
        restart_entry(&mut deployment, entry, revision).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_was_silent_while_the_others_restarted_in_an_outage_is_not_forgotten() {
    let mut deployment = Deployment::start("silent", &DeploymentOptions::new()).await;
    let revision = apply_new_document(&deployment).await;
    deployment.set_platform_faults(&json!({"down": true})).await;
    deployment.entries[2].signal("STOP").await;
    for entry in 0..3 {
        restart_entry(&mut deployment, entry, revision).await;
    }
}

/// Polls the revision of each host until `stop` is set; returns each decrease that was seen.
async fn poll_revisions(admin: Client, addresses: Vec<String>, stop: &AtomicBool) -> Vec<String> {
    let mut highest = vec![0; addresses.len()];
    let mut decreases = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        for (host, address) in addresses.iter().enumerate() {
            let key = format!("Bearer {OPERATOR_KEY}");
            let url = format!("{address}/admin/status");
            let Ok(response) = admin.get(&url, &[("authorization", &key)]).await else { continue };
            let Some(revision) = response.json()["revision"].as_u64() else { continue };
            if revision < highest[host] {
                decreases.push(format!("host {host}: {revision} after {}", highest[host]));
            }
            highest[host] = revision.max(highest[host]);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    decreases
}

#[tokio::test(flavor = "multi_thread")]
async fn no_host_returns_to_an_older_revision_over_kills_pauses_and_outages() {
    let mut deployment = Deployment::start("monotone", &DeploymentOptions::new()).await;
    let stop = AtomicBool::new(false);
    let addresses = (0..3).map(|host| deployment.admin_address(host).to_owned()).collect();
    let poll = poll_revisions(Client::new(POLL_TIMEOUT), addresses, &stop);
    let change = async {
        for round in 0..6 {
            let (applier, killed) = (round % 3, (round + 1) % 3);
            let base = deployment.revision(applier).await.unwrap();
            let body =
                json!({"base": base, "document": new_document(&deployment, 50 + round as u32)});
            let paused = (round + 2) % 3;
            deployment.entries[paused].signal("STOP").await;
            let response = deployment.call_admin(applier, Method::POST, "admin/apply", &body).await;
            let response = response.unwrap();
            assert_eq!(response.status, StatusCode::OK, "{}", response.body);
            let revision = response.json()["revision"].as_u64().unwrap();
            deployment.set_platform_faults(&json!({"down": round % 2 == 0})).await;
            deployment.entries[killed].kill().await;
            deployment.entries[killed].restart();
            deployment.entries[paused].signal("CONT").await;
            wait_for_revision(&deployment, revision).await;
            deployment.set_platform_faults(&json!({"down": false, "watch_delay_ms": 500})).await;
        }
        stop.store(true, Ordering::Relaxed);
    };
    let (decreases, ()) = tokio::join!(poll, change);
    assert!(decreases.is_empty(), "{decreases:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_with_faults_is_refused_as_a_whole() {
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
