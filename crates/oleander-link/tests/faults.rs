//! Calls over a connection that stops transferring data, and replayed responses.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{
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

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_TIMEOUT: Duration = Duration::from_millis(300);

fn now() -> Time {
    Time(Span::from(SystemTime::now().duration_since(UNIX_EPOCH).unwrap()).0)
}

fn link(host: &str) -> Link {
    let key = LinkKey::from_secret(b"a shared secret of the test").unwrap();
    Link::new(host.parse().unwrap(), key, now)
}

fn free_address() -> String {
    oleander_ports::free_address().to_string()
}

fn serve_echo(address: &str) -> Server {
    link("server").serve(address, 4, |_, n: u64| async move { n }).unwrap()
}

/// Starts a proxy to `target`. When `silence` changes, existing connections stay open but transfer
/// nothing more; new connections work.
async fn start_proxy(target: String, silence: watch::Sender<u32>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        loop {
            let (client, _) = listener.accept().await.unwrap();
            let Ok(server) = TcpStream::connect(&target).await else { continue };
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::spawn(forward(client_read, server_write, silence.subscribe()));
            tokio::spawn(forward(server_read, client_write, silence.subscribe()));
        }
    });
    address
}

async fn forward<R, W>(mut from: R, mut to: W, mut silence: watch::Receiver<u32>)
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
    let proxy = start_proxy(address, silence.clone()).await;
    let caller = link("caller");
    for n in 0..3 {
        assert_eq!(caller.call(&proxy, &n, TEST_TIMEOUT).await, Ok(n));
        silence.send_modify(|count| *count += 1);
        let response: Result<u64, _> = caller.call(&proxy, &n, SHORT_TIMEOUT).await;
        assert!(matches!(response, Err(LinkError::NoResponse(_))), "{response:?}");
        assert_eq!(caller.call(&proxy, &n, TEST_TIMEOUT).await, Ok(n));
    }
}

/// Starts a peer that forwards the first request to `target` and replays its response to every
/// request.
fn start_replaying_peer(target: &str) -> String {
    let address = free_address();
    let server = Socket::new(Protocol::Rep0).unwrap();
    server.listen(&format!("tcp://{address}")).unwrap();
    let client = Socket::new(Protocol::Req0).unwrap();
    client.dial(&format!("tcp://{target}")).unwrap();
    thread::spawn(move || {
        client.send(server.recv().unwrap()).unwrap();
        let response = client.recv().unwrap();
        loop {
            server.send(response.clone()).unwrap();
            if server.recv().is_err() {
                return;
            }
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_replayed_response_is_rejected() {
    let address = free_address();
    let _server = serve_echo(&address);
    let peer = start_replaying_peer(&address);
    let caller = Arc::new(link("caller"));
    assert_eq!(caller.call(&peer, &1_u64, TEST_TIMEOUT).await, Ok(1_u64));
    let second: Result<u64, _> = caller.call(&peer, &2_u64, TEST_TIMEOUT).await;
    assert_eq!(second, Err(LinkError::Unauthenticated));
    assert_eq!(caller.counts().unauthenticated, 1);
}
