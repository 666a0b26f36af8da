//! The load tool: arrivals, verification of responses, addresses, reports and batch files.

#![allow(clippy::unwrap_used)]

mod common;

use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use axum::{
    Json, Router,
    http::StatusCode,
    routing::{get, post},
};
use common::set_faults;
use oleander_check::properties;
use serde_json::{Value, json};
use standin::{
    client::HttpClient,
    engine::{self, Options},
    load::{
        AddressBook, Arrival, ArrivalSettings, BatchSettings, Destination, LatencyObjectives,
        LoadClient, PromptSettings, Report, RunSettings, Shape, check_batch, compare,
        plan_arrivals, run, write_batch,
    },
    response::expected_text,
    server::{self, Server},
};
use tokio::time::Instant;

const CALLS: usize = 12;

fn arrivals() -> ArrivalSettings {
    ArrivalSettings {
        rate: 200.0,
        burst_every_s: 0.02,
        burst_size: 4,
        seconds: 1.0,
        requests: CALLS,
        callers: 3,
        twice_every: 0,
    }
}

fn prompts() -> PromptSettings {
    PromptSettings {
        shape: Shape::Registry,
        model: "hallmark-llm".to_owned(),
        prefixes: 2,
        prefix_tokens: 32,
        prompt_tokens: 16,
        max_tokens: 8,
    }
}

fn load_client(addresses: Vec<String>, discover: bool) -> LoadClient {
    LoadClient {
        destination: Destination::Engine,
        client: HttpClient::default(),
        address_book: AddressBook::new(addresses, discover),
        keys: Vec::new(),
        prompts: prompts(),
        seed: 7,
        run_id: "test".to_owned(),
        deadline_ms: None,
        call_timeout: Duration::from_secs(20),
        max_retries: 0,
    }
}

async fn run_with(client: LoadClient) -> Report {
    let objectives = LatencyObjectives { good_first_ms: 20_000, good_between_ms: 20_000 };
    let label = "test".to_owned();
    run(RunSettings { label, arrivals: arrivals(), objectives, max_open: 100 }, client).await
}

async fn start_engine() -> Server {
    let options = Options { step_base_us: 500, ..Options::default() };
    Server::start(|listener| engine::serve(listener, options)).await.unwrap()
}

#[tokio::test]
async fn complete_responses_are_counted_and_timed() {
    let engine = start_engine().await;
    let report = run_with(load_client(vec![engine.address().to_string()], false)).await;
    assert_eq!((report.sent, report.whole, report.good), (12, 12, 12));
    assert_eq!(report.first_token.count, report.whole_answer.count);
    assert_eq!(report.between_tokens.count, report.tokens - report.whole);
    assert!(report.first_token.p50 <= report.whole_answer.p50);
    let comparison = compare(&report, &report);
    assert_eq!(comparison.ratio("whole_answer_p99_us"), Some(1.0));
}

#[tokio::test]
async fn mismatched_responses_are_wrong_and_interrupted_ones_failed() {
    let engine = start_engine().await;
    let address = engine.address().to_string();
    let (client, base) = (HttpClient::default(), format!("http://{address}"));
    set_faults(&client, &base, json!({ "cross_ids": true })).await;
    let mismatched = run_with(load_client(vec![address.clone()], false)).await;
    assert_eq!((mismatched.wrong, mismatched.whole), (12, 0));
    set_faults(&client, &base, json!({ "break_after_tokens": 3 })).await;
    let interrupted = run_with(load_client(vec![address.clone()], false)).await;
    assert_eq!((interrupted.failed, interrupted.failures[0].name.as_str()), (12, "broken"));
    set_faults(&client, &base, json!({ "fail_status": 503 })).await;
    let refused = run_with(load_client(vec![address], false)).await;
    assert_eq!((refused.refused, refused.refusals[0].status), (12, 503));
}

#[tokio::test]
async fn calls_beyond_the_timeout_have_failed() {
    let engine = start_engine().await;
    let address = engine.address().to_string();
    set_faults(&HttpClient::default(), &format!("http://{address}"), json!({ "freeze": true }))
        .await;
    let mut client = load_client(vec![address], false);
    client.call_timeout = Duration::from_millis(50);
    let report = run_with(client).await;
    assert_eq!((report.failed, report.failures[0].name.as_str()), (12, "timeout"));
}

#[tokio::test]
async fn refused_and_interrupted_calls_are_retried() {
    let engine = start_engine().await;
    let address = engine.address().to_string();
    let refusals = Arc::new(AtomicUsize::new(0));
    let counter = refusals.clone();
    let refuse = move || async move {
        counter.fetch_add(1, Relaxed);
        let error = json!({ "code": "overloaded", "ran": "no", "retry_after_ms": 1 });
        (StatusCode::SERVICE_UNAVAILABLE, Json(json!({ "error": error })))
    };
    let router = Router::new().route("/v1/chat/completions", post(refuse));
    let entry = Server::start(|listener| server::serve(listener, router, std::future::pending()));
    let entry = entry.await.unwrap();
    let mut client = load_client(vec![entry.address().to_string(), address.clone()], false);
    client.max_retries = 1;
    let report = run_with(client).await;
    assert_eq!((report.whole, report.refused), (12, 0));
    assert_eq!(report.resent, refusals.load(Relaxed) as u64);
    set_faults(
        &HttpClient::default(),
        &format!("http://{address}"),
        json!({ "break_after_tokens": 1 }),
    )
    .await;
    let mut client = load_client(vec![address], false);
    client.max_retries = 2;
    let report = run_with(client).await;
    assert_eq!((report.failed, report.resent), (12, 24));
}

