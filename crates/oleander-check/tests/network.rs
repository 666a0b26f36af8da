//! System tests of network faults: open connections are cut, reset, or go silent, while new ones
//! work.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use futures_util::future::join_all;
use http::{Method, StatusCode};
use oleander_check::{
    Client, Deployment, DeploymentOptions, Response, chat_body, eventually, free_address,
};
use serde_json::{Value, json};
use standin::{
    relay::{Action, Relay},
    response::expected_text,
};

/// Maximum time until an accepted document is in force on all hosts.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(8);
/// Leaves time for the silence timeouts of two targets in turn and for a resend.
const CALL_TIMEOUT: Duration = Duration::from_secs(25);
const TIMEOUT: Duration = Duration::from_secs(30);
/// Steps slow enough for streams to be in flight when a fault starts.
const SLOW_STEPS: [&str; 4] = ["--step-base-us", "25000", "--step-per-seq-us", "100"];

/// A deployment whose entries reach the targets through relays.
struct RelayedDeployment {
    deployment: Deployment,
    engines: Vec<Relay>,
    service: Relay,
}

impl RelayedDeployment {
    async fn start(name: &str) -> Self {
        let options =
            DeploymentOptions::new().engine_args(&SLOW_STEPS).service_args(&["--work-ms", "500"]);
        let deployment = Deployment::start(name, &options).await;
        let mut engines = Vec::new();
        for engine in 0..3 {
            engines.push(start_relay(deployment.engine_address(engine)).await);
        }
        let service = start_relay(deployment.service_address()).await;
        let mut document = deployment.document();
        for (n, relay) in engines.iter().enumerate() {
            document["services"][0]["targets"][n]["address"] = json!(relay.address().to_string());
        }
        document["services"][1]["targets"][0]["address"] = json!(service.address().to_string());
        deployment.apply(&document).await;
        Self { deployment, engines, service }
    }

    async fn apply_to_engines(&self, action: Action) {
        for relay in &self.engines {
            relay.apply(action).await;
        }
    }

    /// Starts calls, applies `fault` once all are at an engine, and checks that all complete.
    async fn assert_calls_complete(&self, prefix: &str, fault: impl Future<Output = ()>) {
        let keys: Vec<String> = (0..9).map(|n| format!("{prefix}-{n}")).collect();
        let calls = keys.iter().enumerate().map(|(n, key)| self.chat_until_complete(n, key));
        let (texts, ()) = tokio::join!(join_all(calls), async {
            eventually("all calls have started", TIMEOUT, || async {
                let mut started = 0;
                for engine in 0..3 {
                    started += self.started_count(engine, prefix).await;
                }
                (started >= keys.len()).then_some(())
            })
            .await;
            fault.await;
        });
        for (key, text) in keys.iter().zip(texts) {
            assert_eq!(text, expected_text(&chat_body(key, false)), "{key}");
        }
    }

    /// Number of calls with this key prefix that an engine has started.
    async fn started_count(&self, engine: usize, prefix: &str) -> usize {
        let records = self.deployment.engine_records(engine).await;
        let matching = records.iter().filter(|record| {
            let id = record["request_id"].as_str().unwrap();
            record["event"] == "started" && id.starts_with(prefix)
        });
        matching.count()
    }

    /// Sends a chat completion, resending until the response is complete, and returns its text.
    async fn chat_until_complete(&self, n: usize, key: &str) -> String {
        let stream = n.is_multiple_of(2);
        eventually("the call completes", CALL_TIMEOUT, || async {
            let response = self.deployment.chat(n % 3, key, key, stream).await.ok()?;
            if response.status != StatusCode::OK {
                return None;
            }
            if stream { response.streamed_text() } else { response.completion_text() }
        })
        .await
    }

    /// Calls an operation of the plain service.
    async fn call_operation(&self, entry: usize, operation: &str, key: &str) -> Response {
        let path = format!("v1/services/desk/{operation}");
        self.deployment.post(entry, &path, key, &json!({"about": key})).await.unwrap()
    }
}

