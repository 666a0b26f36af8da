//! Engine stand-in: responses, batching, cancellation and faults.

#![allow(clippy::unwrap_used)]

mod common;

use common::{chat, chat_request, chunks, events, is_incomplete, set_faults, text, wait_until};
use http::{Method, StatusCode};
use oleander_check::properties;
use serde_json::{Value, json};
use standin::{
    client::HttpClient,
    engine::{self, Options},
    response::{expected_text, expected_tokens, response_length, value_digest},
    server::Server,
};

const SLOW: Options = Options {
    slots: 1,
    prefill_us_per_token: 0,
    step_base_us: 3_600_000_000,
    step_per_seq_us: 0,
    kv_tokens: 65_536,
    load_lag_ms: 0,
    die_on: String::new(),
    cache_lag_ms: 0,
    cache_gap: 0,
    models: Vec::new(),
    role: String::new(),
};

struct Fixture {
    base: String,
    server: Server,
    client: HttpClient,
}

async fn start(options: Options) -> Fixture {
    let server = Server::start(|listener| engine::serve(listener, options)).await.unwrap();
    let base = format!("http://{}", server.address());
    Fixture { base, server, client: HttpClient::default() }
}

fn fast() -> Options {
    Options { step_base_us: 500, step_per_seq_us: 0, cache_lag_ms: 0, ..Options::default() }
}

#[tokio::test]
async fn complete_and_streamed_responses_have_the_expected_text() {
    let Fixture { base, client, .. } = &start(fast()).await;
    for prompt in ["fan 3 stopped", "mark 17", ""] {
        let complete = client.call(chat_request(base, "p", &chat(prompt, false))).await.unwrap();
        let complete: Value = complete.json().unwrap();
        let streamed = client.call(chat_request(base, "s", &chat(prompt, true))).await.unwrap();
        let (chunks, done) = chunks(&streamed);
        let expected = expected_text(&chat(prompt, false));
        assert_eq!(complete["choices"][0]["message"]["content"], expected);
        assert_eq!(text(&chunks), expected);
        assert!(done && chunks.iter().all(|chunk| chunk["id"] == "s"));
        assert_eq!(complete["id"], "p");
    }
}

#[tokio::test]
async fn a_resumed_stream_repeats_and_misses_no_token() {
    let Fixture { base, client, .. } = &start(fast()).await;
    let mut body = chat("resume me", true);
    let digest = value_digest(&body["messages"]);
    let length = response_length(&digest, None);
    for from in [0, 1, 7, length - 1, length, length + 9] {
        body["resume_from"] = json!(from);
        let response = client.call(chat_request(base, "r", &body)).await.unwrap();
        let (chunks, done) = chunks(&response);
        let rest: String =
            expected_tokens(&digest, None).split_off(from.min(length) as usize).concat();
        assert!(done);
        assert_eq!(text(&chunks), rest);
        assert!(from >= length || chunks[0]["index_token"] == from);
    }
}

#[tokio::test]
async fn sequences_beyond_the_slots_wait_until_cancelled_or_dropped() {
    let Fixture { base, client, .. } = &start(SLOW).await;
    let call = |id: &'static str| {
        let (client, request) = (client.clone(), chat_request(base, id, &chat(id, false)));
        tokio::spawn(async move { client.call(request).await })
    };
    let running = call("running");
    wait_until(async || events(client, base, "running").await.len() == 2).await;
    let waiting = call("waiting");
    wait_until(async || {
        let load: Value = client.get_json(&format!("{base}/v1/load")).await.unwrap();
        load["running"] == 1 && load["waiting"] == 1
    })
    .await;
    let url = format!("{base}/v1/cancel/waiting");
    client.send_json(Method::POST, &url, &json!({})).await.unwrap();
    assert_eq!(waiting.await.unwrap().unwrap().status, StatusCode::CONFLICT);
    assert_eq!(events(client, base, "waiting").await, ["received", "cancelled"]);
    running.abort();
}

#[tokio::test]
async fn a_closed_connection_cancels() {
    let Fixture { base, client, .. } = &start(Options { step_base_us: 20_000, ..fast() }).await;
    let response = client.send(chat_request(base, "gone", &chat("x", true))).await.unwrap();
    drop(response);
    wait_until(async || events(client, base, "gone").await.last().unwrap() == "cancelled").await;
}

