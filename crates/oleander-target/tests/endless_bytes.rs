//! Calls to targets that send bytes without end, in a head or a body, until the connection is
//! closed.

#![allow(clippy::unwrap_used)]

#[path = "../../../platform/tests/support/endless.rs"]
mod endless;

use std::time::Duration;

use bytes::Bytes;
use oleander_target::{ConnectionMode, TargetClient, TargetError, Timeouts};

use crate::endless::EndlessServer;

/// Maximum size of a response that is read into memory.
const MAX_HELD_BYTES: usize = 16 << 20;
/// Time limits of the client under test.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a connection must be closed: that for the head and for the body.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(2_500);

const OK_HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const ERROR_HEAD: &str = "HTTP/1.1 500 Internal Server Error\r\n\r\n";
/// Responses whose head never ends.
const HEADS: [(&str, &str, &str); 3] = [
    ("no head", "", "x"),
    ("header lines", "HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
    ("header line", "HTTP/1.1 200 OK\r\nx-a: ", "b"),
];
/// Responses whose body never ends.
const BODIES: [(&str, &str, &str); 2] = [("body", OK_HEAD, "x"), ("error body", ERROR_HEAD, "x")];

fn client() -> TargetClient {
    let timeouts = Timeouts { idle: TIMEOUT, ..Timeouts::new() };
    TargetClient::new(timeouts.first_byte(TIMEOUT))
}

/// Checks that a call fails as a broken one does, and closes its connection.
fn assert_broken(name: &str, server: &EndlessServer, result: Result<(), TargetError>) {
    let broken = matches!(result, Err(TargetError::Interrupted(_) | TargetError::Timeout));
    assert!(broken, "{name}: {result:?}");
    server.next_closed().assert_within(name, MAX_HELD_BYTES, CLOSE_TIMEOUT);
}

async fn call(server: &EndlessServer) -> Result<(), TargetError> {
    let (address, body) = (server.address.to_string(), Bytes::from_static(b"{}"));
    client().call(&address, "v1/x", "r1", body, ConnectionMode::Dedicated).await.map(|_| ())
}

/// Reads a chat completion to its end.
async fn chat(server: &EndlessServer) -> Result<(), TargetError> {
    let (address, body) = (server.address.to_string(), Bytes::from_static(b"{}"));
    let mut stream = client().chat(&address, "r1", body, 0).await?;
    loop {
        stream.next().await?;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_whose_head_never_ends_is_left() {
    for (name, begin, repeated) in HEADS {
        let server = EndlessServer::start(begin, repeated);
        assert_broken(name, &server, call(&server).await);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_whose_body_never_ends_is_left() {
    for (name, begin, repeated) in BODIES {
        let server = EndlessServer::start(begin, repeated);
        assert_broken(name, &server, call(&server).await);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_chat_whose_head_or_error_body_never_ends_is_left() {
    for (name, begin, repeated) in HEADS.into_iter().chain([BODIES[1]]) {
        let server = EndlessServer::start(begin, repeated);
        assert_broken(name, &server, chat(&server).await);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_chat_whose_event_never_ends_is_left() {
    let comments = ("comments", OK_HEAD, ": x\n\n");
    let data = ("data lines", OK_HEAD, "data: x\n");
    for (name, begin, repeated) in [BODIES[0], comments, data] {
        let server = EndlessServer::start(begin, repeated);
        assert_broken(name, &server, chat(&server).await);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_request_whose_response_never_ends_is_left() {
    for (name, begin, repeated) in BODIES {
        let server = EndlessServer::start(begin, repeated);
        let load = client().read_load(&server.address.to_string()).await.map(|_| ());
        assert_broken(name, &server, load);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_target_that_sends_only_informational_responses_or_framing_is_left() {
    let informational = ("informational", "", "HTTP/1.1 103 Early Hints\r\n\r\n");
    for (name, begin, repeated) in [informational, ("chunk size", CHUNKED, "0")] {
        let server = EndlessServer::start(begin, repeated);
        assert_broken(name, &server, call(&server).await);
    }
}
