//! The request socket to one peer.
//!
//! All calls to a peer share one socket, each with its own context. The socket is retired when its
//! connection is lost or a call on it fails or times out: a half-open connection never recovers,
//! although a new connection to the same peer may work. Calls in flight on a retired socket
//! continue until they complete or time out.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use nng::{
    Context, Error, Message, PipeEvent, Protocol, Socket,
    options::{Options, RecvMaxSize, protocol::reqrep::ResendTime},
};
use tokio::{net::TcpStream, time};

use crate::{LinkError, MAX_FRAME_BYTES, operation::Operation};

/// A request socket that is connected to one peer.
#[derive(Debug)]
pub(crate) struct Connection {
    socket: Socket,
    retired: Arc<AtomicBool>,
}

fn connect_error(error: &io::Error) -> LinkError {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => LinkError::Refused(error.to_string()),
        _ => LinkError::Unreachable(error.to_string()),
    }
}

impl Connection {
    /// Connects to `peer`.
    ///
    /// A plain TCP connect comes first, since it reports a refused connection immediately.
    pub(crate) async fn dial(peer: &str) -> Result<Self, LinkError> {
        TcpStream::connect(peer).await.map_err(|error| connect_error(&error))?;
        let retired = Arc::new(AtomicBool::new(false));
        let socket = open_socket(peer, &retired).map_err(unreachable_error)?;
        Ok(Self { socket, retired })
    }

    /// Excludes this connection from new calls.
    pub(crate) fn retire(&self) {
        self.retired.store(true, Ordering::Release);
    }

    /// Whether new calls need another connection.
    pub(crate) fn is_retired(&self) -> bool {
        self.retired.load(Ordering::Acquire)
    }

    /// Sends a request frame and waits for the response frame.
    pub(crate) async fn exchange(
        &self,
        frame: &[u8],
        deadline: time::Instant,
    ) -> Result<Message, LinkError> {
        let context = Context::new(&self.socket).map_err(unreachable_error)?;
        let mut operation = Operation::new().map_err(unreachable_error)?;
        let sent = operation.send(&context, Message::from(frame), Some(remaining(deadline))).await;
        self.retire_on_error(sent.as_ref().err());
        sent.map_err(unreachable_error)?;
        let response = operation.receive(&context, Some(remaining(deadline))).await;
        self.retire_on_error(response.as_ref().err());
        response.map_err(|e| LinkError::NoResponse(e.to_string()))
    }

    fn retire_on_error(&self, error: Option<&Error>) {
        if error.is_some() {
            self.retire();
        }
    }
}

fn open_socket(peer: &str, retired: &Arc<AtomicBool>) -> Result<Socket, Error> {
    let socket = Socket::new(Protocol::Req0)?;
    socket.set_opt::<ResendTime>(None)?;
    socket.set_opt::<RecvMaxSize>(MAX_FRAME_BYTES)?;
    let retired = Arc::clone(retired);
    socket.pipe_notify(move |_, event| {
        if event == PipeEvent::RemovePost {
            retired.store(true, Ordering::Release);
        }
    })?;
    socket.dial_async(&format!("tcp://{peer}"))?;
    Ok(socket)
}

/// Time remaining until `deadline`; at least 1 ms, because `nng` does not wait at all for zero.
fn remaining(deadline: time::Instant) -> Duration {
    deadline.saturating_duration_since(time::Instant::now()).max(Duration::from_millis(1))
}

fn unreachable_error(error: Error) -> LinkError {
    LinkError::Unreachable(error.to_string())
}
