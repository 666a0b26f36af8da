//! Requests to a platform that sends bytes without end, in a head or a body, until the connection
//! is closed.

#![allow(clippy::unwrap_used)]

#[path = "../../../platform/tests/support/endless.rs"]
mod endless;

use std::time::Duration;

use oleander_core::Revision;
use oleander_platform::{HttpPlatform, ObjectStore, PlatformError};

use crate::endless::EndlessServer;

/// Maximum size of a response that is read into memory: several times the largest value, 1 MiB.
const MAX_HELD_BYTES: usize = 16 << 20;
/// Time limit of a request, with an allowance for timers that fire late.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(3_500);

const OK_HEAD: &str = "HTTP/1.1 200 OK\r\nx-revision: 3\r\n\r\n";
const RESPONSES: [(&str, &str, &str); 3] = [
    ("header lines", "HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
    ("body", OK_HEAD, "x"),
    ("error body", "HTTP/1.1 500 Internal Server Error\r\n\r\n", "x"),
];

fn assert_no_response<T: std::fmt::Debug>(
    name: &str,
    server: &EndlessServer,
    result: &Result<T, PlatformError>,
) {
    assert!(matches!(result, Err(PlatformError::NoResponse(_))), "{name}: {result:?}");
    server.next_closed().assert_within(name, MAX_HELD_BYTES, CLOSE_TIMEOUT);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_read_whose_response_never_ends_is_left() {
    for (name, begin, repeated) in RESPONSES {
        let server = EndlessServer::start(begin, repeated);
        let platform = HttpPlatform::new(&server.address.to_string());
        assert_no_response(name, &server, &platform.get("config/document").await);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_watch_whose_line_never_ends_is_left() {
    let blank_lines = ("blank lines", OK_HEAD, "\n");
    for (name, begin, repeated) in RESPONSES.into_iter().take(2).chain([blank_lines]) {
        let server = EndlessServer::start(begin, repeated);
        let platform = HttpPlatform::new(&server.address.to_string());
        assert_no_response(name, &server, &platform.changed("config/", Revision(1)).await);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_platform_that_sends_only_informational_responses_is_left() {
    let server = EndlessServer::start("", "HTTP/1.1 103 Early Hints\r\n\r\n");
    let platform = HttpPlatform::new(&server.address.to_string());
    assert_no_response("informational", &server, &platform.get("config/document").await);
}
