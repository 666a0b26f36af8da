//! Serves calls of peers with a fixed number of workers.
//!
//! Each worker receives a request, runs the handler to its end and sends the answer. While all
//! workers are busy, requests wait in the connections of their senders.

use std::{future::Future, marker::PhantomData, sync::Arc};

use nng::{
    Context, Error, Message, Protocol, Socket,
    options::{Options, RecvMaxSize},
};
use oleander_core::HostId;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    Link, LinkError, MAX_FRAME_BYTES,
    frame::{self, Frame, Kind, Nonce},
    link::End,
    operation::Operation,
};

/// The authenticated sender of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer(pub HostId);

/// A running server; dropping it closes the address and all its connections.
#[derive(Debug)]
pub struct Server {
    socket: Socket,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.socket.close();
    }
}

impl Link {
    /// Listens on `listen` (`ip:port`) and answers requests by `handler`, `workers` at a time.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Listen`] if the address can't be listened on.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn serve<Q, A, F, Fut>(
        &self,
        listen: &str,
        workers: usize,
        handler: F,
    ) -> Result<Server, LinkError>
    where
        Q: DeserializeOwned + Send + 'static,
        A: Serialize + Send + 'static,
        F: Fn(Peer, Q) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = A> + Send + 'static,
    {
        let failed = |e: Error| LinkError::Listen(format!("{listen}: {e}"));
        let socket = Socket::new(Protocol::Rep0).map_err(failed)?;
        socket.set_opt::<RecvMaxSize>(MAX_FRAME_BYTES).map_err(failed)?;
        let handler = Arc::new(handler);
        for _ in 0..workers.max(1) {
            let context = Context::new(&socket).map_err(failed)?;
            let operation = Operation::new().map_err(failed)?;
            let end = Arc::clone(&self.end);
            let handler = Arc::clone(&handler);
            let worker = Worker { end, context, operation, handler, request: PhantomData };
            tokio::spawn(worker.run());
        }
        socket.listen(&format!("tcp://{listen}")).map_err(failed)?;
        Ok(Server { socket })
    }
}

/// One worker of a server.
struct Worker<Q, F> {
    end: Arc<End>,
    context: Context,
    operation: Operation,
    handler: Arc<F>,
    request: PhantomData<fn(Q)>,
}

impl<Q, A, F, Fut> Worker<Q, F>
where
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
    F: Fn(Peer, Q) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = A> + Send + 'static,
{
    /// Answers requests until the socket is closed.
    async fn run(mut self) {
        loop {
            match self.operation.receive(&self.context, None).await {
                Ok(message) => self.answer(&message).await,
                Err(Error::Closed | Error::Canceled) => return,
                Err(error) => log::warn!("link server: {error}"),
            }
        }
    }

    async fn answer(&mut self, message: &[u8]) {
        let answer = match self.open(message) {
            Ok((nonce, peer, request)) => self.handle(nonce, peer, request).await,
            Err((nonce, error)) => {
                self.end.counters.add(&error);
                self.end.frame(refusal(&error), nonce, Vec::new())
            }
        };
        let Some(bytes) = self.seal(&answer) else { return };
        let sent = self.operation.send(&self.context, Message::from(&bytes[..]), None).await;
        if let Err(error) = sent {
            log::debug!("link server: answer not sent: {error}");
        }
    }

    fn open(&self, message: &[u8]) -> Result<(Nonce, Peer, Q), (Nonce, LinkError)> {
        let frame = Frame::open(message, &self.end.key).map_err(|e| (Nonce::default(), e))?;
        let nonce = frame.nonce;
        let now = (self.end.now)();
        frame.check_age(now, self.end.max_age).map_err(|e| (nonce, e))?;
        if frame.kind != Kind::Request {
            return Err((nonce, LinkError::Unauthenticated));
        }
        let request = frame::decode(&frame.payload).map_err(|e| (nonce, e))?;
        Ok((nonce, Peer(frame.sender), request))
    }

    /// Runs the handler in a task of its own, so that its panic costs no worker.
    async fn handle(&self, nonce: Nonce, peer: Peer, request: Q) -> Frame {
        let handler = Arc::clone(&self.handler);
        let answer = tokio::spawn(async move { handler(peer, request).await }).await;
        let payload = answer.ok().and_then(|answer| frame::encode(&answer).ok());
        match payload {
            Some(payload) => self.end.frame(Kind::Answer, nonce, payload),
            None => self.end.frame(Kind::Failed, nonce, Vec::new()),
        }
    }

    /// Seals `answer`, or a failure in its place if it exceeds the bound.
    fn seal(&self, answer: &Frame) -> Option<Vec<u8>> {
        answer.seal(&self.end.key).ok().or_else(|| {
            let failed = self.end.frame(Kind::Failed, answer.nonce, Vec::new());
            failed.seal(&self.end.key).ok()
        })
    }
}

/// The kind of answer that tells a sender why its request was not processed.
fn refusal(error: &LinkError) -> Kind {
    match error {
        LinkError::Version(_) => Kind::Version,
        LinkError::Codec(_) => Kind::Codec,
        _ => Kind::Unauthenticated,
    }
}
