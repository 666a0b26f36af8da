//! The TCP relay: what open and new connections see under each fault.

#![allow(clippy::unwrap_used)]

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{WAIT_LIMIT, wait_until};
use standin::relay::{Action, Relay};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, timeout},
};

const BRIEF_WAIT: Duration = Duration::from_millis(200);

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
async fn a_cut_closes_refuses_and_heals() {
    let relay = start().await;
    let mut open = connect(&relay).await;
    relay.apply(Action::Cut).await;
    assert!(timeout(WAIT_LIMIT, echo(&mut open)).await.unwrap().is_err());
    assert!(TcpStream::connect(relay.address()).await.is_err());
    relay.apply(Action::Pass).await;
    connect(&relay).await;
}

#[tokio::test]
async fn a_reset_ends_open_connections_only() {
    let relay = start().await;
    let mut open = connect(&relay).await;
    relay.apply(Action::Reset).await;
    let error = timeout(WAIT_LIMIT, open.read_u8()).await.unwrap().unwrap_err();
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
    assert!(timeout(BRIEF_WAIT, echo(&mut open)).await.is_err());
}

#[tokio::test]
async fn under_full_silence_new_connections_are_silent_too() {
    let relay = start().await;
    relay.apply(Action::SilenceAll).await;
    let mut new = TcpStream::connect(relay.address()).await.unwrap();
    assert!(timeout(BRIEF_WAIT, echo(&mut new)).await.is_err());
    relay.apply(Action::Pass).await;
    connect(&relay).await;
}

#[tokio::test]
async fn a_delay_holds_each_direction() {
    let relay = start().await;
    let mut open = connect(&relay).await;
    relay.set_delay(Duration::from_millis(50));
    let sent = Instant::now();
    echo(&mut open).await.unwrap();
    assert!(sent.elapsed() >= Duration::from_millis(100));
}
