//! Calls between two links over loopback.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use oleander_core::{Span, Time};
use oleander_link::{Link, LinkError, LinkKey, MAX_FRAME_BYTES, Peer, Server};

const SECRET: &[u8] = b"a shared secret of the test";
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

fn now() -> Time {
    Time(Span::from(SystemTime::now().duration_since(UNIX_EPOCH).unwrap()).0)
}

fn slow_clock() -> Time {
    now() - Span::from_secs(61)
}

fn link(host: &str) -> Link {
    Link::new(host.parse().unwrap(), LinkKey::from_secret(SECRET).unwrap(), now)
}

fn free_address() -> String {
    oleander_ports::free_address().to_string()
}

fn serve_echo(address: &str, workers: usize) -> Server {
    let link = link("server");
    link.serve(address, workers, |Peer(host), n: u64| async move { (host.to_string(), n) }).unwrap()
}

async fn echo(link: &Link, address: &str, n: u64, timeout: Duration) -> Result<u64, LinkError> {
    link.call::<u64, (String, u64)>(address, &n, timeout).await.map(|(_, n)| n)
}

#[tokio::test]
async fn handlers_receive_the_name_of_the_caller() {
    let address = free_address();
    let _server = serve_echo(&address, 1);
    let response = link("caller").call(&address, &7_u64, TEST_TIMEOUT).await;
    assert_eq!(response, Ok(("caller".to_owned(), 7_u64)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_calls_get_their_own_responses() {
    let address = free_address();
    let _server = serve_echo(&address, 16);
    let caller = link("caller");
    let calls: Vec<_> = (0..1_000)
        .map(|n| {
            let (caller, address) = (caller.clone(), address.clone());
            tokio::spawn(async move { echo(&caller, &address, n, TEST_TIMEOUT).await })
        })
        .collect();
    for (n, call) in (0..).zip(calls) {
        assert_eq!(call.await.unwrap(), Ok(n));
    }
}

#[tokio::test]
async fn a_request_with_a_wrong_key_is_rejected_and_not_processed() {
    let address = free_address();
    let handled = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&handled);
    let server_link = link("server");
    let _server = server_link
        .serve(&address, 1, move |_, n: u64| {
            counter.fetch_add(1, Ordering::SeqCst);
            async move { (String::new(), n) }
        })
        .unwrap();
    let key = LinkKey::from_secret(b"another secret, also long").unwrap();
    let other = Link::new("other".parse().unwrap(), key, now);
    assert_eq!(echo(&other, &address, 1, TEST_TIMEOUT).await, Err(LinkError::Unauthenticated));
    assert_eq!(handled.load(Ordering::SeqCst), 0);
    assert_eq!(server_link.counts().unauthenticated, 1);
    assert_eq!(other.counts().unauthenticated, 1);
}

#[tokio::test]
async fn a_stale_request_is_rejected() {
    let address = free_address();
    let _server = serve_echo(&address, 1);
    let slow =
        Link::new("slow".parse().unwrap(), LinkKey::from_secret(SECRET).unwrap(), slow_clock);
    assert_eq!(echo(&slow, &address, 1, TEST_TIMEOUT).await, Err(LinkError::Unauthenticated));
}

#[tokio::test]
async fn another_payload_type_is_a_codec_error() {
    let address = free_address();
    let _server = serve_echo(&address, 1);
    let response: Result<(String, u64), _> =
        link("caller").call(&address, &"text", TEST_TIMEOUT).await;
    assert!(matches!(response, Err(LinkError::Codec(_))), "{response:?}");
}

#[tokio::test]
async fn an_oversized_request_is_not_sent() {
    let address = free_address();
    let _server = serve_echo(&address, 1);
    let large = vec![0_u8; MAX_FRAME_BYTES];
    let response: Result<u64, _> = link("caller").call(&address, &large, TEST_TIMEOUT).await;
    assert!(matches!(response, Err(LinkError::TooLarge(_))), "{response:?}");
}

#[tokio::test]
async fn a_refused_connection_is_told_as_such() {
    let response = echo(&link("caller"), &free_address(), 1, TEST_TIMEOUT).await;
    assert!(matches!(response, Err(LinkError::Refused(_))), "{response:?}");
}

#[tokio::test]
async fn a_panic_in_a_handler_does_not_end_the_worker() {
    let address = free_address();
    let server_link = link("server");
    let _server = server_link
        .serve(&address, 1, |_, n: u64| async move {
            assert_ne!(n, 0, "intended panic");
            (String::new(), n)
        })
        .unwrap();
    let caller = link("caller");
    let failed = echo(&caller, &address, 0, TEST_TIMEOUT).await;
    assert!(matches!(failed, Err(LinkError::NoResponse(_))), "{failed:?}");
    assert_eq!(echo(&caller, &address, 1, TEST_TIMEOUT).await, Ok(1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_to_a_silent_peer_times_out_and_the_next_call_succeeds() {
    let address = free_address();
    let silent = TcpListener::bind(&address).unwrap();
    let caller = link("caller");
    let start = Instant::now();
    let response = echo(&caller, &address, 1, SHORT_TIMEOUT).await;
    assert!(matches!(response, Err(LinkError::Unreachable(_))), "{response:?}");
    assert!(start.elapsed() < TEST_TIMEOUT, "{:?}", start.elapsed());
    drop(silent);
    let _server = serve_echo(&address, 1);
    assert_eq!(echo(&caller, &address, 2, TEST_TIMEOUT).await, Ok(2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_to_a_slow_handler_times_out() {
    let address = free_address();
    let server_link = link("server");
    let _server = server_link
        .serve(&address, 2, |_, n: u64| async move {
            if n == 0 {
                tokio::time::sleep(TEST_TIMEOUT).await;
            }
            (String::new(), n)
        })
        .unwrap();
    let caller = link("caller");
    let response = echo(&caller, &address, 0, SHORT_TIMEOUT).await;
    assert!(matches!(response, Err(LinkError::NoResponse(_))), "{response:?}");
    assert_eq!(echo(&caller, &address, 3, TEST_TIMEOUT).await, Ok(3));
    assert_eq!(caller.counts().no_response, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_succeed_after_a_server_restart() {
    let address = free_address();
    let caller = link("caller");
    for n in 0..3 {
        let server = serve_echo(&address, 1);
        let start = Instant::now();
        while echo(&caller, &address, n, TEST_TIMEOUT).await != Ok(n) {
            assert!(start.elapsed() < TEST_TIMEOUT, "no response after restart {n}");
        }
        drop(server);
    }
}

#[test]
fn the_key_is_not_printed() {
    let key = LinkKey::from_secret(SECRET).unwrap();
    assert_eq!(format!("{key:?}"), "LinkKey(..)");
    assert!(matches!(LinkKey::from_secret(b"short"), Err(LinkError::Key(_))));
}
