//! Asynchronous `nng` operations as futures, one at a time.
//!
//! `nng` runs callbacks on its own threads, and freeing an operation waits for its callback. To
//! avoid a deadlock, the callback drops its handle before it wakes the task, and an operation that
//! is dropped while pending is leaked: otherwise it could be freed from within its own callback.

use std::{mem, sync::Arc, time::Duration};

use nng::{Aio, AioResult, Context, Error, Message};
use parking_lot::Mutex;
use tokio::sync::oneshot;

type Waiter = Arc<Mutex<Option<oneshot::Sender<AioResult>>>>;

/// A reusable asynchronous send or receive operation.
pub(crate) struct Operation {
    aio: Option<Aio>,
    waiter: Waiter,
    pending: bool,
}

impl Operation {
    /// Allocates an operation.
    pub(crate) fn new() -> Result<Self, Error> {
        let waiter = Waiter::default();
        let callback_waiter = Arc::clone(&waiter);
        let aio = Aio::new(move |aio, result| {
            drop(aio);
            if let Some(sender) = callback_waiter.lock().take() {
                let _ = sender.send(result);
            }
        })?;
        Ok(Self { aio: Some(aio), waiter, pending: false })
    }

    /// Sends `message` on `context`; on an error it was not sent.
    pub(crate) async fn send(
        &mut self,
        context: &Context,
        message: Message,
        timeout: Option<Duration>,
    ) -> Result<(), Error> {
        let done = self.prepare(timeout)?;
        context.send(self.aio()?, message).map_err(|(_, error)| error)?;
        match self.wait(done).await? {
            AioResult::Send(Ok(())) => Ok(()),
            AioResult::Send(Err((_, error))) => Err(error),
            _ => Err(Error::IncorrectState),
        }
    }

    /// Receives a message on `context`.
    pub(crate) async fn receive(
        &mut self,
        context: &Context,
        timeout: Option<Duration>,
    ) -> Result<Message, Error> {
        let done = self.prepare(timeout)?;
        context.recv(self.aio()?)?;
        match self.wait(done).await? {
            AioResult::Recv(result) => result,
            _ => Err(Error::IncorrectState),
        }
    }

    fn aio(&self) -> Result<&Aio, Error> {
        self.aio.as_ref().ok_or(Error::Closed)
    }

    fn prepare(
        &mut self,
        timeout: Option<Duration>,
    ) -> Result<oneshot::Receiver<AioResult>, Error> {
        self.aio()?.set_timeout(timeout)?;
        let (sender, done) = oneshot::channel();
        *self.waiter.lock() = Some(sender);
        Ok(done)
    }

    async fn wait(&mut self, done: oneshot::Receiver<AioResult>) -> Result<AioResult, Error> {
        self.pending = true;
        let result = done.await.map_err(|_| Error::Canceled);
        self.pending = false;
        result
    }
}

impl Drop for Operation {
    fn drop(&mut self) {
        if self.pending {
            mem::forget(self.aio.take());
        }
    }
}
