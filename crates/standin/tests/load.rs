//! The load tool: arrivals, checks of answers, addresses, reports and batch files.

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
        AddressBook, Arrival, ArrivalSettings, BatchSettings, Caller, PromptSettings, Report,
        Route, RunSettings, Shape, Targets, check_batch, compare, plan, run, write_batch,
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

fn caller(addresses: Vec<String>, ask: bool) -> Caller {
    Caller {
        route: Route::Engine,
        client: HttpClient::default(),
        book: AddressBook::new(addresses, ask),
        keys: Vec::new(),
        prompts: prompts(),
        seed: 7,
        run_id: "test".to_owned(),
        deadline_ms: None,
        give_up: Duration::from_secs(20),
        retries: 0,
    }
}

async fn run_on(caller: Caller) -> Report {
    let targets = Targets { good_first_ms: 20_000, good_between_ms: 20_000 };
    let label = "test".to_owned();
    run(RunSettings { label, arrivals: arrivals(), targets, max_open: 100 }, caller).await
}

async fn start_engine() -> Server {
    let options = Options { step_base_us: 500, ..Options::default() };
    Server::start(|listener| engine::serve(listener, options)).await.unwrap()
}

#[tokio::test]
async fn whole_answers_are_counted_and_timed() {
    let engine = start_engine().await;
    let report = run_on(caller(vec![engine.address().to_string()], false)).await;
    assert_eq!((report.sent, report.whole, report.good), (12, 12, 12));
    assert_eq!(report.first_token.count, report.whole_answer.count);
    assert_eq!(report.between_tokens.count, report.tokens - report.whole);
    assert!(report.first_token.p50 <= report.whole_answer.p50);
    let comparison = compare(&report, &report);
    assert_eq!(comparison.ratio("whole_answer_p99_us"), Some(1.0));
}

#[tokio::test]
async fn crossed_answers_are_wrong_and_cut_ones_failed() {
    let engine = start_engine().await;
    let address = engine.address().to_string();
    let (client, base) = (HttpClient::default(), format!("http://{address}"));
    set_faults(&client, &base, json!({ "cross_ids": true })).await;
    let crossed = run_on(caller(vec![address.clone()], false)).await;
    assert_eq!((crossed.wrong, crossed.whole), (12, 0));
    set_faults(&client, &base, json!({ "break_after_tokens": 3 })).await;
    let cut = run_on(caller(vec![address.clone()], false)).await;
    assert_eq!((cut.failed, cut.failures[0].name.as_str()), (12, "broken"));
    set_faults(&client, &base, json!({ "fail_status": 503 })).await;
    let refused = run_on(caller(vec![address], false)).await;
    assert_eq!((refused.refused, refused.refusals[0].status), (12, 503));
}

#[tokio::test]
async fn late_answers_are_timeouts() {
    let engine = start_engine().await;
    let address = engine.address().to_string();
    set_faults(&HttpClient::default(), &format!("http://{address}"), json!({ "freeze": true }))
        .await;
    let mut impatient = caller(vec![address], false);
    impatient.give_up = Duration::from_millis(50);
    let report = run_on(impatient).await;
    assert_eq!((report.failed, report.failures[0].name.as_str()), (12, "timeout"));
}

#[tokio::test]
async fn refused_and_broken_calls_are_sent_again() {
    let engine = start_engine().await;
    let address = engine.address().to_string();
    let refusals = Arc::new(AtomicUsize::new(0));
    let counted = refusals.clone();
    let refusing = move || async move {
        counted.fetch_add(1, Relaxed);
        let error = json!({ "code": "overloaded", "ran": "no", "retry_after_ms": 1 });
        (StatusCode::SERVICE_UNAVAILABLE, Json(json!({ "error": error })))
    };
    let router = Router::new().route("/v1/chat/completions", post(refusing));
    let entry = Server::start(|listener| server::serve(listener, router, std::future::pending()));
    let entry = entry.await.unwrap();
    let mut patient = caller(vec![entry.address().to_string(), address.clone()], false);
    patient.retries = 1;
    let report = run_on(patient).await;
    assert_eq!((report.whole, report.refused), (12, 0));
    assert_eq!(report.resent, refusals.load(Relaxed) as u64);
    set_faults(
        &HttpClient::default(),
        &format!("http://{address}"),
        json!({ "break_after_tokens": 1 }),
    )
    .await;
    let mut patient = caller(vec![address], false);
    patient.retries = 2;
    let report = run_on(patient).await;
    assert_eq!((report.failed, report.resent), (12, 24));
}

