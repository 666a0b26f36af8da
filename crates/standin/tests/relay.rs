//! TCP relay: effect of each fault on open and new connections.

#![allow(clippy::unwrap_used)]

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{WAIT_TIMEOUT, wait_until};
use standin::relay::{Action, Relay};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, timeout},
};

const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

async fn start_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    address
}

async fn start() -> Relay {
    Relay::start(start_echo().await).await.unwrap()
}

async fn echo(stream: &mut TcpStream) -> std::io::Result<u8> {
    stream.write_all(&[7]).await?;
    stream.read_u8().await
}

async fn connect(relay: &Relay) -> TcpStream {
    let mut stream = TcpStream::connect(relay.address()).await.unwrap();
    assert_eq!(echo(&mut stream).await.unwrap(), 7);
    stream
}

#[tokio::test]
async fn a_cut_closes_and_refuses_connections_until_pass() {
    let relay = start().await;
    let mut open = connect(&relay).await;
    relay.apply(Action::Cut).await;
    assert!(timeout(WAIT_TIMEOUT, echo(&mut open)).await.unwrap().is_err());
    assert!(TcpStream::connect(relay.address()).await.is_err());
    relay.apply(Action::Pass).await;
    connect(&relay).await;
}

#[tokio::test]
async fn a_reset_ends_open_connections_only() {
    let relay = start().await;
    let mut open = connect(&relay).await;
    relay.apply(Action::Reset).await;
    let error = timeout(WAIT_TIMEOUT, open.read_u8()).await.unwrap().unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    connect(&relay).await;
}

#[tokio::test]
async fn silenced_connections_stay_silent_while_new_ones_work() {
    let relay = start().await;
    let mut open = connect(&relay).await;
    relay.apply(Action::SilenceExisting).await;
    wait_until(async || relay.stats().silent == 1).await;
    connect(&relay).await;
    relay.apply(Action::Pass).await;
    assert!(timeout(SHORT_TIMEOUT, echo(&mut open)).await.is_err());
}

#[tokio::test]
async fn silence_all_makes_new_connections_silent_too() {
    let relay = start().await;
    relay.apply(Action::SilenceAll).await;
    let mut new = TcpStream::connect(relay.address()).await.unwrap();
    assert!(timeout(SHORT_TIMEOUT, echo(&mut new)).await.is_err());
    relay.apply(Action::Pass).await;
    connect(&relay).await;
}

#[tokio::test]
async fn a_delay_applies_to_each_direction() {
    let relay = start().await;
    let mut open = connect(&relay).await;
    relay.set_delay(Duration::from_millis(50));
    let sent = Instant::now();
    echo(&mut open).await.unwrap();
    assert!(sent.elapsed() >= Duration::from_millis(100));
}
