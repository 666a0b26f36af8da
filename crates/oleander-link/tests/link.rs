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
const ENOUGH: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(300);

fn now() -> Time {
    Time(Span::from(SystemTime::now().duration_since(UNIX_EPOCH).unwrap()).0)
}

fn early() -> Time {
    now() - Span::from_secs(61)
}

fn link(host: &str) -> Link {
    Link::new(host.parse().unwrap(), LinkKey::from_secret(SECRET).unwrap(), now)
}

fn free_address() -> String {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

fn serve_echo(address: &str, workers: usize) -> Server {
    let link = link("server");
    link.serve(address, workers, |Peer(host), n: u64| async move { (host.to_string(), n) }).unwrap()
}

async fn echo(link: &Link, address: &str, n: u64, timeout: Duration) -> Result<u64, LinkError> {
    link.call::<u64, (String, u64)>(address, &n, timeout).await.map(|(_, n)| n)
}

#[tokio::test]
async fn answers_name_the_caller() {
    let address = free_address();
    let _server = serve_echo(&address, 1);
    let answer = link("caller").call(&address, &7_u64, ENOUGH).await;
    assert_eq!(answer, Ok(("caller".to_owned(), 7_u64)));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_thousand_concurrent_calls_get_their_own_answers() {
    let address = free_address();
    let _server = serve_echo(&address, 16);
    let caller = link("caller");
    let calls: Vec<_> = (0..1_000)
        .map(|n| {
            let (caller, address) = (caller.clone(), address.clone());
            tokio::spawn(async move { echo(&caller, &address, n, ENOUGH).await })
        })
        .collect();
    for (n, call) in (0..).zip(calls) {
        assert_eq!(call.await.unwrap(), Ok(n));
    }
}

#[tokio::test]
async fn a_wrong_key_is_rejected_and_not_processed() {
    let address = free_address();
    let handled = Arc::new(AtomicU64::new(0));
    let seen = Arc::clone(&handled);
    let server = link("server");
    let _running = server
        .serve(&address, 1, move |_, n: u64| {
            seen.fetch_add(1, Ordering::SeqCst);
            async move { (String::new(), n) }
        })
        .unwrap();
    let key = LinkKey::from_secret(b"another secret, also long").unwrap();
    let stranger = Link::new("stranger".parse().unwrap(), key, now);
    assert_eq!(echo(&stranger, &address, 1, ENOUGH).await, Err(LinkError::Unauthenticated));
    assert_eq!(handled.load(Ordering::SeqCst), 0);
    assert_eq!(server.counts().unauthenticated, 1);
    assert_eq!(stranger.counts().unauthenticated, 1);
}

#[tokio::test]
async fn a_stale_request_is_rejected() {
    let address = free_address();
    let _server = serve_echo(&address, 1);
    let late = Link::new("late".parse().unwrap(), LinkKey::from_secret(SECRET).unwrap(), early);
    assert_eq!(echo(&late, &address, 1, ENOUGH).await, Err(LinkError::Unauthenticated));
}

#[tokio::test]
async fn another_payload_type_is_a_codec_error() {
    let address = free_address();
    let _server = serve_echo(&address, 1);
    let answer: Result<(String, u64), _> = link("caller").call(&address, &"text", ENOUGH).await;
    assert!(matches!(answer, Err(LinkError::Codec(_))), "{answer:?}");
}

#[tokio::test]
async fn an_oversized_request_is_not_sent() {
    let address = free_address();
    let _server = serve_echo(&address, 1);
    let large = vec![0_u8; MAX_FRAME_BYTES];
    let answer: Result<u64, _> = link("caller").call(&address, &large, ENOUGH).await;
    assert!(matches!(answer, Err(LinkError::TooLarge(_))), "{answer:?}");
}

#[tokio::test]
async fn a_refused_connection_is_unreachable() {
    let answer = echo(&link("caller"), &free_address(), 1, ENOUGH).await;
    assert!(matches!(answer, Err(LinkError::Unreachable(_))), "{answer:?}");
}

#[tokio::test]
async fn a_failing_handler_costs_no_worker() {
    let address = free_address();
    let server = link("server");
    let _running = server
        .serve(&address, 1, |_, n: u64| async move {
            assert_ne!(n, 0, "fails on purpose");
            (String::new(), n)
        })
        .unwrap();
    let caller = link("caller");
    let failed = echo(&caller, &address, 0, ENOUGH).await;
    assert!(matches!(failed, Err(LinkError::NoResponse(_))), "{failed:?}");
    assert_eq!(echo(&caller, &address, 1, ENOUGH).await, Ok(1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_peer_is_bounded_and_the_next_call_succeeds() {
    let address = free_address();
    let silent = TcpListener::bind(&address).unwrap();
    let caller = link("caller");
    let start = Instant::now();
    let answer = echo(&caller, &address, 1, SHORT).await;
    assert!(matches!(answer, Err(LinkError::Unreachable(_))), "{answer:?}");
    assert!(start.elapsed() < ENOUGH, "{:?}", start.elapsed());
    drop(silent);
    let _server = serve_echo(&address, 1);
    assert_eq!(echo(&caller, &address, 2, ENOUGH).await, Ok(2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_handler_gives_no_answer_in_time() {
    let address = free_address();
    let server = link("server");
    let _running = server
        .serve(&address, 2, |_, n: u64| async move {
            if n == 0 {
                tokio::time::sleep(ENOUGH).await;
            }
            (String::new(), n)
        })
        .unwrap();
    let caller = link("caller");
    let answer = echo(&caller, &address, 0, SHORT).await;
    assert!(matches!(answer, Err(LinkError::NoResponse(_))), "{answer:?}");
    assert_eq!(echo(&caller, &address, 3, ENOUGH).await, Ok(3));
    assert_eq!(caller.counts().no_response, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_succeed_after_a_server_restart() {
    let address = free_address();
    let caller = link("caller");
    for n in 0..3 {
        let server = serve_echo(&address, 1);
        let start = Instant::now();
        while echo(&caller, &address, n, ENOUGH).await != Ok(n) {
            assert!(start.elapsed() < ENOUGH, "no answer after restart {n}");
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