#[tokio::test]
async fn asked_addresses_are_kept_and_tried_in_order() {
    let engine = start_engine().await;
    let refusing = {
        let unused = TcpListener::bind("127.0.0.1:0").unwrap();
        unused.local_addr().unwrap().to_string()
    };
    let answer = json!({
        "addresses": [refusing, engine.address().to_string()], "keep_ms": 60_000,
    });
    let asked = Arc::new(AtomicUsize::new(0));
    let counted = asked.clone();
    let router = Router::new().route(
        "/v1/addresses",
        get(move || async move {
            counted.fetch_add(1, Relaxed);
            Json(answer)
        }),
    );
    let entry = Server::start(|listener| server::serve(listener, router, std::future::pending()));
    let entry = entry.await.unwrap();
    let book = caller(vec![entry.address().to_string()], true);
    let now = Instant::now().into_std();
    for number in 0..3 {
        let addresses = book.book.addresses(&book.client, "", number % 2, now).await;
        assert_eq!(addresses.len(), 2);
    }
    assert_eq!(asked.load(Relaxed), 2);
    let report = run_on(book).await;
    assert_eq!((report.sent, report.whole), (12, 12));
}

fn batch() -> (Vec<u8>, Vec<Value>) {
    let settings = BatchSettings { items: 6, mark_every: 3, mark_text: "POISON".to_owned() };
    let mut input = Vec::new();
    write_batch(&mut input, &settings, &prompts(), 3).unwrap();
    let text = String::from_utf8(input.clone()).unwrap();
    let lines = text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    (input, lines)
}

fn output(items: &[Value]) -> Vec<Value> {
    let answered = items.iter().map(|item| {
        let message = json!({ "content": expected_text(&item["body"]) });
        let body = json!({ "choices": [{ "message": message }] });
        json!({ "custom_id": item["custom_id"], "response": { "status_code": 200, "body": body } })
    });
    answered.collect()
}

fn lines(values: &[Value]) -> Vec<u8> {
    values.iter().map(|value| format!("{value}\n")).collect::<String>().into_bytes()
}

#[test]
fn marked_items_carry_the_mark() {
    let (_, items) = batch();
    let marked: Vec<bool> =
        items.iter().map(|item| item["body"].to_string().contains("POISON")).collect();
    assert_eq!(marked, [false, false, true, false, false, true]);
}

#[test]
fn a_batch_output_is_checked_item_by_item() {
    let (input, items) = batch();
    let right = output(&items);
    let check = check_batch(&input[..], &lines(&right)[..]).unwrap();
    assert!(check.is_sound() && check.right == 6);
    let mut faulty = right.clone();
    faulty[0]["response"]["body"]["choices"][0]["message"]["content"] = json!("other");
    faulty[1]["response"]["status_code"] = json!(500);
    faulty[2]["custom_id"] = json!("stranger");
    faulty.push(right[3].clone());
    let check = check_batch(&input[..], &lines(&faulty)[..]).unwrap();
    assert!(!check.is_sound());
    assert_eq!((check.wrong, check.failed), (vec!["item-0".to_owned()], vec!["item-1".to_owned()]));
    assert_eq!(check.missing, ["item-2"]);
    assert_eq!(check.doubled, ["item-3"]);
    assert_eq!(check.unknown, ["stranger"]);
}

properties! {
    fn plans_depend_on_the_seed_alone(seed: u64) -> bool {
        plan(&arrivals(), seed) == plan(&arrivals(), seed)
    }

    fn copies_follow_their_request(seed: u64, every: u8) -> bool {
        let every = u64::from(every);
        let settings = ArrivalSettings { twice_every: every, ..arrivals() };
        let all = plan(&settings, seed);
        let (copies, firsts): (Vec<Arrival>, Vec<Arrival>) = all.into_iter().partition(|arrival| arrival.copy);
        let copied = |number: u64| every > 0 && (number + 1).is_multiple_of(every);
        firsts.iter().filter(|arrival| copied(arrival.number)).count() == copies.len()
            && copies.iter().all(|copy| copied(copy.number))
    }

    fn plans_are_ordered_and_bounded(seed: u64, rate: u16, burst: u8) -> bool {
        let settings = ArrivalSettings {
            rate: f64::from(rate % 500),
            burst_size: u32::from(burst),
            requests: 100,
            ..arrivals()
        };
        let arrivals = plan(&settings, seed);
        arrivals.len() <= 100
            && arrivals.is_sorted_by_key(|arrival| (arrival.at_us, arrival.number))
            && arrivals.iter().all(|arrival| arrival.at_us < 1_000_000 && arrival.caller < 3)
    }
}
