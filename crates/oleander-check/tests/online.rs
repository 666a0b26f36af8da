//! System tests of online calls under injected faults.

#![allow(clippy::unwrap_used)]

use std::{collections::HashSet, time::Duration};

use futures_util::future::join_all;
use http::{Method, StatusCode};
use oleander_check::{Deployment, DeploymentOptions, Response, eventually};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(30);

/// Generated text of a complete response, streamed or not.
fn complete_text(response: &Response) -> Option<String> {
    if response.status != StatusCode::OK {
        return None;
    }
    response.completion_text().or_else(|| response.streamed_text())
}

/// Sends a chat completion to one entry after another until the response is complete; returns its
/// text.
async fn chat_until_complete(deployment: &Deployment, first: usize, key: &str) -> String {
    let entries = deployment.entries.len();
    let mut entry = first;
    eventually("the call completes", TIMEOUT, || {
        entry = (entry + 1) % entries;
        let stream = entry.is_multiple_of(2);
        async move {
            let response = deployment.chat(entry, key, &format!("prompt of {key}"), stream).await;
            response.ok().as_ref().and_then(complete_text)
        }
    })
    .await
}

/// Texts of a call's result as read from each of `entries`.
async fn read_everywhere(deployment: &Deployment, key: &str, entries: &[usize]) -> HashSet<String> {
    let mut texts = HashSet::new();
    for &entry in entries {
        let text = eventually("the result is readable", TIMEOUT, || async move {
            let response = deployment.get(entry, &format!("v1/results/{key}")).await.ok()?;
            complete_text(&response)
        })
        .await;
        texts.insert(text);
    }
    texts
}

