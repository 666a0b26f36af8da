//! A TCP connection that limits what is read without yielding any content.
//!
//! Informational responses, header lines, chunk sizes, chunk extensions and trailers are consumed
//! without any content, and a peer can send them without end. The limit applies from one content to
//! the next, whose size is not limited here.

use std::{
    io::{Error, Result},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::unwritten::Unwritten;

/// Maximum number of bytes read without content; several times the read buffer of a connection.
const MAX_BYTES_WITHOUT_CONTENT: usize = 2 << 20;

/// Counts the bytes that a connection reads; clones share the count.
#[derive(Debug, Clone, Default)]
pub struct ReadLimit {
    bytes: Arc<AtomicUsize>,
}

impl ReadLimit {
    /// Starts counting again, after content or for a new response.
    pub fn reset(&self) {
        self.bytes.store(0, Ordering::Relaxed);
    }

    fn record(&self, bytes: usize) -> Result<()> {
        let before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes > MAX_BYTES_WITHOUT_CONTENT {
            return Err(Error::other("too many bytes without content"));
        }
        Ok(())
    }
}

/// A connection whose reads fail once its limit is exceeded, and that tells what is unwritten.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    limit: ReadLimit,
    unwritten: Unwritten,
}

impl LimitedStream {
    /// Limits the reads of `stream`.
    #[must_use]
    pub fn new(stream: TcpStream, limit: ReadLimit) -> Self {
        let unwritten = Unwritten::of(&stream);
        Self { stream, limit, unwritten }
    }

    /// What is unwritten, also after the stream has been moved.
    #[must_use]
    pub fn unwritten(&self) -> Unwritten {
        self.unwritten.clone()
    }

    pub(crate) const fn stream(&self) -> &TcpStream {
        &self.stream
    }

    pub(crate) const fn limit(&self) -> &ReadLimit {
        &self.limit
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.limit.record(buffer.filled().len() - before))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.unwritten.record(bytes.len(), &written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        let length = buffers.iter().map(|buffer| buffer.len()).sum();
        self.unwritten.record(length, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