#[tokio::test]
async fn fetched_addresses_are_cached_and_tried_in_order() {
    let engine = start_engine().await;
    let unreachable = {
        let unused = TcpListener::bind("127.0.0.1:0").unwrap();
        unused.local_addr().unwrap().to_string()
    };
    let addresses = json!({
        "addresses": [unreachable, engine.address().to_string()], "keep_ms": 60_000,
    });
    let fetches = Arc::new(AtomicUsize::new(0));
    let counter = fetches.clone();
    let router = Router::new().route(
        "/v1/addresses",
        get(move || async move {
            counter.fetch_add(1, Relaxed);
            Json(addresses)
        }),
    );
    let entry = Server::start(|listener| server::serve(listener, router, std::future::pending()));
    let entry = entry.await.unwrap();
    let client = load_client(vec![entry.address().to_string()], true);
    let now = Instant::now().into_std();
    for number in 0..3 {
        let addresses = client.address_book.addresses(&client.client, "", number % 2, now).await;
        assert_eq!(addresses.len(), 2);
    }
    assert_eq!(fetches.load(Relaxed), 2);
    let report = run_with(client).await;
    assert_eq!((report.sent, report.whole), (12, 12));
}

fn batch_input() -> (Vec<u8>, Vec<Value>) {
    let settings = BatchSettings { items: 6, mark_every: 3, mark_text: "POISON".to_owned() };
    let mut input = Vec::new();
    write_batch(&mut input, &settings, &prompts(), 3).unwrap();
    let text = String::from_utf8(input.clone()).unwrap();
    let lines = text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    (input, lines)
}

fn expected_output(items: &[Value]) -> Vec<Value> {
    let results = items.iter().map(|item| {
        let message = json!({ "content": expected_text(&item["body"]) });
        let body = json!({ "choices": [{ "message": message }] });
        json!({ "custom_id": item["custom_id"], "response": { "status_code": 200, "body": body } })
    });
    results.collect()
}

fn to_jsonl(values: &[Value]) -> Vec<u8> {
    values.iter().map(|value| format!("{value}\n")).collect::<String>().into_bytes()
}

#[test]
fn every_nth_item_contains_the_mark_text() {
    let (_, items) = batch_input();
    let marked: Vec<bool> =
        items.iter().map(|item| item["body"].to_string().contains("POISON")).collect();
    assert_eq!(marked, [false, false, true, false, false, true]);
}

#[test]
fn each_item_of_a_batch_output_is_verified() {
    let (input, items) = batch_input();
    let correct = expected_output(&items);
    let check = check_batch(&input[..], &to_jsonl(&correct)[..]).unwrap();
    assert!(check.is_consistent() && check.right == 6);
    let mut faulty = correct.clone();
    faulty[0]["response"]["body"]["choices"][0]["message"]["content"] = json!("other");
    faulty[1]["response"]["status_code"] = json!(500);
    faulty[2]["custom_id"] = json!("unknown-item");
    faulty.push(correct[3].clone());
    let check = check_batch(&input[..], &to_jsonl(&faulty)[..]).unwrap();
    assert!(!check.is_consistent());
    assert_eq!((check.wrong, check.failed), (vec!["item-0".to_owned()], vec!["item-1".to_owned()]));
    assert_eq!(check.missing, ["item-2"]);
    assert_eq!(check.doubled, ["item-3"]);
    assert_eq!(check.unknown, ["unknown-item"]);
}

properties! {
    fn arrivals_depend_only_on_settings_and_seed(seed: u64) -> bool {
        plan_arrivals(&arrivals(), seed) == plan_arrivals(&arrivals(), seed)
    }

    fn every_nth_request_has_a_duplicate(seed: u64, every: u8) -> bool {
        let every = u64::from(every);
        let settings = ArrivalSettings { twice_every: every, ..arrivals() };
        let all = plan_arrivals(&settings, seed);
        let (duplicates, originals): (Vec<Arrival>, Vec<Arrival>) = all.into_iter().partition(|arrival| arrival.duplicate);
        let is_duplicated = |number: u64| every > 0 && (number + 1).is_multiple_of(every);
        originals.iter().filter(|arrival| is_duplicated(arrival.number)).count() == duplicates.len()
            && duplicates.iter().all(|duplicate| is_duplicated(duplicate.number))
    }

    fn arrivals_are_ordered_and_within_limits(seed: u64, rate: u16, burst: u8) -> bool {
        let settings = ArrivalSettings {
            rate: f64::from(rate % 500),
            burst_size: u32::from(burst),
            requests: 100,
            ..arrivals()
        };
        let arrivals = plan_arrivals(&settings, seed);
        arrivals.len() <= 100
            && arrivals.is_sorted_by_key(|arrival| (arrival.at_us, arrival.number))
            && arrivals.iter().all(|arrival| arrival.at_us < 1_000_000 && arrival.caller < 3)
    }
}
