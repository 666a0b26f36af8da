//! A connector whose connections limit what they read without content.

use std::task::{Context, Poll};

use futures_util::future::{MapOk, TryFutureExt};
use http::Uri;
use hyper_util::{
    client::legacy::connect::{Connected, Connection, HttpConnector},
    rt::TokioIo,
};
use tokio::net::TcpStream;
use tower::Service;

use crate::read_limit::{LimitedStream, ReadLimit};

type Connecting = <HttpConnector as Service<Uri>>::Future;
type Limit = fn(TokioIo<TcpStream>) -> TokioIo<LimitedStream>;

/// Opens connections that limit what they read without content.
#[derive(Debug, Clone)]
pub struct LimitedConnector {
    inner: HttpConnector,
}

impl LimitedConnector {
    /// Limits the connections of `inner`.
    #[must_use]
    pub const fn new(inner: HttpConnector) -> Self {
        Self { inner }
    }
}

impl Service<Uri> for LimitedConnector {
    type Response = TokioIo<LimitedStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = MapOk<Connecting, Limit>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        self.inner.call(uri).map_ok(limit_reads)
    }
}

fn limit_reads(stream: TokioIo<TcpStream>) -> TokioIo<LimitedStream> {
    TokioIo::new(LimitedStream::new(stream.into_inner(), ReadLimit::default()))
}

impl Connection for LimitedStream {
    fn connected(&self) -> Connected {
        self.stream().connected().extra(self.limit().clone()).extra(self.unwritten())
    }
}