async fn start_relay(upstream: &str) -> Relay {
    Relay::start(upstream.parse().unwrap()).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_complete_when_open_connections_go_silent() {
    let relayed = RelayedDeployment::start("net-silent").await;
    relayed
        .assert_calls_complete("silent", relayed.apply_to_engines(Action::SilenceExisting))
        .await;
    relayed.assert_calls_complete("after", async {}).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_complete_when_connections_are_reset() {
    let relayed = RelayedDeployment::start("net-reset").await;
    relayed.assert_calls_complete("reset", relayed.apply_to_engines(Action::Reset)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_complete_when_two_engines_are_cut_off() {
    let relayed = RelayedDeployment::start("net-cut").await;
    let cut = async {
        relayed.engines[0].apply(Action::Cut).await;
        relayed.engines[1].apply(Action::Cut).await;
    };
    relayed.assert_calls_complete("cut", cut).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_complete_after_idle_connections_went_silent() {
    let relayed = RelayedDeployment::start("net-idle").await;
    relayed.assert_calls_complete("warm", async {}).await;
    relayed.apply_to_engines(Action::SilenceExisting).await;
    relayed.assert_calls_complete("next", async {}).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unrepeatable_calls_over_silent_connections_run_at_most_once() {
    let relayed = RelayedDeployment::start("net-once").await;
    let keys: Vec<String> = (0..6).map(|n| format!("t{n}")).collect();
    let calls =
        keys.iter().enumerate().map(|(n, key)| relayed.call_operation(n % 3, "dispatch", key));
    let (responses, ()) = tokio::join!(join_all(calls), async {
        eventually("all calls have started", TIMEOUT, || async {
            (relayed.deployment.service_runs().await.len() == keys.len()).then_some(())
        })
        .await;
        relayed.service.apply(Action::SilenceExisting).await;
    });
    for (n, (key, first)) in keys.iter().zip(responses).enumerate() {
        let outcome_unknown = first.code().as_deref() == Some("outcome_unknown");
        assert!(first.status == StatusCode::OK || outcome_unknown, "{key}: {}", first.body);
        let again = relayed.call_operation((n + 1) % 3, "dispatch", key).await;
        assert_eq!((again.status, again.body), (first.status, first.body), "{key}");
    }
    for (id, runs) in relayed.deployment.service_runs().await {
        assert_eq!(runs, 1, "{id}");
    }
    let next = relayed.call_operation(0, "dispatch", "next").await;
    assert_eq!(next.status, StatusCode::OK, "{}", next.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn repeatable_operations_complete_over_silent_connections() {
    let relayed = RelayedDeployment::start("net-notify").await;
    for entry in 0..3 {
        assert_eq!(relayed.call_operation(entry, "notify", "warm").await.status, StatusCode::OK);
    }
    relayed.service.apply(Action::SilenceExisting).await;
    for entry in 0..3 {
        let key = format!("n{entry}");
        eventually("the operation completes", CALL_TIMEOUT, || async {
            let response = relayed.call_operation(entry, "notify", &key).await;
            (response.status == StatusCode::OK).then_some(())
        })
        .await;
    }
}

/// A deployment whose hosts reach the platform through a relay.
async fn start_behind_relay(name: &str) -> (Deployment, Relay) {
    let listen = free_address();
    let relay = start_relay(&listen).await;
    let options =
        DeploymentOptions::new().platform_addresses(&listen, &relay.address().to_string());
    (Deployment::start(name, &options).await, relay)
}

/// Writes a changed document directly to the platform, as an entry does that dies right after, and
/// returns its revision.
async fn put_document(deployment: &Deployment) -> u64 {
    let base = deployment.revision(0).await.unwrap().to_string();
    let mut document = deployment.document();
    document["services"][0]["online"]["queue_limit"] = json!(77);
    let url = format!("{}/v1/objects/config/document", deployment.platform_address());
    let client = Client::new(TIMEOUT);
    let headers = [("if-match", base.as_str())];
    let response = client.send(Method::PUT, &url, &headers, document.to_string()).await.unwrap();
    assert_eq!(response.status, StatusCode::OK, "{}", response.body);
    response.headers["x-revision"].to_str().unwrap().parse().unwrap()
}

async fn wait_for_revision(deployment: &Deployment, revision: u64) {
    let all = async {
        for host in 0..3 {
            eventually("the revision is in force", TIMEOUT, || async {
                (deployment.revision(host).await >= Some(revision)).then_some(())
            })
            .await;
        }
    };
    assert!(
        tokio::time::timeout(IN_FORCE_TIMEOUT, all).await.is_ok(),
        "document not in force within {IN_FORCE_TIMEOUT:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_is_in_force_in_time_after_the_watches_went_silent() {
    let (deployment, relay) = start_behind_relay("net-watch").await;
    let body = json!({"about": 1});
    let calls =
        (0..30).map(|n| {
            let (deployment, body) = (&deployment, &body);
            async move {
                deployment.post(n % 3, "v1/services/desk/dispatch", &format!("t{n}"), body).await
            }
        });
    for response in join_all(calls).await {
        assert_eq!(response.unwrap().status, StatusCode::OK);
    }
    relay.apply(Action::SilenceExisting).await;
    let revision = put_document(&deployment).await;
    wait_for_revision(&deployment, revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_is_in_force_in_time_with_gaps_in_the_watches() {
    let (deployment, _relay) = start_behind_relay("net-gap").await;
    deployment.set_platform_faults(&json!({"watch_gap": 10})).await;
    let revision = put_document(&deployment).await;
    wait_for_revision(&deployment, revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_is_in_force_in_time_with_late_watches() {
    let (deployment, _relay) = start_behind_relay("net-late").await;
    deployment.set_platform_faults(&json!({"watch_delay_ms": 60_000})).await;
    let revision = put_document(&deployment).await;
    wait_for_revision(&deployment, revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unrepeatable_calls_complete_after_the_platform_connections_went_silent() {
    let (deployment, relay) = start_behind_relay("net-platform").await;
    let body = json!({"about": 1});
    for round in 0..3 {
        relay.apply(Action::SilenceExisting).await;
        for n in 0..6 {
            let key = format!("t{round}-{n}");
            eventually("the dispatch completes", TIMEOUT, || async {
                let path = "v1/services/desk/dispatch";
                let response = deployment.post(n % 3, path, &key, &body).await.ok()?;
                (response.status == StatusCode::OK).then_some(())
            })
            .await;
        }
    }
    for (id, runs) in deployment.service_runs().await {
        assert_eq!(runs, Value::from(1), "{id}");
    }
}
