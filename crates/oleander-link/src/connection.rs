//! The request socket to one peer.
//!
//! A socket is shared by all calls to its peer, each with a context of its own. It is retired when
//! its connection is lost or a call on it timed out, because a connection can go silent for good
//! while new ones work. Calls under way on a retired socket run to their own end.

use std::{
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

/// A request socket dialled to one peer.
#[derive(Debug)]
pub(crate) struct Connection {
    socket: Socket,
    retired: Arc<AtomicBool>,
}

impl Connection {
    /// Dials `peer`, after a plain connect that reports a refusal at once.
    pub(crate) async fn dial(peer: &str) -> Result<Self, LinkError> {
        TcpStream::connect(peer).await.map_err(|e| LinkError::Unreachable(e.to_string()))?;
        let retired = Arc::new(AtomicBool::new(false));
        let socket = open_socket(peer, &retired).map_err(unreachable)?;
        Ok(Self { socket, retired })
    }

    /// Keeps new calls off this connection.
    pub(crate) fn retire(&self) {
        self.retired.store(true, Ordering::Release);
    }

    /// Whether new calls must dial anew.
    pub(crate) fn is_retired(&self) -> bool {
        self.retired.load(Ordering::Acquire)
    }

    /// Sends one frame and waits for the frame that answers it.
    pub(crate) async fn exchange(
        &self,
        frame: &[u8],
        deadline: time::Instant,
    ) -> Result<Message, LinkError> {
        let context = Context::new(&self.socket).map_err(unreachable)?;
        let mut operation = Operation::new().map_err(unreachable)?;
        let sent = operation.send(&context, Message::from(frame), Some(left(deadline))).await;
        self.retire_on(sent.as_ref().err());
        sent.map_err(unreachable)?;
        let answer = operation.receive(&context, Some(left(deadline))).await;
        self.retire_on(answer.as_ref().err());
        answer.map_err(|e| LinkError::NoResponse(e.to_string()))
    }

    fn retire_on(&self, error: Option<&Error>) {
        if error.is_some() {
            self.retire();
        }
    }
}

fn open_socket(peer: &str, retired: &Arc<AtomicBool>) -> Result<Socket, Error> {
    let socket = Socket::new(Protocol::Req0)?;
    socket.set_opt::<ResendTime>(None)?;
    socket.set_opt::<RecvMaxSize>(MAX_FRAME_BYTES)?;
    let lost = Arc::clone(retired);
    socket.pipe_notify(move |_, event| {
        if event == PipeEvent::RemovePost {
            lost.store(true, Ordering::Release);
        }
    })?;
    socket.dial_async(&format!("tcp://{peer}"))?;
    Ok(socket)
}

/// Time left until `deadline`, at least a millisecond because zero means no wait at all.
fn left(deadline: time::Instant) -> Duration {
    deadline.saturating_duration_since(time::Instant::now()).max(Duration::from_millis(1))
}

fn unreachable(error: Error) -> LinkError {
    LinkError::Unreachable(error.to_string())
}
