//! Tests of the HTTP interface for files and jobs, with an in-memory platform that injects faults.

#![allow(clippy::unwrap_used)]

mod api;
mod interleaved;

use std::{convert::Infallible, time::Duration};

use axum::{
    body::{Body, to_bytes},
    http::{Request, StatusCode},
};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use oleander_core::{ItemIndex, JobId, LotIndex, Time};
use oleander_intake::{JobStore, admin_router, admin_router_with_store};
use oleander_jobs::{Counts, ItemError, ItemResult, JobState, LotRecord, Response, key};
use oleander_ledger::Segment;
use oleander_platform::{MemoryFaults, ObjectStore};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task, time,
};
use tower::ServiceExt;

use api::{MAX_BODY_BYTES, TestApi, get, item, lines, post};
use interleaved::Interleaved;

#[tokio::test]
async fn a_repeated_upload_returns_the_same_file() {
    let api = TestApi::new();
    let (status, first) = api.upload(&lines(5)).await;
    assert_eq!((status, &first["items"]), (StatusCode::OK, &json!(5)));
    let objects = api.keys("file/").await;

    let boundary = "b0undary";
    let form = format!(
        "--{boundary}\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --{boundary}\r\ncontent-disposition: form-data; name=\"file\"; filename=\"a.jsonl\"\r\n\r\n\
         {}\r\n--{boundary}--\r\n",
        lines(5)
    );
    let content_type = format!("multipart/form-data; boundary={boundary}");
    let request = Request::post("/v1/files").header("content-type", content_type);
    let (status, second) = api.send(request.body(Body::from(form)).unwrap()).await;
    assert_eq!(status, StatusCode::OK, "{second}");
    assert_eq!(first["id"], second["id"]);
    assert_eq!(objects, api.keys("file/").await);

    let path = format!("/v1/files/{}/content", first["id"].as_str().unwrap());
    let (status, content) = api.send_as(0, get(&path)).await;
    assert_eq!((status, content), (StatusCode::OK, Bytes::from(lines(5))));
    assert_eq!(api.send_as(1, get(&path)).await.0, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn invalid_files_are_rejected_without_a_file_record() {
    let api = TestApi::new();
    let invalid = format!("{}nonsense\n{}", lines(1), lines(1));
    let (status, response) = api.upload(&invalid).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    let message = response["error"]["message"].as_str().unwrap();
    assert!(message.contains("line 2: ") && message.contains("line 3: custom_id"), "{message}");
    assert_eq!(response["error"]["ran"], "no");

    let (status, response) = api.upload(&"x".repeat(3_000_001)).await;
    assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(response["error"]["code"], "too_large");
    let unknown_model = item("a").replace("alarma-llm", "unknown");
    assert_eq!(api.upload(&unknown_model).await.0, StatusCode::BAD_REQUEST);
    assert_eq!(api.upload("").await.0, StatusCode::BAD_REQUEST);
    assert!(api.keys("file/pampeanos/record/").await.is_empty());
}

#[tokio::test]
async fn an_oversized_body_gets_a_response_on_its_connection() {
    let api = TestApi::new();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(axum::serve(listener, api.app(0)).into_future());
    for head in ["content-length: 6000000", "transfer-encoding: chunked"] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head =
            format!("POST /v1/files HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{head}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..60 {
            let piece = if head.contains("chunked") {
                format!("186a0\r\n{}\r\n", "x".repeat(100_000))
            } else {
                "x".repeat(100_000)
            };
            stream.write_all(piece.as_bytes()).await.unwrap();
        }
        if head.contains("chunked") {
            stream.write_all(b"0\r\n\r\n").await.unwrap();
        }
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
        assert!(response.contains("too_large"), "{response}");
    }
    server.abort();
}

#[tokio::test(start_paused = true)]
async fn a_stalled_or_slow_body_times_out() {
    let api = TestApi::new();
    let stalled = stream::iter([Ok::<_, Infallible>(lines(1))]).chain(stream::pending());
    let request = Request::post("/v1/files").body(Body::from_stream(stalled)).unwrap();
    assert_eq!(api.send_as(0, request).await.0, StatusCode::REQUEST_TIMEOUT);
    let slow = stream::unfold((), |()| async {
        time::sleep(Duration::from_secs(9)).await;
        Some((Ok::<_, Infallible>(" "), ()))
    });
    let request = Request::post("/v1/files").body(Body::from_stream(slow)).unwrap();
    assert_eq!(api.send_as(0, request).await.0, StatusCode::REQUEST_TIMEOUT);
}

#[tokio::test]
async fn a_repeated_submission_returns_the_same_job() {
    let api = TestApi::new();
    let (_, file) = api.upload(&lines(5)).await;
    let file = file["id"].as_str().unwrap();
    let (status, first) = api.submit(file, "night-1", "24h").await;
    assert_eq!(status, StatusCode::OK, "{first}");
    assert_eq!(first["request_counts"], json!({"total": 5, "completed": 0, "failed": 0}));
    let (_, second) = api.submit(file, "night-1", "24h").await;
    assert_eq!(first, second);
    assert_eq!(api.submit(file, "night-1", "12h").await.0, StatusCode::CONFLICT);
    assert_eq!(api.keys("job/").await.len(), 1);
    assert_eq!(api.keys("open/").await.len(), 1);

    let path = format!("/v1/batches/{}", first["id"].as_str().unwrap());
    assert_eq!(api.send_as(1, get(&path)).await.0, StatusCode::NOT_FOUND);
    assert_eq!(api.send_as(1, post(&format!("{path}/cancel"))).await.0, StatusCode::NOT_FOUND);
    assert_eq!(api.send(get("/v1/batches")).await.1["data"][0]["id"], first["id"]);
    let (_, other) = api.send_as(1, get("/v1/batches")).await;
    assert_eq!(serde_json::from_slice::<Value>(&other).unwrap()["data"], json!([]));
    assert_eq!(api.submit("file-none", "night-2", "24h").await.0, StatusCode::NOT_FOUND);
    assert_eq!(api.submit(file, "night-3", "forever").await.0, StatusCode::BAD_REQUEST);
}

#[tokio::test]
async fn lost_responses_and_concurrent_submissions_create_one_job() {
    let api = TestApi::new();
    let (_, file) = api.upload(&lines(3)).await;
    let file = file["id"].as_str().unwrap();
    api.platform.set_faults(MemoryFaults {
        down: false,
        lost_responses: 3,
        ..MemoryFaults::default()
    });
    let (a, b) = tokio::join!(api.submit(file, "k", "1h"), api.submit(file, "k", "1h"));
    assert_eq!((a.0, b.0), (StatusCode::OK, StatusCode::OK));
    assert_eq!(a.1["id"], b.1["id"]);
    assert_eq!(api.keys("job/").await.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_unreachable_platform_makes_requests_unavailable() {
    let api = TestApi::new();
    let (_, file) = api.upload(&lines(3)).await;
    let file = file["id"].as_str().unwrap();
    api.platform.set_faults(MemoryFaults {
        down: true,
        lost_responses: 0,
        ..MemoryFaults::default()
    });
    let (status, response) = api.submit(file, "k", "1h").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response["error"]["ran"], "no");
    assert!(response["error"]["retry_after_ms"].as_u64().unwrap() > 0);
    assert_eq!(api.upload(&lines(2)).await.0, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test(start_paused = true)]
async fn a_submission_succeeds_although_responses_are_lost() {
    let api = TestApi::new();
    let (_, file) = api.upload(&lines(3)).await;
    let file = file["id"].as_str().unwrap().to_owned();
    api.platform.set_faults(MemoryFaults {
        down: false,
        lost_responses: 1_000,
        ..MemoryFaults::default()
    });
    let (status, response) = api.submit(&file, "k", "1h").await;
    // Each create is retried and then finds the object that its first attempt wrote.
    assert_eq!(status, StatusCode::OK, "{response}");
    let job = response["id"].as_str().unwrap().to_owned();
    let (status, response) = api.send(post(&format!("/v1/batches/{job}/cancel"))).await;
    assert_eq!((status, &response["status"]), (StatusCode::OK, &json!("cancelled")));
}

#[tokio::test]
async fn only_a_successful_cancel_is_notified() {
    let api = TestApi::new();
    let (_, file) = api.upload(&lines(3)).await;
    let (_, job) = api.submit(file["id"].as_str().unwrap(), "k", "1h").await;
    let id: JobId = job["id"].as_str().unwrap().parse().unwrap();
    let (sender, mut cancelled) = mpsc::channel(4);
    let store = JobStore::new(api.platform.clone()).notify_cancelled(sender);
    let request = post(&format!("/admin/jobs/{id}/cancel"));
    let response = admin_router_with_store(store.clone()).oneshot(request).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(cancelled.try_recv(), Ok(id));
    let (_, job) = api.submit(file["id"].as_str().unwrap(), "k2", "1h").await;
    let id: JobId = job["id"].as_str().unwrap().parse().unwrap();
    store.complete(&id, Counts { completed: 3, failed: 0 }, Time(1)).await.unwrap();
    assert_eq!(store.cancel(&id, Time(2)).await.unwrap().unwrap().state, JobState::Completed);
    assert!(cancelled.try_recv().is_err());
}

#[tokio::test]
async fn concurrent_cancel_and_completion_agree_on_the_outcome() {
    let api = TestApi::new();
    let (_, file) = api.upload(&lines(3)).await;
    let file = file["id"].as_str().unwrap();
    let mut outcomes = Vec::new();
    for round in 0..20 {
        let (_, job) = api.submit(file, &format!("k{round}"), "1h").await;
        let id: JobId = job["id"].as_str().unwrap().parse().unwrap();
        let counts = Counts { completed: 3, failed: 0 };
        let store = JobStore::new(Interleaved(api.platform.clone()));
        let lost_responses = round % 3;
        api.platform.set_faults(MemoryFaults { lost_responses, ..MemoryFaults::default() });
        let cancel = async {
            for _ in 0..round % 5 {
                task::yield_now().await;
            }
            store.cancel(&id, Time(1)).await.unwrap().unwrap()
        };
        let complete = store.complete(&id, counts, Time(1));
        let (cancelled, completed) = tokio::join!(cancel, complete);
        let end = store.job(&id).await.unwrap().unwrap().1;
        assert_eq!((&cancelled, &completed.unwrap().unwrap()), (&end, &end));
        assert_ne!(end.state, JobState::Open);
        let (status, _) = api.send(post(&format!("/v1/batches/{id}/cancel"))).await;
        assert_eq!(status == StatusCode::CONFLICT, end.state == JobState::Completed);
        outcomes.push(end.state);
    }
    assert!(outcomes.contains(&JobState::Cancelled) && outcomes.contains(&JobState::Completed));
}

#[tokio::test]
async fn output_has_the_first_outcome_of_each_item() {
    let api = TestApi::new();
    let (_, file) = api.upload(&lines(3)).await;
    let (_, job) = api.submit(file["id"].as_str().unwrap(), "k", "1h").await;
    let id: JobId = job["id"].as_str().unwrap().parse().unwrap();
    let response = |text: &str| {
        let body = json!({"text": text}).to_string();
        ItemResult::Response(Response { status: 200, request: "r1".to_owned(), body })
    };
    let outcome = |item, result| LotRecord::Outcome { item: ItemIndex(item), result };
    let failed = ItemResult::failed(ItemError::TargetLost, 3);
    let records = [
        (0, 0, vec![outcome(1, response("one")), outcome(1, response("twice"))]),
        (0, 1, vec![outcome(0, response("zero")), outcome(1, response("thrice"))]),
        (1, 0, vec![outcome(2, failed)]),
    ];
    for (lot, sequence, records) in records {
        let (writer, attempt) = ("batch-1".parse().unwrap(), "batch-1:1".parse().unwrap());
        let segment = Segment { writer, attempt, records };
        let key = key::segment(&id, LotIndex(lot), sequence);
        api.platform.create(&key, Bytes::from(segment.encode().unwrap())).await.unwrap();
    }
    for (lot, counts) in [(0, (2, 0)), (1, (0, 1))] {
        let counts = Counts { completed: counts.0, failed: counts.1 };
        let key = key::closed_lot(&id, LotIndex(lot), counts);
        api.platform.create(&key, Bytes::new()).await.unwrap();
    }
    let (_, job) = api.send(get(&format!("/v1/batches/{id}"))).await;
    assert_eq!(job["request_counts"], json!({"total": 3, "completed": 2, "failed": 1}));
    let output = job["output_file_id"].as_str().unwrap();
    let (status, content) = api.send_as(0, get(&format!("/v1/files/{output}/content"))).await;
    assert_eq!(status, StatusCode::OK);
    let lines: Vec<Value> = std::str::from_utf8(&content)
        .unwrap()
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let custom_ids: Vec<&str> =
        lines.iter().map(|line| line["custom_id"].as_str().unwrap()).collect();
    assert_eq!(custom_ids, ["shed-1", "shed-0", "shed-2"]);
    assert_eq!(lines[0]["response"]["body"]["text"], "one");
    assert_eq!(lines[2]["error"]["code"], "target_lost");
    assert_eq!(api.send_as(1, get(&format!("/v1/files/{output}"))).await.0, StatusCode::NOT_FOUND);

    let admin = admin_router(api.platform.clone());
    let response = admin.oneshot(get("/admin/jobs")).await.unwrap();
    let body = to_bytes(response.into_body(), MAX_BODY_BYTES).await.unwrap();
    let jobs: Value = serde_json::from_slice(&body).unwrap();
    let expected = json!({"id": id, "workspace": "pampeanos", "state": "open", "total": 3,
        "completed": 2, "failed": 1});
    assert_eq!(jobs["jobs"], json!([expected]));
}
