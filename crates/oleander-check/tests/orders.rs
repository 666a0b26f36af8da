//! System tests of the orders that load models on engines, under injected faults.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use http::{Method, StatusCode};
use oleander_check::{Client, Deployment, DeploymentOptions, eventually};
use serde_json::{Value, json};

/// Leaves time for a recheck of the engines, the order delay after a former owner, and retries.
const TIMEOUT: Duration = Duration::from_secs(60);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which a resumed host may send orders of an older document.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);
/// Index of the engine that accepts orders regardless of their fencing token.
const UNFENCED_ENGINE: usize = 1;

fn client() -> Client {
    Client::new(CALL_TIMEOUT)
}

fn engine_address(deployment: &Deployment, engine: usize) -> String {
    let document = deployment.document();
    let address = document["services"][0]["targets"][engine]["address"].as_str();
    address.unwrap().to_owned()
}

async fn loaded_models(deployment: &Deployment, engine: usize) -> Option<Value> {
    let url = format!("{}/v1/state", engine_address(deployment, engine));
    let response = client().get(&url, &[]).await.ok()?;
    Some(response.json()["models"].clone())
}

/// Sends an order to an engine, bypassing the entries.
async fn send_order(deployment: &Deployment, engine: usize, body: &Value) -> StatusCode {
    let url = format!("{}/v1/orders", engine_address(deployment, engine));
    let response = client().send(Method::POST, &url, &[], body.to_string()).await;
    response.unwrap().status
}

/// Waits until `model` is the only model loaded on each engine.
async fn wait_for_model(deployment: &Deployment, model: &str) {
    for engine in 0..deployment.engines.len() {
        eventually(&format!("engine {engine} has only {model} loaded"), TIMEOUT, || async {
            let models = loaded_models(deployment, engine).await?;
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

/// Order record of an engine, as stored by the platform.
async fn order_record(deployment: &Deployment, engine: usize) -> Value {
    let path = format!("v1/objects/order/engine-{engine}");
    let response = deployment.call_platform(Method::GET, &path, &Value::Null).await;
    response.unwrap().json()
}

#[tokio::test(flavor = "multi_thread")]
async fn engines_load_only_the_models_of_the_document() {
    let mut deployment = Deployment::start("orders", &DeploymentOptions::new()).await;
    let left_over = json!({"fence": 0, "order": {"load": "left-over"}});
    deployment.set_engine_faults(0, &json!({"ignore_fence": true})).await;
    assert_eq!(send_order(&deployment, 0, &left_over).await, StatusCode::OK);
    assert!(loaded_models(&deployment, 0).await.unwrap().to_string().contains("left-over"));
    wait_for_model(&deployment, "llm-7b").await;
    let before = order_record(&deployment, 2).await;
    deployment.engines[2].kill().await;
    deployment.engines[2].restart();
    wait_for_model(&deployment, "llm-7b").await;
    assert_eq!(
        order_record(&deployment, 2).await,
        before,
        "an engine restart changed the order record"
    );
    let old = json!({"fence": 1, "order": {"load": "old"}});
    assert_eq!(send_order(&deployment, 2, &old).await, StatusCode::CONFLICT);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_host_does_not_restore_an_older_model() {
    let deployment = Deployment::start("orders-paused", &DeploymentOptions::new()).await;
    deployment.set_engine_faults(UNFENCED_ENGINE, &json!({"ignore_fence": true})).await;
    wait_for_model(&deployment, "llm-7b").await;
    let mut base = deployment.revision(0).await.unwrap();
    for round in 0..deployment.entries.len() {
        let (older, newer) = (format!("older-{round}"), format!("newer-{round}"));
        let other = (round + 1) % deployment.entries.len();
        base = apply_model(&deployment, round, base, &older).await;
        tokio::time::sleep(Duration::from_secs(2 * round as u64)).await;
        deployment.entries[round].signal("STOP").await;
        base = apply_model(&deployment, other, base, &newer).await;
        wait_for_model(&deployment, &newer).await;
        deployment.entries[round].signal("CONT").await;
        tokio::time::sleep(OBSERVATION_TIME).await;
        wait_for_model(&deployment, &newer).await;
        for engine in 0..deployment.engines.len() {
            assert_eq!(order_record(&deployment, engine).await["document"], json!(base));
        }
    }
    let late = json!({"fence": 1, "order": {"load": "older-0"}});
    assert_eq!(send_order(&deployment, UNFENCED_ENGINE, &late).await, StatusCode::OK);
    assert!(
        loaded_models(&deployment, UNFENCED_ENGINE).await.unwrap().to_string().contains("older-0")
    );
    wait_for_model(&deployment, "newer-2").await;
}
