//! System tests of malformed and slow input: the entry refuses the request or closes the
//! connection in time, and concurrent calls are not slowed.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::StatusCode;
use oleander_check::{CALLER_KEY, Deployment, DeploymentOptions};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Above the entry's timeout for request headers, which is 5 s.
const MAX_HEADERS_TIME: Duration = Duration::from_secs(10);
/// Above the entry's timeout for request bodies, which is 10 s.
const MAX_BODY_TIME: Duration = Duration::from_secs(15);
const SEND_INTERVAL: Duration = Duration::from_millis(200);
const CONNECTIONS: usize = 200;
const CONCURRENT_CALLS: usize = 20;
/// Well above the latency of a concurrent call, which is below half a second.
const MAX_CALL_LATENCY: Duration = Duration::from_secs(5);

async fn connect(deployment: &Deployment) -> TcpStream {
    TcpStream::connect(deployment.entry_address(0)).await.unwrap()
}

/// Sends `head`, then `part` at intervals, until the entry closes the connection; returns what it
/// sent. Panics if the connection is still open after `max_time`.
async fn send_slowly(
    deployment: &Deployment,
    head: &str,
    part: &str,
    max_time: Duration,
) -> String {
    let mut stream = connect(deployment).await;
    stream.write_all(head.as_bytes()).await.unwrap();
    let (mut reader, mut writer) = stream.split();
    let mut response = Vec::new();
    let write = async {
        while writer.write_all(part.as_bytes()).await.is_ok() {
            tokio::time::sleep(SEND_INTERVAL).await;
        }
        std::future::pending::<()>().await;
    };
    let read = async {
        // A reset counts as a close, so errors are ignored.
        let _ = reader.read_to_end(&mut response).await;
    };
    let ended = tokio::time::timeout(max_time, async {
        tokio::select! {
            () = write => {}
            () = read => {}
        }
    });
    assert!(ended.await.is_ok(), "connection still open after {max_time:?}");
    String::from_utf8_lossy(&response).into_owned()
}

/// Sends calls to the same entry one after another and checks the latency of each.
async fn concurrent_calls(deployment: &Deployment, prefix: &str) {
    for n in 0..CONCURRENT_CALLS {
        let start = Instant::now();
        let key = format!("{prefix}-{n}");
        let response = deployment.chat(0, &key, &key, n % 2 == 0).await.unwrap();
        assert_eq!(response.status, StatusCode::OK, "{}", response.body);
        assert!(start.elapsed() < MAX_CALL_LATENCY, "{key} took {:?}", start.elapsed());
    }
}

/// Status code of a raw response; `None` if there is no status line.
fn status(response: &str) -> Option<u16> {
    response.split(' ').nth(1)?.parse().ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_with_slow_headers_are_closed_and_slow_no_other_call() {
    let deployment = Deployment::start("slow-headers", &DeploymentOptions::new()).await;
    let head = "POST /v1/chat/completions HTTP/1.1\r\n";
    let slow =
        (0..CONNECTIONS).map(|_| send_slowly(&deployment, head, "x-a: b\r\n", MAX_HEADERS_TIME));
    let (responses, ()) = tokio::join!(join_all(slow), concurrent_calls(&deployment, "k"));
    for response in responses {
        assert!(matches!(status(&response), None | Some(400..=499)), "{response}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_bodies_are_refused_and_slow_no_other_call() {
    let deployment = Deployment::start("endless", &DeploymentOptions::new()).await;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nidempotency-key: endless\r\n\
         authorization: Bearer {CALLER_KEY}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let endless =
        (0..CONNECTIONS).map(|_| send_slowly(&deployment, &head, "1\r\n \r\n", MAX_BODY_TIME));
    let (responses, ()) = tokio::join!(join_all(endless), concurrent_calls(&deployment, "k"));
    for response in responses {
        assert_eq!(status(&response), Some(408), "{response}");
        assert!(response.contains("\"ran\":\"no\""), "{response}");
    }
    let read = deployment.get(0, "v1/results/endless").await.unwrap();
    assert_eq!(read.status, StatusCode::NOT_FOUND, "{}", read.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_are_closed_and_slow_no_other_call() {
    let deployment = Deployment::start("idle", &DeploymentOptions::new()).await;
    let idle = (0..CONNECTIONS).map(|_| async {
        let mut stream = connect(&deployment).await;
        let mut received = Vec::new();
        let closed = tokio::time::timeout(MAX_HEADERS_TIME, stream.read_to_end(&mut received));
        assert!(closed.await.is_ok(), "connection still open after {MAX_HEADERS_TIME:?}");
    });
    tokio::join!(join_all(idle), concurrent_calls(&deployment, "k"));
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_headers_are_refused() {
    let deployment = Deployment::start("headers", &DeploymentOptions::new()).await;
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n";
    let line = format!("x-long: {}\r\n", "a".repeat(16 << 10));
    let large = (0..10).map(|_| send_slowly(&deployment, head, &line, MAX_HEADERS_TIME));
    let (responses, ()) = tokio::join!(join_all(large), concurrent_calls(&deployment, "k"));
    for response in responses {
        assert!(matches!(status(&response), None | Some(400..=499)), "{response}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_http_is_refused() {
    let deployment = Deployment::start("not-http", &DeploymentOptions::new()).await;
    for head in ["\u{0}\u{1}\u{2}\r\n\r\n", "GET\r\n\r\n", "POST / HTTP/9.9\r\n\r\n"] {
        let response = send_slowly(&deployment, head, "", MAX_HEADERS_TIME).await;
        assert!(matches!(status(&response), None | Some(400..=505)), "{response}");
    }
    concurrent_calls(&deployment, "k").await;
}
