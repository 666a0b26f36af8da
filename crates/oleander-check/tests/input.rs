//! Bad input on the wire: a clear refusal or a close within bounds, and others not slowed.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::StatusCode;
use oleander_check::{CALLER_KEY, Deployment, DeploymentOptions};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Headers must come whole within 5 s, bodies within 10 s.
const HEADERS_BOUND: Duration = Duration::from_secs(10);
const BODY_BOUND: Duration = Duration::from_secs(15);
const DRIP: Duration = Duration::from_millis(200);
const CONNECTIONS: usize = 200;
const OTHERS: usize = 20;
/// Generous bound on other calls at the same time; a call takes less than half a second.
const CALL_BOUND: Duration = Duration::from_secs(5);

async fn connect(deployment: &Deployment) -> TcpStream {
    TcpStream::connect(deployment.entry_address(0)).await.unwrap()
}

/// Sends `head`, then `drip` again and again, until the other end responds or closes.
async fn drip(deployment: &Deployment, head: &str, drip: &str, bound: Duration) -> String {
    let mut stream = connect(deployment).await;
    stream.write_all(head.as_bytes()).await.unwrap();
    let (mut reader, mut writer) = stream.split();
    let mut response = Vec::new();
    let write = async {
        while writer.write_all(drip.as_bytes()).await.is_ok() {
            tokio::time::sleep(DRIP).await;
        }
        std::future::pending::<()>().await;
    };
    let read = async {
        // A reset ends the connection just as a close does.
        let _ = reader.read_to_end(&mut response).await;
    };
    let ended = tokio::time::timeout(bound, async {
        tokio::select! {
            () = write => {}
            () = read => {}
        }
    });
    assert!(ended.await.is_ok(), "still open after {bound:?}");
    String::from_utf8_lossy(&response).into_owned()
}

/// Calls through the same entry, each within the bound.
async fn others(deployment: &Deployment, prefix: &str) {
    for n in 0..OTHERS {
        let start = Instant::now();
        let key = format!("{prefix}-{n}");
        let response = deployment.chat(0, &key, &key, n % 2 == 0).await.unwrap();
        assert_eq!(response.status, StatusCode::OK, "{}", response.body);
        assert!(start.elapsed() < CALL_BOUND, "{key} took {:?}", start.elapsed());
    }
}

/// Status code of a raw response, if there is one.
fn status(response: &str) -> Option<u16> {
    response.split(' ').nth(1)?.parse().ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_headers_are_closed_and_slow_nobody() {
    let deployment = Deployment::start("slow-headers", &DeploymentOptions::new()).await;
    let head = "POST /v1/chat/completions HTTP/1.1\r\n";
    let slow = (0..CONNECTIONS).map(|_| drip(&deployment, head, "x-a: b\r\n", HEADERS_BOUND));
    let (responses, ()) = tokio::join!(join_all(slow), others(&deployment, "k"));
    for response in responses {
        assert!(matches!(status(&response), None | Some(400..=499)), "{response}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_never_end_are_refused_and_slow_nobody() {
    let deployment = Deployment::start("endless", &DeploymentOptions::new()).await;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nidempotency-key: endless\r\n\
         authorization: Bearer {CALLER_KEY}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let endless = (0..CONNECTIONS).map(|_| drip(&deployment, &head, "1\r\n \r\n", BODY_BOUND));
    let (responses, ()) = tokio::join!(join_all(endless), others(&deployment, "k"));
    for response in responses {
        assert_eq!(status(&response), Some(408), "{response}");
        assert!(response.contains("\"ran\":\"no\""), "{response}");
    }
    let read = deployment.get(0, "v1/results/endless").await.unwrap();
    assert_eq!(read.status, StatusCode::NOT_FOUND, "{}", read.body);
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_are_closed_and_slow_nobody() {
    let deployment = Deployment::start("idle", &DeploymentOptions::new()).await;
    let idle = (0..CONNECTIONS).map(|_| async {
        let mut stream = connect(&deployment).await;
        let mut rest = Vec::new();
        let closed = tokio::time::timeout(HEADERS_BOUND, stream.read_to_end(&mut rest));
        assert!(closed.await.is_ok(), "still open after {HEADERS_BOUND:?}");
    });
    tokio::join!(join_all(idle), others(&deployment, "k"));
}

#[tokio::test(flavor = "multi_thread")]
async fn oversized_headers_are_refused() {
    let deployment = Deployment::start("headers", &DeploymentOptions::new()).await;
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n";
    let line = format!("x-long: {}\r\n", "a".repeat(16 << 10));
    let large = (0..10).map(|_| drip(&deployment, head, &line, HEADERS_BOUND));
    let (responses, ()) = tokio::join!(join_all(large), others(&deployment, "k"));
    for response in responses {
        assert!(matches!(status(&response), None | Some(400..=499)), "{response}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_not_http_is_refused() {
    let deployment = Deployment::start("not-http", &DeploymentOptions::new()).await;
    for head in ["\u{0}\u{1}\u{2}\r\n\r\n", "GET\r\n\r\n", "POST / HTTP/9.9\r\n\r\n"] {
        let response = drip(&deployment, head, "", HEADERS_BOUND).await;
        assert!(matches!(status(&response), None | Some(400..=505)), "{response}");
    }
    others(&deployment, "k").await;
}
