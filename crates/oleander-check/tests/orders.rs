//! What must always hold for orders to engines, over real processes and faults.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use http::{Method, StatusCode};
use oleander_check::{Client, Deployment, DeploymentOptions, eventually};
use serde_json::{Value, json};

/// Bound on a look at the state, the wait for a former orderer and a few retries.
const BOUND: Duration = Duration::from_secs(60);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a resumed host gets to do harm.
const RESUMED: Duration = Duration::from_secs(5);
/// Engine that takes orders with any fencing number.
const UNFENCED: usize = 1;

fn client() -> Client {
    Client::new(CALL_TIMEOUT)
}

fn engine_address(deployment: &Deployment, engine: usize) -> String {
    let document = deployment.document();
    let address = document["services"][0]["targets"][engine]["address"].as_str();
    address.unwrap().to_owned()
}

async fn models(deployment: &Deployment, engine: usize) -> Option<Value> {
    let url = format!("{}/v1/state", engine_address(deployment, engine));
    let response = client().get(&url, &[]).await.ok()?;
    Some(response.json()["models"].clone())
}

/// Gives an engine an order as if from elsewhere.
async fn order(deployment: &Deployment, engine: usize, body: &Value) -> StatusCode {
    let url = format!("{}/v1/orders", engine_address(deployment, engine));
    let response = client().send(Method::POST, &url, &[], body.to_string()).await;
    response.unwrap().status
}

/// Waits until all engines hold just `model`.
async fn all_hold(deployment: &Deployment, model: &str) {
    for engine in 0..deployment.engines.len() {
        eventually(&format!("engine {engine} holds just {model}"), BOUND, || async {
            let models = models(deployment, engine).await?;
            (models == json!([model])).then_some(())
        })
        .await;
    }
}

/// Applies a document with another model and returns its revision.
async fn apply_model(deployment: &Deployment, entry: usize, base: u64, model: &str) -> u64 {
    let mut document = deployment.document();
    document["services"][0]["model"] = json!(model);
    let body = json!({"base": base, "document": document});
    let response = deployment.call_admin(entry, Method::POST, "admin/apply", &body).await.unwrap();
    assert_eq!(response.status, StatusCode::OK, "{}", response.body);
    response.json()["revision"].as_u64().unwrap()
}

async fn record(deployment: &Deployment, engine: usize) -> Value {
    let path = format!("v1/objects/order/engine-{engine}");
    let response = deployment.call_platform(Method::GET, &path, &Value::Null).await;
    response.unwrap().json()
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_hold_the_models_of_the_document() {
    let mut deployment = Deployment::start("orders", &DeploymentOptions::new()).await;
    let seeded = json!({"fence": 0, "order": {"load": "left-over"}});
    deployment.set_engine_faults(0, &json!({"ignore_fence": true})).await;
    assert_eq!(order(&deployment, 0, &seeded).await, StatusCode::OK);
    assert!(models(&deployment, 0).await.unwrap().to_string().contains("left-over"));
    all_hold(&deployment, "llm-7b").await;
    let before = record(&deployment, 2).await;
    deployment.engines[2].kill().await;
    deployment.engines[2].restart();
    all_hold(&deployment, "llm-7b").await;
    assert_eq!(record(&deployment, 2).await, before, "a restart of an engine costs no write");
    let old = json!({"fence": 1, "order": {"load": "old"}});
    assert_eq!(order(&deployment, 2, &old).await, StatusCode::CONFLICT);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_orderer_does_not_bring_an_older_model_back() {
    let deployment = Deployment::start("orders-paused", &DeploymentOptions::new()).await;
    deployment.set_engine_faults(UNFENCED, &json!({"ignore_fence": true})).await;
    all_hold(&deployment, "llm-7b").await;
    let mut base = deployment.revision(0).await.unwrap();
    for round in 0..deployment.entries.len() {
        let (older, newer) = (format!("older-{round}"), format!("newer-{round}"));
        let other = (round + 1) % deployment.entries.len();
        base = apply_model(&deployment, round, base, &older).await;
        tokio::time::sleep(Duration::from_secs(2 * round as u64)).await;
        deployment.entries[round].signal("STOP").await;
        base = apply_model(&deployment, other, base, &newer).await;
        all_hold(&deployment, &newer).await;
        deployment.entries[round].signal("CONT").await;
        tokio::time::sleep(RESUMED).await;
        all_hold(&deployment, &newer).await;
        for engine in 0..deployment.engines.len() {
            assert_eq!(record(&deployment, engine).await["document"], json!(base));
        }
    }
    let late = json!({"fence": 1, "order": {"load": "older-0"}});
    assert_eq!(order(&deployment, UNFENCED, &late).await, StatusCode::OK);
    assert!(models(&deployment, UNFENCED).await.unwrap().to_string().contains("older-0"));
    all_hold(&deployment, "newer-2").await;
}
