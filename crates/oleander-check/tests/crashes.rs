//! System tests of calls that crash engines: a message that many calls share ends each engine that
//! runs one of them.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use http::StatusCode;
use oleander_check::{Deployment, DeploymentOptions, Process, Response, eventually};
use serde_json::{Value, json};

/// Text that ends an engine.
const DEADLY: &str = "calibrate";
/// Crashes after which the message is known, and calls with it that may still reach engines.
const MAX_CRASHES: u32 = 5 + 3;
const RUN_TIME: Duration = Duration::from_secs(8);
/// Last part of the run, in which no engine may end.
const QUIET_TIME: Duration = Duration::from_secs(3);
const CALL_INTERVAL: Duration = Duration::from_millis(150);
const RESTART_TIME: Duration = Duration::from_millis(400);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const ENTRIES: usize = 3;
/// Time in which an entry that starts learns what the others know.
const LEARN_TIME: Duration = Duration::from_secs(4);
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A chat whose first message all calls share.
fn chat(second: &str, number: u32) -> Value {
    json!({"model": "llm", "messages": [
        {"role": "system", "content": "You read the marks of silver."},
        {"role": "user", "content": second},
        {"role": "user", "content": format!("mark {number}")},
    ]})
}

/// A deployment, and its engines, which end at calls with [`DEADLY`].
async fn start_fragile(name: &str) -> (Deployment, Vec<Process>) {
    let options = DeploymentOptions::new().engine_args(&["--die-on", DEADLY]);
    let mut deployment = Deployment::start(name, &options).await;
    let engines = std::mem::take(&mut deployment.engines);
    (deployment, engines)
}

/// Restarts engines that end; returns the times of their ends.
async fn keep_running(engines: &mut [Process], start: Instant) -> Vec<Duration> {
    let mut ends = Vec::new();
    let mut down: Vec<Option<Instant>> = vec![None; engines.len()];
    while start.elapsed() < RUN_TIME {
        for (engine, down) in engines.iter_mut().zip(&mut down) {
            match *down {
                None if engine.has_exited() => {
                    ends.push(start.elapsed());
                    *down = Some(Instant::now());
                }
                Some(since) if since.elapsed() >= RESTART_TIME => {
                    engine.restart();
                    *down = None;
                }
                None | Some(_) => {}
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    ends
}

/// Response to a call that was sent at this time of the run.
struct Answer {
    sent: Duration,
    status: StatusCode,
    body: String,
}

/// Sends calls with this second message through all entries.
async fn send_calls(
    deployment: &Deployment,
    name: &str,
    second: &str,
    start: Instant,
) -> Vec<Answer> {
    let mut answers = Vec::new();
    let mut number = 0;
    while start.elapsed() < RUN_TIME {
        let (sent, key) = (start.elapsed(), format!("{name}-{number}"));
        let body = chat(second, number);
        let entry = number as usize % ENTRIES;
        let response = deployment.post(entry, "v1/chat/completions", &key, &body).await.unwrap();
        answers.push(Answer { sent, status: response.status, body: response.body.clone() });
        number += 1;
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    answers
}

/// Responses with another status, to calls that were sent in the last part of the run.
fn late_others(answers: &[Answer], status: StatusCode) -> Vec<String> {
    let late: Vec<&Answer> =
        answers.iter().filter(|answer| answer.sent >= RUN_TIME - QUIET_TIME).collect();
    assert!(!late.is_empty(), "no calls in the last part of the run");
    let others = late.into_iter().filter(|answer| answer.status != status);
    others.map(|answer| format!("{:?} {} {}", answer.sent, answer.status, answer.body)).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_with_a_message_that_crashes_engines_are_refused_and_the_others_served() {
    let (deployment, mut engines) = start_fragile("crashes").await;
    let start = Instant::now();
    let (ends, deadly, others) = tokio::join!(
        keep_running(&mut engines, start),
        send_calls(&deployment, "deadly", DEADLY, start),
        send_calls(&deployment, "other", "weigh", start),
    );
    let quiet = RUN_TIME - QUIET_TIME;
    assert!(ends.len() as u32 <= MAX_CRASHES, "{} ends of engines: {ends:?}", ends.len());
    assert!(ends.iter().all(|end| *end < quiet), "late ends of engines: {ends:?}");
    let sent = late_others(&deadly, StatusCode::SERVICE_UNAVAILABLE);
    assert!(sent.is_empty(), "{sent:#?}");
    let unserved = late_others(&others, StatusCode::OK);
    assert!(unserved.is_empty(), "{unserved:#?}");
}

/// Sends a call that ends an engine.
async fn send_deadly(deployment: &Deployment, entry: usize, number: u32) -> Response {
    let key = format!("deadly-{number}");
    let body = chat(DEADLY, number);
    deployment.post(entry, "v1/chat/completions", &key, &body).await.unwrap()
}

fn is_blocked(response: &Response) -> bool {
    response.status == StatusCode::SERVICE_UNAVAILABLE
        && response.json()["error"]["code"] == "unavailable"
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_anew_refuses_calls_with_a_message_that_crashed_engines() {
    let (mut deployment, mut engines) = start_fragile("anew").await;
    let mut number = 0;
    while !is_blocked(&send_deadly(&deployment, number as usize % 2, number).await) {
        assert!(number < MAX_CRASHES, "the message is not known after {number} calls");
        tokio::time::sleep(RESTART_TIME).await;
        for engine in &mut engines {
            if engine.has_exited() {
                engine.restart();
            }
        }
        number += 1;
    }
    deployment.entries[2].kill().await;
    deployment.entries[2].restart();
    eventually("the entry has the document", START_TIMEOUT, || async {
        deployment.revision(2).await
    })
    .await;
    tokio::time::sleep(LEARN_TIME).await;
    let response = send_deadly(&deployment, 2, number + 1).await;
    assert!(is_blocked(&response), "{} {}", response.status, response.body);
}
