//! A client connection that the relay forwards.

use std::{future, io, time::Duration};

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::{mpsc, watch},
    time::{self, Instant},
};

use crate::relay::{Mode, RelayHandle, State};

const MAX_CHUNK_BYTES: usize = 16 * 1024;
const MAX_DELAYED_CHUNKS: usize = 256;

/// How the relay ends the forwarding of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ForwardEnd {
    Close,
    Reset,
    Silence,
}

/// A client connection, with the state of the relay when it was accepted.
#[derive(Debug)]
pub(super) struct Connection {
    relay: RelayHandle,
    initial: State,
}

/// Received data, and when to write it to the other end.
#[derive(Debug)]
struct Chunk {
    due: Instant,
    bytes: Bytes,
}

impl Connection {
    pub(super) fn new(relay: RelayHandle) -> Self {
        let initial = *relay.state.borrow();
        Self { relay, initial }
    }

    pub(super) async fn forward(self, mut client: TcpStream) {
        if self.initial.mode == Mode::Silence {
            return self.stay_silent().await;
        }
        let Ok(mut server) = TcpStream::connect(self.relay.upstream).await else {
            return;
        };
        // TCP_NODELAY only affects latency; the connection works without it.
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let end = tokio::select! {
            () = forward_both(&mut client, &mut server, &self.relay.state) => ForwardEnd::Close,
            end = self.wait_for_fault() => end,
        };
        match end {
            ForwardEnd::Close => {}
            ForwardEnd::Reset => {
                let _ = client.set_zero_linger();
                let _ = server.set_zero_linger();
            }
            ForwardEnd::Silence => self.stay_silent().await,
        }
    }

    async fn wait_for_fault(&self) -> ForwardEnd {
        let mut states = self.relay.state.subscribe();
        loop {
            let state = *states.borrow_and_update();
            if let Some(end) = self.end_by_fault(state) {
                return end;
            }
            if states.changed().await.is_err() {
                return ForwardEnd::Close;
            }
        }
    }

    fn end_by_fault(&self, state: State) -> Option<ForwardEnd> {
        if state.mode == Mode::Cut {
            return Some(ForwardEnd::Close);
        }
        if state.resets > self.initial.resets {
            return Some(ForwardEnd::Reset);
        }
        (state.silences > self.initial.silences).then_some(ForwardEnd::Silence)
    }

    /// Keeps the connection open without reading or writing, until the relay is dropped.
    async fn stay_silent(&self) {
        self.relay.stats.send_modify(|stats| stats.silent += 1);
        future::pending::<()>().await;
    }
}

async fn forward_both(
    client: &mut TcpStream,
    server: &mut TcpStream,
    state: &watch::Sender<State>,
) {
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let upload = copy(client_read, server_write, state);
    let download = copy(server_read, client_write, state);
    // An error in one direction closes both; an end of stream only closes its own direction.
    let _ = tokio::try_join!(upload, download);
}

async fn copy(
    reader: ReadHalf<'_>,
    writer: WriteHalf<'_>,
    state: &watch::Sender<State>,
) -> io::Result<()> {
    let (chunks, received) = mpsc::channel(MAX_DELAYED_CHUNKS);
    tokio::try_join!(read_chunks(reader, chunks, state), write_chunks(writer, received))?;
    Ok(())
}

async fn read_chunks(
    mut reader: ReadHalf<'_>,
    chunks: mpsc::Sender<Chunk>,
    state: &watch::Sender<State>,
) -> io::Result<()> {
    let mut buffer = vec![0; MAX_CHUNK_BYTES];
    loop {
        let length = reader.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        let delay: Duration = state.borrow().delay;
        let chunk =
            Chunk { due: Instant::now() + delay, bytes: Bytes::copy_from_slice(&buffer[..length]) };
        if chunks.send(chunk).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut writer: WriteHalf<'_>,
    mut chunks: mpsc::Receiver<Chunk>,
) -> io::Result<()> {
    while let Some(chunk) = chunks.recv().await {
        if chunk.due > Instant::now() {
            time::sleep_until(chunk.due).await;
        }
        writer.write_all(&chunk.bytes).await?;
    }
    writer.shutdown().await
}
