//! The server for calls of peers, with a fixed number of workers.
//!
//! Each worker receives a request, runs the handler to completion and sends the response. While all
//! workers are busy, requests queue in the connections of their senders.

use std::{future::Future, marker::PhantomData, sync::Arc};

use nng::{
    Context, Error, Message, Protocol, Socket,
    options::{Options, RecvMaxSize},
};
use oleander_core::HostId;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    Link, LinkError, MAX_FRAME_BYTES,
    frame::{self, Frame, FrameKind, Nonce},
    link::Shared,
    operation::Operation,
};

/// The authenticated sender of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer(pub HostId);

/// A running server; dropping it closes the listener and all connections.
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
    /// Serves requests on the address `listen` (`ip:port`), at most `workers` at once.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Listen`] if the server can't listen on the address.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn serve<Req, Res, F, Fut>(
        &self,
        listen: &str,
        workers: usize,
        handler: F,
    ) -> Result<Server, LinkError>
    where
        Req: DeserializeOwned + Send + 'static,
        Res: Serialize + Send + 'static,
        F: Fn(Peer, Req) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Res> + Send + 'static,
    {
        let listen_error = |e: Error| LinkError::Listen(format!("{listen}: {e}"));
        let socket = Socket::new(Protocol::Rep0).map_err(listen_error)?;
        socket.set_opt::<RecvMaxSize>(MAX_FRAME_BYTES).map_err(listen_error)?;
        let handler = Arc::new(handler);
        for _ in 0..workers.max(1) {
            let context = Context::new(&socket).map_err(listen_error)?;
            let operation = Operation::new().map_err(listen_error)?;
            let shared = Arc::clone(&self.shared);
            let handler = Arc::clone(&handler);
            let worker = Worker { shared, context, operation, handler, request: PhantomData };
            tokio::spawn(worker.run());
        }
        socket.listen(&format!("tcp://{listen}")).map_err(listen_error)?;
        Ok(Server { socket })
    }
}

/// A worker of a server.
struct Worker<Req, F> {
    shared: Arc<Shared>,
    context: Context,
    operation: Operation,
    handler: Arc<F>,
    request: PhantomData<fn(Req)>,
}

impl<Req, Res, F, Fut> Worker<Req, F>
where
    Req: DeserializeOwned + Send + 'static,
    Res: Serialize + Send + 'static,
    F: Fn(Peer, Req) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Res> + Send + 'static,
{
    /// Serves requests until the socket is closed.
    async fn run(mut self) {
        loop {
            match self.operation.receive(&self.context, None).await {
                Ok(message) => self.respond(&message).await,
                Err(Error::Closed | Error::Canceled) => return,
                Err(error) => log::warn!("link server: {error}"),
            }
        }
    }

    async fn respond(&mut self, message: &[u8]) {
        let response = match self.decode_request(message) {
            Ok((nonce, peer, request)) => self.run_handler(nonce, peer, request).await,
            Err((nonce, error)) => {
                self.shared.counters.record(&error);
                self.shared.frame(rejection_kind(&error), nonce, Vec::new())
            }
        };
        let Some(bytes) = self.encode_response(&response) else { return };
        let sent = self.operation.send(&self.context, Message::from(&bytes[..]), None).await;
        if let Err(error) = sent {
            log::debug!("link server: response not sent: {error}");
        }
    }

    fn decode_request(&self, message: &[u8]) -> Result<(Nonce, Peer, Req), (Nonce, LinkError)> {
        let frame = Frame::decode(message, &self.shared.key).map_err(|e| (Nonce::default(), e))?;
        let nonce = frame.nonce;
        let now = (self.shared.now)();
        frame.check_age(now, self.shared.max_age).map_err(|e| (nonce, e))?;
        if frame.kind != FrameKind::Request {
            return Err((nonce, LinkError::Unauthenticated));
        }
        let request = frame::decode_message(&frame.payload).map_err(|e| (nonce, e))?;
        Ok((nonce, Peer(frame.sender), request))
    }

    /// Runs the handler in a separate task, so that a panic does not end the worker.
    async fn run_handler(&self, nonce: Nonce, peer: Peer, request: Req) -> Frame {
        let handler = Arc::clone(&self.handler);
        let response = tokio::spawn(async move { handler(peer, request).await }).await;
        let payload = response.ok().and_then(|response| frame::encode_message(&response).ok());
        match payload {
            Some(payload) => self.shared.frame(FrameKind::Response, nonce, payload),
            None => self.shared.frame(FrameKind::Failed, nonce, Vec::new()),
        }
    }

    /// Encodes `response`, or a failure frame if the response is too large.
    fn encode_response(&self, response: &Frame) -> Option<Vec<u8>> {
        response.encode(&self.shared.key).ok().or_else(|| {
            let failed = self.shared.frame(FrameKind::Failed, response.nonce, Vec::new());
            failed.encode(&self.shared.key).ok()
        })
    }
}

/// The frame kind that reports to the sender why its request was rejected.
fn rejection_kind(error: &LinkError) -> FrameKind {
    match error {
        LinkError::Version(_) => FrameKind::Version,
        LinkError::Codec(_) => FrameKind::Codec,
        _ => FrameKind::Unauthenticated,
    }
}