async fn dispatch(deployment: &Deployment, entry: usize, key: &str) -> Result<Response, String> {
    let body = json!({"truck": key});
    deployment.post(entry, "v1/services/desk/dispatch", key, &body).await
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_resends_through_all_entries_return_one_result() {
    let deployment = Deployment::start("resends", &DeploymentOptions::new()).await;
    for round in 0..10 {
        let key = format!("r{round}");
        let calls = (0..6).map(|n| deployment.chat(n % 3, &key, "same prompt", n % 2 == 0));
        let responses = join_all(calls).await;
        let texts: HashSet<String> = responses
            .iter()
            .map(|response| complete_text(response.as_ref().unwrap()).unwrap())
            .collect();
        assert_eq!(texts.len(), 1);
    }
    let mut runs = HashSet::new();
    for engine in 0..3 {
        for record in deployment.engine_records(engine).await {
            if record["event"] == "started" {
                let id = record["request_id"].as_str().unwrap().to_owned();
                assert!(runs.insert(id));
            }
        }
    }
    assert_eq!(runs.len(), 10, "number of runs");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_with_another_body_is_a_conflict() {
    let deployment = Deployment::start("conflict", &DeploymentOptions::new()).await;
    assert!(complete_text(&deployment.chat(0, "k", "one", false).await.unwrap()).is_some());
    let response = deployment.chat(1, "k", "two", false).await.unwrap();
    assert_eq!(response.status, StatusCode::CONFLICT);
    assert_eq!(response.ran().as_deref(), Some("no"));
}

#[tokio::test(flavor = "multi_thread")]
async fn results_survive_the_replacement_of_every_entry() {
    let mut deployment = Deployment::start("replace", &DeploymentOptions::new()).await;
    let mut texts = Vec::new();
    for n in 0..9 {
        texts.push(chat_until_complete(&deployment, n % 3, &format!("k{n}")).await);
    }
    for entry in 0..3 {
        deployment.entries[entry].kill().await;
        deployment.entries[entry].restart();
        let entries: Vec<usize> = (0..3).collect();
        for (n, text) in texts.iter().enumerate() {
            let read = read_everywhere(&deployment, &format!("k{n}"), &entries).await;
            assert_eq!(read, HashSet::from([text.clone()]));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_complete_once_while_entries_are_killed() {
    let mut deployment = Deployment::start("kill", &DeploymentOptions::new()).await;
    for round in 0..3 {
        let keys: Vec<String> = (0..8).map(|n| format!("k{round}-{n}")).collect();
        let texts = {
            let entry = &mut deployment.entries[round];
            entry.kill().await;
            entry.restart();
            let calls = keys.iter().enumerate();
            join_all(calls.map(|(n, key)| chat_until_complete(&deployment, n, key))).await
        };
        for (key, text) in keys.iter().zip(texts) {
            let read = read_everywhere(&deployment, key, &[0, 1, 2]).await;
            assert_eq!(read, HashSet::from([text]));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unrepeatable_calls_run_at_most_once_over_kills_and_lost_responses() {
    let mut deployment = Deployment::start("once", &DeploymentOptions::new()).await;
    deployment.set_service_faults(&json!({"drop_answer": 3})).await;
    deployment.set_platform_faults(&json!({"lose_answers": 4})).await;
    for round in 0..3 {
        let keys: Vec<String> = (0..6).map(|n| format!("t{round}-{n}")).collect();
        let calls = keys.iter().flat_map(|key| {
            [dispatch(&deployment, round, key), dispatch(&deployment, (round + 1) % 3, key)]
        });
        join_all(calls).await;
        deployment.entries[round].kill().await;
        deployment.entries[round].restart();
        for key in &keys {
            let first = final_response(&deployment, key, 1).await;
            let second = final_response(&deployment, key, 2).await;
            assert_eq!(first, second, "{key}");
        }
    }
    for (id, runs) in deployment.service_runs().await {
        assert_eq!(runs, 1, "{id}");
    }
}

/// Final status and body of a dispatch, which may have been sent before.
async fn final_response(deployment: &Deployment, key: &str, entry: usize) -> (StatusCode, String) {
    eventually("the dispatch has a final response", TIMEOUT, || async move {
        let response = dispatch(deployment, entry, key).await.ok()?;
        let ended = response.status == StatusCode::OK || response.code()? == "outcome_unknown";
        ended.then_some((response.status, response.body))
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_refused_as_not_run_during_an_outage_have_not_run() {
    let deployment = Deployment::start("outage", &DeploymentOptions::new()).await;
    for n in 0..12 {
        // Makes each shard owner read its log before the outage, so that it knows which calls have
        // not run.
        chat_until_complete(&deployment, n, &format!("k{n}")).await;
    }
    deployment.set_platform_faults(&json!({"down": true})).await;
    for n in 0..4 {
        let response = dispatch(&deployment, n % 3, &format!("t{n}")).await.unwrap();
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "{}", response.body);
        assert_eq!(response.ran().as_deref(), Some("no"));
        assert!(response.headers.contains_key("retry-after"));
    }
    assert!(deployment.service_runs().await.is_empty());
    deployment.set_platform_faults(&json!({"down": false})).await;
    for n in 0..4 {
        let key = format!("t{n}");
        eventually("a resend completes", TIMEOUT, || async {
            let response = dispatch(&deployment, 0, &key).await.ok()?;
            (response.status == StatusCode::OK).then_some(())
        })
        .await;
    }
    for (id, runs) in deployment.service_runs().await {
        assert_eq!(runs, 1, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn repeatable_calls_complete_during_an_outage_and_are_committed_after_it() {
    let mut deployment = Deployment::start("flush", &DeploymentOptions::new()).await;
    deployment.set_platform_faults(&json!({"down": true})).await;
    let mut texts = Vec::new();
    for n in 0..6 {
        texts.push(chat_until_complete(&deployment, n, &format!("k{n}")).await);
    }
    deployment.entries[1].kill().await;
    deployment.entries[1].restart();
    for (n, text) in texts.iter().enumerate() {
        let again = chat_until_complete(&deployment, n + 1, &format!("k{n}")).await;
        assert_eq!(again, *text, "a resend during the outage returns the same result");
    }
    deployment.set_platform_faults(&json!({"down": false})).await;
    for (n, text) in texts.iter().enumerate() {
        let read = read_everywhere(&deployment, &format!("k{n}"), &[0, 1, 2]).await;
        assert_eq!(read, HashSet::from([text.clone()]));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_owner_does_not_undo_what_others_did() {
    let deployment = Deployment::start("pause", &DeploymentOptions::new()).await;
    for owner in 0..3 {
        deployment.entries[owner].signal("STOP").await;
        let others: Vec<usize> = (0..3).filter(|&entry| entry != owner).collect();
        let mut texts = Vec::new();
        for n in 0..4 {
            let key = format!("k{owner}-{n}");
            let response = deployment.chat(others[n % 2], &key, "prompt", false).await.unwrap();
            texts.push((key, complete_text(&response).unwrap()));
            let key = format!("t{owner}-{n}");
            let response = dispatch(&deployment, others[n % 2], &key).await.unwrap();
            assert_eq!(response.status, StatusCode::OK, "{}", response.body);
        }
        deployment.entries[owner].signal("CONT").await;
        for (key, text) in texts {
            let read = read_everywhere(&deployment, &key, &[0, 1, 2]).await;
            assert_eq!(read, HashSet::from([text]));
        }
        for n in 0..4 {
            final_response(&deployment, &format!("t{owner}-{n}"), owner).await;
        }
    }
    for (id, runs) in deployment.service_runs().await {
        assert_eq!(runs, 1, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_are_complete_despite_cut_mixed_up_and_frozen_responses() {
    let deployment = Deployment::start("streams", &DeploymentOptions::new()).await;
    let expected =
        complete_text(&deployment.chat(0, "plain", "the prompt", false).await.unwrap()).unwrap();
    let faults = [
        json!({"break_after_tokens": 5}),
        json!({"cross_ids": true}),
        json!({"freeze": true}),
        json!({"fail_status": 500}),
    ];
    for (n, fault) in faults.iter().enumerate() {
        deployment.set_engine_faults(0, fault).await;
        for call in 0..6 {
            let key = format!("k{n}-{call}");
            let response = deployment.chat(call % 3, &key, "the prompt", true).await.unwrap();
            let text = response.streamed_text();
            assert_eq!(text.as_deref(), Some(expected.as_str()), "{fault}: {}", response.body);
        }
        deployment.set_engine_faults(0, &json!({})).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_cuts_no_request() {
    let mut deployment = Deployment::start("drain", &DeploymentOptions::new()).await;
    let calls: Vec<_> = {
        let started = (0..24).map(|n| {
            let key = format!("k{n}");
            let deployment = &deployment;
            async move { deployment.chat(0, &key, &key, n % 2 == 0).await }
        });
        let leaving = &deployment.entries[0];
        let (responses, ()) = tokio::join!(join_all(started), async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            leaving.signal("TERM").await;
        });
        responses
    };
    for response in calls {
        let response = response.unwrap();
        assert!(complete_text(&response).is_some(), "{}", response.body);
    }
    let addresses = eventually("the address is no longer listed", TIMEOUT, || async {
        let response = deployment.get(1, "v1/addresses").await.ok()?.json();
        let addresses = response["addresses"].as_array()?.clone();
        (addresses.len() == 2).then_some(addresses)
    })
    .await;
    assert!(!addresses.contains(&Value::from(deployment.entry_address(0))));
    assert!(deployment.entries[0].wait().await, "entry exited with an error");
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_and_leave_no_record() {
    let deployment = Deployment::start("input", &DeploymentOptions::new()).await;
    let chat = "v1/chat/completions";
    let cases = [
        (chat, "k1", json!({"model": "llm"}), StatusCode::BAD_REQUEST),
        (chat, "k2", json!({"model": "llm", "messages": [], "x": 1}), StatusCode::BAD_REQUEST),
        (chat, "a b", json!({"model": "llm", "messages": []}), StatusCode::BAD_REQUEST),
        (chat, "k3", json!([1]), StatusCode::BAD_REQUEST),
        (
            chat,
            "k4",
            json!({"model": "other", "messages": [{"role": "user", "content": "x"}]}),
            StatusCode::NOT_FOUND,
        ),
        ("v1/services/desk/other", "k5", json!({}), StatusCode::NOT_FOUND),
        (chat, "k6", json!({"model": "x".repeat(2 << 20)}), StatusCode::PAYLOAD_TOO_LARGE),
    ];
    for (path, key, body, status) in cases {
        let response = deployment.post(0, path, key, &body).await.unwrap();
        assert_eq!(response.status, status, "{}", response.body);
        assert_eq!(response.ran().as_deref(), Some("no"));
    }
    let response =
        deployment.call_admin(0, Method::GET, "admin/status", &Value::Null).await.unwrap();
    assert_eq!(response.json()["in_flight"], 0);
    assert_eq!(deployment.get(0, "v1/results/k1").await.unwrap().status, StatusCode::NOT_FOUND);
}

/// Longer than a shard owner waits for the platform before it continues without it.
const SLOW_RESPONSE_MS: u64 = 400;

#[tokio::test(flavor = "multi_thread")]
async fn a_read_of_an_absent_result_waits_for_a_slow_platform() {
    let deployment = Deployment::start("slow-read", &DeploymentOptions::new()).await;
    deployment.set_platform_faults(&json!({"delay_ms": SLOW_RESPONSE_MS})).await;
    for entry in 0..3 {
        for key in 0..4 {
            let path = format!("v1/results/none-{entry}-{key}");
            let response = deployment.get(entry, &path).await.unwrap();
            assert_eq!(response.status, StatusCode::NOT_FOUND, "{path}: {}", response.body);
        }
    }
}
