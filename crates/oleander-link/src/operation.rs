//! One asynchronous `nng` operation at a time, awaited by a task.
//!
//! The library runs callbacks on its own threads, and freeing an operation waits for its callback.
//! The callback therefore gives up its handle before it wakes the task, and an operation that is
//! dropped while pending is leaked rather than freed from within its own callback.

use std::{mem, sync::Arc, time::Duration};

use nng::{Aio, AioResult, Context, Error, Message};
use parking_lot::Mutex;
use tokio::sync::oneshot;

type Waiter = Arc<Mutex<Option<oneshot::Sender<AioResult>>>>;

/// A reusable asynchronous operation.
pub(crate) struct Operation {
    aio: Option<Aio>,
    waiter: Waiter,
    pending: bool,
}

impl Operation {
    /// Allocates an operation.
    pub(crate) fn new() -> Result<Self, Error> {
        let waiter = Waiter::default();
        let wake = Arc::clone(&waiter);
        let aio = Aio::new(move |aio, result| {
            drop(aio);
            if let Some(sender) = wake.lock().take() {
                let _ = sender.send(result);
            }
        })?;
        Ok(Self { aio: Some(aio), waiter, pending: false })
    }

    /// Sends `message` on `context`; an error means that it was not sent.
    pub(crate) async fn send(
        &mut self,
        context: &Context,
        message: Message,
        timeout: Option<Duration>,
    ) -> Result<(), Error> {
        let done = self.prepare(timeout)?;
        context.send(self.aio()?, message).map_err(|(_, error)| error)?;
        match self.finish(done).await? {
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
        match self.finish(done).await? {
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

    async fn finish(&mut self, done: oneshot::Receiver<AioResult>) -> Result<AioResult, Error> {
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
