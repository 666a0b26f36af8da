//! What must always hold for online calls, over real processes and faults.

#![allow(clippy::unwrap_used)]

use std::{collections::HashSet, time::Duration};

use futures_util::future::join_all;
use http::{Method, StatusCode};
use oleander_check::{Deployment, DeploymentOptions, Response, eventually};
use serde_json::{Value, json};

const BOUND: Duration = Duration::from_secs(30);

/// Text of a complete response, plain or streamed.
fn whole(response: &Response) -> Option<String> {
    if response.status != StatusCode::OK {
        return None;
    }
    response.completion_text().or_else(|| response.streamed_text())
}

/// Sends a chat until it is answered whole, through one entry after another.
async fn chat_until_whole(deployment: &Deployment, first: usize, key: &str) -> String {
    let entries = deployment.entries.len();
    let mut entry = first;
    eventually("the call is answered whole", BOUND, || {
        entry = (entry + 1) % entries;
        let stream = entry.is_multiple_of(2);
        async move {
            let response = deployment.chat(entry, key, &format!("prompt of {key}"), stream).await;
            response.ok().as_ref().and_then(whole)
        }
    })
    .await
}

/// The result of a call as every live entry reads it.
async fn read_everywhere(deployment: &Deployment, key: &str, entries: &[usize]) -> HashSet<String> {
    let mut texts = HashSet::new();
    for &entry in entries {
        let text = eventually("the result is readable", BOUND, || async move {
            let response = deployment.get(entry, &format!("v1/results/{key}")).await.ok()?;
            whole(&response)
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
async fn resends_through_all_entries_at_once_give_one_result() {
    let deployment = Deployment::start("resends", &DeploymentOptions::new()).await;
    for round in 0..10 {
        let key = format!("r{round}");
        let calls = (0..6).map(|n| deployment.chat(n % 3, &key, "same prompt", n % 2 == 0));
        let responses = join_all(calls).await;
        let texts: HashSet<String> =
            responses.iter().map(|response| whole(response.as_ref().unwrap()).unwrap()).collect();
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
    assert_eq!(runs.len(), 10, "each call ran once");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_id_for_two_bodies_is_a_conflict() {
    let deployment = Deployment::start("conflict", &DeploymentOptions::new()).await;
    assert!(whole(&deployment.chat(0, "k", "one", false).await.unwrap()).is_some());
    let response = deployment.chat(1, "k", "two", false).await.unwrap();
    assert_eq!(response.status, StatusCode::CONFLICT);
    assert_eq!(response.ran().as_deref(), Some("no"));
}

#[tokio::test(flavor = "multi_thread")]
async fn results_survive_the_replacement_of_every_entry() {
    let mut deployment = Deployment::start("replace", &DeploymentOptions::new()).await;
    let mut texts = Vec::new();
    for n in 0..9 {
        texts.push(chat_until_whole(&deployment, n % 3, &format!("k{n}")).await);
    }
    for entry in 0..3 {
        deployment.entries[entry].kill().await;
        deployment.entries[entry].restart();
        let others: Vec<usize> = (0..3).collect();
        for (n, text) in texts.iter().enumerate() {
            let read = read_everywhere(&deployment, &format!("k{n}"), &others).await;
            assert_eq!(read, HashSet::from([text.clone()]));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_end_once_while_entries_are_killed() {
    let mut deployment = Deployment::start("kill", &DeploymentOptions::new()).await;
    for round in 0..3 {
        let keys: Vec<String> = (0..8).map(|n| format!("k{round}-{n}")).collect();
        let texts = {
            let victim = &mut deployment.entries[round];
            victim.kill().await;
            victim.restart();
            let calls = keys.iter().enumerate();
            join_all(calls.map(|(n, key)| chat_until_whole(&deployment, n, key))).await
        };
        for (key, text) in keys.iter().zip(texts) {
            let read = read_everywhere(&deployment, key, &[0, 1, 2]).await;
            assert_eq!(read, HashSet::from([text]));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unrepeatable_calls_run_at_most_once_over_kills_and_lost_answers() {
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
            let first = settled(&deployment, key, 1).await;
            let second = settled(&deployment, key, 2).await;
            assert_eq!(first, second, "{key}");
        }
    }
    for (id, runs) in deployment.service_runs().await {
        assert_eq!(runs, 1, "{id}");
    }
}

/// The final response of a dispatch that may have been sent before.
async fn settled(deployment: &Deployment, key: &str, entry: usize) -> (StatusCode, String) {
    eventually("the dispatch is at its end", BOUND, || async move {
        let response = dispatch(deployment, entry, key).await.ok()?;
        let ended = response.status == StatusCode::OK || response.code()? == "outcome_unknown";
        ended.then_some((response.status, response.body))
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_as_not_run_is_true_while_the_platform_is_down() {
    let deployment = Deployment::start("outage", &DeploymentOptions::new()).await;
    for n in 0..12 {
        // Each owner has read its log before the outage, so that it knows what never ran.
        chat_until_whole(&deployment, n, &format!("k{n}")).await;
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
        eventually("a resend runs", BOUND, || async {
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
async fn repeatable_calls_go_on_without_the_platform_and_are_flushed() {
    let mut deployment = Deployment::start("flush", &DeploymentOptions::new()).await;
    deployment.set_platform_faults(&json!({"down": true})).await;
    let mut texts = Vec::new();
    for n in 0..6 {
        texts.push(chat_until_whole(&deployment, n, &format!("k{n}")).await);
    }
    deployment.entries[1].kill().await;
    deployment.entries[1].restart();
    for (n, text) in texts.iter().enumerate() {
        let again = chat_until_whole(&deployment, n + 1, &format!("k{n}")).await;
        assert_eq!(again, *text, "the same result during the outage");
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
            texts.push((key, whole(&response).unwrap()));
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
            settled(&deployment, &format!("t{owner}-{n}"), owner).await;
        }
    }
    for (id, runs) in deployment.service_runs().await {
        assert_eq!(runs, 1, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_crossed_and_silent_streams_are_resumed_or_refused() {
    let deployment = Deployment::start("streams", &DeploymentOptions::new()).await;
    let expected = whole(&deployment.chat(0, "plain", "the prompt", false).await.unwrap()).unwrap();
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
        let victim = &deployment.entries[0];
        let (responses, ()) = tokio::join!(join_all(started), async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            victim.signal("TERM").await;
        });
        responses
    };
    for response in calls {
        let response = response.unwrap();
        assert!(whole(&response).is_some(), "{}", response.body);
    }
    let addresses = eventually("the address is no longer handed out", BOUND, || async {
        let response = deployment.get(1, "v1/addresses").await.ok()?.json();
        let addresses = response["addresses"].as_array()?.clone();
        (addresses.len() == 2).then_some(addresses)
    })
    .await;
    assert!(!addresses.contains(&Value::from(deployment.entry_address(0))));
    assert!(deployment.entries[0].wait().await, "exit code 0");
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused_and_leaves_nothing() {
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

/// Longer than an owner of a shard waits for the platform before it goes on without.
const SLOW_ANSWER_MS: u64 = 400;

#[tokio::test(flavor = "multi_thread")]
async fn a_read_waits_for_a_slow_platform_before_it_says_that_nothing_is_there() {
    let deployment = Deployment::start("slow-read", &DeploymentOptions::new()).await;
    deployment.set_platform_faults(&json!({"delay_ms": SLOW_ANSWER_MS})).await;
    for entry in 0..3 {
        for key in 0..4 {
            let path = format!("v1/results/none-{entry}-{key}");
            let response = deployment.get(entry, &path).await.unwrap();
            assert_eq!(response.status, StatusCode::NOT_FOUND, "{path}: {}", response.body);
        }
    }
}
