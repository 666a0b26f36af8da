//! HTTP server of the stand-ins.
//!
//! A stop closes open connections without a graceful shutdown, as if the process had been killed.

use std::{convert::Infallible, io, net::SocketAddr};

use axum::{Router, body::Body, response::Response};
use hyper::{Request, body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};
use tower::ServiceExt;

/// Response extension that makes the server close the connection instead of responding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CloseConnection;

/// A response in place of which the server closes the connection.
#[must_use]
pub fn close_connection() -> Response {
    let mut response = Response::new(Body::empty());
    response.extensions_mut().insert(CloseConnection);
    response
}

/// Serves `router` until `stopped` resolves, then closes all connections.
///
/// # Errors
///
/// Returns the error of accepting a connection.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    stopped: impl Future<Output = ()>,
) -> io::Result<()> {
    let mut connections = JoinSet::new();
    tokio::pin!(stopped);
    loop {
        tokio::select! {
            () = &mut stopped => return Ok(()),
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let (stream, _) = accepted?;
                connections.spawn(serve_connection(stream, router.clone()));
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, router: Router) {
    // TCP_NODELAY only affects latency; the connection works without it.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| respond(router.clone(), request));
    let builder = auto::Builder::new(TokioExecutor::new());
    // An error closes the connection, which the client notices.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

async fn respond(router: Router, request: Request<Incoming>) -> io::Result<Response> {
    let result: Result<Response, Infallible> = router.oneshot(request.map(Body::new)).await;
    let Ok(response) = result;
    if response.extensions().get::<CloseConnection>().is_some() {
        return Err(io::Error::other("connection closed by an injected fault"));
    }
    Ok(response)
}

/// A stand-in that runs as a task of this process until it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<io::Result<()>>,
}

impl Server {
    /// Starts a stand-in on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the listener.
    pub async fn start<F, S>(serve: F) -> io::Result<Self>
    where
        F: FnOnce(TcpListener) -> S,
        S: Future<Output = io::Result<()>> + Send + 'static,
    {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), serve).await
    }

    /// Starts a stand-in on `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the listener.
    pub async fn start_at<F, S>(address: SocketAddr, serve: F) -> io::Result<Self>
    where
        F: FnOnce(TcpListener) -> S,
        S: Future<Output = io::Result<()>> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Self { address, task: tokio::spawn(serve(listener)) })
    }

    /// Address that the stand-in listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the stand-in has ended by itself.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.task.is_finished()
    }

    /// Stops the stand-in and waits until the port is free.
    pub async fn stop(mut self) {
        self.task.abort();
        // Whether the task was aborted or had ended before, the port is free now.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}
