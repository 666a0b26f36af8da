//! Connections that go silent and answers that are replayed.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{
    net::TcpListener as StdListener,
    sync::Arc,
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use nng::{Protocol, Socket};
use oleander_core::{Span, Time};
use oleander_link::{Link, LinkError, LinkKey, Server};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

const ENOUGH: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(300);

fn now() -> Time {
    Time(Span::from(SystemTime::now().duration_since(UNIX_EPOCH).unwrap()).0)
}

fn link(host: &str) -> Link {
    let key = LinkKey::from_secret(b"a shared secret of the test").unwrap();
    Link::new(host.parse().unwrap(), key, now)
}

fn free_address() -> String {
    StdListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

fn serve_echo(address: &str) -> Server {
    link("server").serve(address, 4, |_, n: u64| async move { n }).unwrap()
}

/// Relays connections; those opened before `silence` is set stay open and carry nothing more.
async fn relay(target: String, silence: watch::Sender<u32>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (near, _) = listener.accept().await.unwrap();
            let Ok(far) = TcpStream::connect(&target).await else { continue };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::spawn(pump(near_read, far_write, silence.subscribe()));
            tokio::spawn(pump(far_read, near_write, silence.subscribe()));
        }
    });
    address
}

async fn pump<R, W>(mut from: R, mut to: W, mut silence: watch::Receiver<u32>)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut buffer = vec![0; 4096];
    loop {
        tokio::select! {
            biased;
            _ = silence.changed() => std::future::pending().await,
            read = from.read(&mut buffer) => match read {
                Ok(n) if n > 0 => to.write_all(&buffer[..n]).await.unwrap(),
                _ => return,
            },
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_that_goes_silent_is_replaced() {
    let address = free_address();
    let _server = serve_echo(&address);
    let silence = watch::Sender::new(0);
    let relayed = relay(address, silence.clone()).await;
    let caller = link("caller");
    for n in 0..3 {
        assert_eq!(caller.call(&relayed, &n, ENOUGH).await, Ok(n));
        silence.send_modify(|count| *count += 1);
        let answer: Result<u64, _> = caller.call(&relayed, &n, SHORT).await;
        assert!(matches!(answer, Err(LinkError::NoResponse(_))), "{answer:?}");
        assert_eq!(caller.call(&relayed, &n, ENOUGH).await, Ok(n));
    }
}

/// A peer that passes the first request on and answers all by that one answer.
fn replay(target: &str) -> String {
    let address = free_address();
    let front = Socket::new(Protocol::Rep0).unwrap();
    front.listen(&format!("tcp://{address}")).unwrap();
    let back = Socket::new(Protocol::Req0).unwrap();
    back.dial(&format!("tcp://{target}")).unwrap();
    thread::spawn(move || {
        back.send(front.recv().unwrap()).unwrap();
        let answer = back.recv().unwrap();
        loop {
            front.send(answer.clone()).unwrap();
            if front.recv().is_err() {
                return;
            }
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replayed_answer_is_rejected() {
    let address = free_address();
    let _server = serve_echo(&address);
    let replayed = replay(&address);
    let caller = Arc::new(link("caller"));
    assert_eq!(caller.call(&replayed, &1_u64, ENOUGH).await, Ok(1_u64));
    let second: Result<u64, _> = caller.call(&replayed, &2_u64, ENOUGH).await;
    assert_eq!(second, Err(LinkError::Unauthenticated));
    assert_eq!(caller.counts().unauthenticated, 1);
}
