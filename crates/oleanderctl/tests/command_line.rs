//! Runs the `oleanderctl` binary against fake hosts.

mod fake;

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::Output,
    sync::atomic::{AtomicU32, Ordering},
};

use fake::{FakeHost, KEY};
use serde_json::{Value, json};
use tokio::process::Command;

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/ventiladores.json");
const OTHER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/harrow.json");

/// Number of the next file, so that no two tests share one.
static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

/// Writes `text` to a new file.
fn write_file(text: &str) -> PathBuf {
    let name = format!("command-line-{}", NEXT_FILE.fetch_add(1, Ordering::Relaxed));
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("a writable folder");
    path
}

/// Runs the tool and returns its exit code and JSON output.
async fn run(fakes: &[&FakeHost], arguments: &[&str]) -> (i32, Value) {
    let addresses: Vec<SocketAddr> = fakes.iter().map(|fake| fake.address).collect();
    let output = output(KEY, &addresses, arguments).await;
    let json = serde_json::from_slice(&output.stdout).expect("JSON");
    (output.status.code().expect("an exit code"), json)
}

async fn output(key: &str, addresses: &[SocketAddr], arguments: &[&str]) -> Output {
    let key = write_file(&format!("{key}\n"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_oleanderctl"));
    command.arg("--json").arg("--key-file").arg(key).args(arguments);
    for address in addresses {
        command.arg("--admin").arg(address.to_string());
    }
    command.output().await.expect("the tool runs")
}

fn read(path: &str) -> Value {
    serde_json::from_str(&fs::read_to_string(path).expect("an example")).expect("JSON")
}

#[tokio::test]
async fn validate_lists_all_faults() {
    let broken = write_file(r#"{"zones": ["a b"], "services": 1, "extra": null}"#);
    let (code, json) = run(&[], &["validate", broken.to_str().unwrap()]).await;
    assert_eq!(code, 1);
    let paths: Vec<&str> =
        json["faults"].as_array().unwrap().iter().map(|f| f["path"].as_str().unwrap()).collect();
    assert_eq!(paths, ["$.extra", "$.zones[0]", "$.services", "$.workspaces"]);
}

#[tokio::test]
async fn apply_succeeds_again_for_a_document_in_force() {
    let entry = FakeHost::start("entry-1").await;
    let (code, json) = run(&[&entry], &["apply", EXAMPLE]).await;
    assert_eq!((code, &json["outcome"]), (0, &json!("applied")));
    assert_eq!(entry.with(|m| m.document.clone()), read(EXAMPLE));
    let (code, json) = run(&[&entry], &["apply", EXAMPLE]).await;
    assert_eq!((code, &json["outcome"], &json["revision"]), (0, &json!("unchanged"), &json!(1)));
}

#[tokio::test]
async fn a_lost_response_is_resolved_by_reading_back() {
    let entry = FakeHost::start("entry-1").await;
    entry.with(|m| m.lose_responses = 1);
    let (code, json) = run(&[&entry], &["apply", EXAMPLE]).await;
    assert_eq!((code, &json["settled"], &json["revision"]), (0, &json!(true), &json!(1)));
}

#[tokio::test]
async fn apply_fails_over_to_another_host() {
    let entry = FakeHost::start("entry-1").await;
    let addresses = [closed_port().await, entry.address];
    let output = output(KEY, &addresses, &["apply", EXAMPLE]).await;
    assert_eq!((output.status.code(), entry.with(|m| m.revision)), (Some(0), 1));
}

#[tokio::test]
async fn a_conflict_shows_the_concurrent_change() {
    let entry = FakeHost::start("entry-1").await;
    let mut concurrent = read(EXAMPLE);
    concurrent["services"][0]["online"]["reserve"] = json!(7);
    entry.with(|m| {
        (m.document, m.revision, m.concurrent_change) =
            (read(EXAMPLE), 4, Some(concurrent.clone()));
    });
    let (code, json) = run(&[&entry], &["apply", OTHER]).await;
    assert_eq!((code, &json["outcome"], &json["revision"]), (3, &json!("conflict"), &json!(14)));
    assert_eq!(json["changes"][0]["path"], r#"$.services["alarma-llm"].online.reserve"#);
    assert_eq!(entry.with(|m| m.document.clone()), concurrent);
}

#[tokio::test]
async fn diff_compares_with_the_document_in_force() {
    let entry = FakeHost::start("entry-1").await;
    entry.with(|m| (m.document, m.revision) = (read(EXAMPLE), 1));
    let (code, json) = run(&[&entry], &["diff", EXAMPLE, "--exit-code"]).await;
    assert_eq!((code, &json["changes"]), (0, &json!([])));
    let (code, _) = run(&[&entry], &["diff", OTHER, "--exit-code"]).await;
    assert_eq!(code, 9);
}

#[tokio::test]
async fn status_shows_the_hosts_that_respond_and_exits_as_partial() {
    let (first, second) = (FakeHost::start("entry-1").await, FakeHost::start("entry-2").await);
    let (code, json) = run(&[&second, &first], &["status"]).await;
    assert_eq!((code, &json["hosts"][1]["host"]), (0, &json!("entry-2")));
    let closed = closed_port().await;
    let none = output(KEY, &[closed], &["status"]).await;
    assert_eq!(none.status.code(), Some(4));
    let output = output(KEY, &[first.address, closed], &["status"]).await;
    assert_eq!(output.status.code(), Some(5));
    let json: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(json["unreachable"].as_array().unwrap().len(), 1);
}

/// An address without a listener.
async fn closed_port() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("an address")
}

#[tokio::test]
async fn drain_finds_the_host_by_name() {
    let (first, second) = (FakeHost::start("entry-1").await, FakeHost::start("entry-2").await);
    let (code, _) = run(&[&first, &second], &["drain", "entry-2"]).await;
    assert_eq!((code, first.with(|m| m.drained), second.with(|m| m.drained)), (0, false, true));
    let (code, _) = run(&[&first, &second], &["drain", "entry-3"]).await;
    assert_eq!(code, 6);
}

#[tokio::test]
async fn jobs_are_listed_and_cancelled() {
    let entry = FakeHost::start("entry-1").await;
    let (code, json) = run(&[&entry], &["jobs"]).await;
    assert_eq!((code, &json["jobs"][0]["completed"], &json["more"]), (0, &json!(4), &json!(true)));
    let (_, json) = run(&[&entry], &["jobs", "--after", "job-1"]).await;
    assert_eq!(json, json!({ "jobs": [], "more": false }));
    let (code, _) = run(&[&entry], &["cancel", "job-1"]).await;
    assert_eq!((code, entry.with(|m| m.cancelled.len())), (0, 1));
    let (code, _) = run(&[&entry], &["cancel", "job-2"]).await;
    assert_eq!(code, 6);
}

#[tokio::test]
async fn digest_matches_the_example_document() {
    let key = write_file("demo-caller-key\n");
    let (code, json) = run(&[], &["digest", key.to_str().unwrap()]).await;
    assert_eq!((code, &json["key_digest"]), (0, &read(EXAMPLE)["workspaces"][0]["key_digest"]));
}

#[tokio::test]
async fn the_timeline_is_causal_if_clocks_disagree() {
    let (first, second) = (FakeHost::start("entry-1").await, FakeHost::start("batch-1").await);
    let event = |host: &str, logical: u64, at: u64, kind: &str| {
        json!({ "host": host, "sequence": logical, "logical": logical, "at": at, "kind": kind,
            "subject": "job-1", "detail": "" })
    };
    let events = [event("entry-1", 1, 9_000, "accepted"), event("entry-1", 4, 9_100, "finished")];
    first.with(|m| m.events = events.to_vec());
    second.with(|m| m.events = vec![event("batch-1", 2, 1_000, "claimed")]);
    let (code, json) = run(&[&first, &second, &first], &["timeline", "job-1"]).await;
    let lines = json["lines"].as_array().unwrap();
    let kinds: Vec<&str> = lines.iter().map(|l| l["event"]["kind"].as_str().unwrap()).collect();
    assert_eq!((code, kinds), (0, vec!["accepted", "claimed", "finished"]));
    assert_eq!(json["lines"][1]["behind"], json!(8_000));
}

#[tokio::test]
async fn a_wrong_key_is_refused_and_never_printed() {
    let entry = FakeHost::start("entry-1").await;
    let output = output("wrong-key-of-the-tests", &[entry.address], &["status"]).await;
    assert_eq!(output.status.code(), Some(6));
    let printed = [output.stdout, output.stderr].concat();
    assert!(!String::from_utf8_lossy(&printed).contains("wrong-key-of-the-tests"));
}