#[tokio::test]
async fn each_response_fault_is_visible_to_the_client() {
    let Fixture { base, client, .. } = &start(fast()).await;
    set_faults(client, base, json!({ "break_after_tokens": 3 })).await;
    for stream in [true, false] {
        let broken = client.call(chat_request(base, "cut", &chat("x", stream))).await;
        assert!(is_incomplete(&broken), "{broken:?}");
    }
    assert_eq!(events(client, base, "cut").await[..3], ["received", "started", "broken"]);
    set_faults(client, base, json!({ "cross_ids": true })).await;
    let crossed = client.call(chat_request(base, "own", &chat("y", true))).await.unwrap();
    let (chunks, _) = chunks(&crossed);
    assert!(chunks.iter().all(|chunk| chunk["id"] == "cut"));
    set_faults(client, base, json!({ "fail_status": 503 })).await;
    let failed = client.call(chat_request(base, "f", &chat("x", true))).await.unwrap();
    assert_eq!(failed.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(events(client, base, "f").await, ["received"]);
}

#[tokio::test]
async fn a_prompt_can_be_rejected_or_end_the_engine() {
    let Fixture { base, client, server } = &start(fast()).await;
    set_faults(client, base, json!({ "reject_on": "bad", "die_on": "poison" })).await;
    let rejected = client.call(chat_request(base, "b", &chat("a bad one", true))).await.unwrap();
    assert_eq!(rejected.status, StatusCode::BAD_REQUEST);
    let died = client.call(chat_request(base, "d", &chat("some poison", true))).await;
    assert!(is_incomplete(&died), "{died:?}");
    wait_until(async || server.is_finished()).await;
}

#[tokio::test]
async fn a_frozen_engine_continues_after_the_fault_is_reset() {
    let Fixture { base, client, .. } = &start(fast()).await;
    set_faults(client, base, json!({ "freeze": true })).await;
    let request = chat_request(base, "z", &chat("x", false));
    let frozen = tokio::spawn({
        let client = client.clone();
        async move { client.call(request).await }
    });
    wait_until(async || events(client, base, "z").await == ["received"]).await;
    set_faults(client, base, json!({})).await;
    assert_eq!(frozen.await.unwrap().unwrap().status, StatusCode::OK);
}

#[tokio::test]
async fn outdated_orders_are_rejected_unless_the_engine_ignores_fences() {
    let Fixture { base, client, .. } = &start(fast()).await;
    let order = async |fence: u64, order: Value| {
        let body = json!({ "fence": fence, "order": order });
        client.send_json(Method::POST, &format!("{base}/v1/orders"), &body).await.unwrap()
    };
    assert_eq!(order(5, json!({ "load": "a" })).await.status, StatusCode::OK);
    let old = order(4, json!({ "load": "b" })).await;
    assert_eq!(old.status, StatusCode::CONFLICT);
    assert_eq!(old.json::<Value>().unwrap(), json!({ "fence": 5 }));
    set_faults(client, base, json!({ "ignore_fence": true })).await;
    assert_eq!(order(4, json!({ "role": "batch" })).await.status, StatusCode::OK);
    let state: Value = client.get_json(&format!("{base}/v1/state")).await.unwrap();
    assert_eq!(state, json!({ "models": ["a"], "role": "batch", "fence": 4 }));
}

#[tokio::test]
async fn the_prefix_cache_stays_within_memory() {
    let options = Options { kv_tokens: 256, cache_gap: 0, ..fast() };
    let Fixture { base, client, .. } = &start(options).await;
    for n in 0..8 {
        let prompt = format!("{n}").repeat(320);
        let mut body = chat(&prompt, false);
        body["max_tokens"] = json!(4);
        client.call(chat_request(base, &format!("c{n}"), &body)).await.unwrap();
    }
    let list: Value = client.get_json(&format!("{base}/v1/cache_events?after=0")).await.unwrap();
    let events = list["events"].as_array().unwrap();
    let stored = events.iter().filter(|event| event["stored"] == true).count();
    let evicted = events.len() - stored;
    assert_eq!(stored, 8 * 5);
    assert!((stored - evicted) * 16 <= 256, "stored {stored}, evicted {evicted}");
}

properties! {
    fn response_length_is_bounded(prompt: String, max: u32) -> bool {
        let body = json!({ "messages": [{ "role": "user", "content": prompt }] });
        let digest = value_digest(&body["messages"]);
        let length = response_length(&digest, Some(max));
        length <= max && length <= 64 && expected_tokens(&digest, Some(max)).len() == length as usize
    }
}
