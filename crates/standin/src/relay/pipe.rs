//! One connection through the relay.

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

const CHUNK_BYTES: usize = 16 * 1024;
const CHUNKS_IN_FLIGHT: usize = 256;

/// How a connection ends, or goes silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Close,
    Reset,
    Silence,
}

/// One connection, with what it knew when it was accepted.
#[derive(Debug)]
pub(super) struct Link {
    relay: RelayHandle,
    born: State,
}

/// A chunk on its way, due at the other end at a given time.
#[derive(Debug)]
struct Chunk {
    due: Instant,
    bytes: Bytes,
}

impl Link {
    pub(super) fn new(relay: RelayHandle) -> Self {
        let born = *relay.state.borrow();
        Self { relay, born }
    }

    pub(super) async fn carry(self, mut client: TcpStream) {
        if self.born.mode == Mode::Silence {
            return self.stay_silent().await;
        }
        let Ok(mut server) = TcpStream::connect(self.relay.to).await else {
            return;
        };
        // Sockets that refuse the option still carry the connection.
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let fate = tokio::select! {
            () = pass_both(&mut client, &mut server, &self.relay.state) => Fate::Close,
            fate = self.wait_fate() => fate,
        };
        match fate {
            Fate::Close => {}
            Fate::Reset => {
                let _ = client.set_zero_linger();
                let _ = server.set_zero_linger();
            }
            Fate::Silence => self.stay_silent().await,
        }
    }

    async fn wait_fate(&self) -> Fate {
        let mut states = self.relay.state.subscribe();
        loop {
            let state = *states.borrow_and_update();
            if let Some(fate) = self.fate(state) {
                return fate;
            }
            if states.changed().await.is_err() {
                return Fate::Close;
            }
        }
    }

    fn fate(&self, state: State) -> Option<Fate> {
        if state.mode == Mode::Cut {
            return Some(Fate::Close);
        }
        if state.resets > self.born.resets {
            return Some(Fate::Reset);
        }
        (state.silences > self.born.silences).then_some(Fate::Silence)
    }

    /// Holds both ends open without reading or writing until the relay ends.
    async fn stay_silent(&self) {
        self.relay.stats.send_modify(|stats| stats.silent += 1);
        future::pending::<()>().await;
    }
}

async fn pass_both(client: &mut TcpStream, server: &mut TcpStream, state: &watch::Sender<State>) {
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let up = pass(client_read, server_write, state);
    let down = pass(server_read, client_write, state);
    // Either error closes both ends; an end of stream only closes its own direction.
    let _ = tokio::try_join!(up, down);
}

async fn pass(
    reader: ReadHalf<'_>,
    writer: WriteHalf<'_>,
    state: &watch::Sender<State>,
) -> io::Result<()> {
    let (chunks, due) = mpsc::channel(CHUNKS_IN_FLIGHT);
    tokio::try_join!(read_chunks(reader, chunks, state), write_chunks(writer, due))?;
    Ok(())
}

async fn read_chunks(
    mut reader: ReadHalf<'_>,
    chunks: mpsc::Sender<Chunk>,
    state: &watch::Sender<State>,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
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

async fn write_chunks(mut writer: WriteHalf<'_>, mut due: mpsc::Receiver<Chunk>) -> io::Result<()> {
    while let Some(chunk) = due.recv().await {
        if chunk.due > Instant::now() {
            time::sleep_until(chunk.due).await;
        }
        writer.write_all(&chunk.bytes).await?;
    }
    writer.shutdown().await
}
