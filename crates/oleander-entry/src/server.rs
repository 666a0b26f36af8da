//! The listener for callers, and the shutdown sequence of the host.

use std::{io, pin::pin, sync::Arc, time::Duration};

use axum::Router;
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{
        conn::auto::Builder,
        graceful::{GracefulShutdown, Watcher},
    },
    service::TowerToHyperService,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};

use crate::app::App;

const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 10_000;
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time for open connections to end after the listener is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(60);
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time for active runs to end and buffered outcomes to be committed at the platform.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves callers until the host has drained.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub(crate) async fn serve(app: Arc<App>, router: Router) -> io::Result<()> {
    let listener = TcpListener::bind(app.settings.listen).await?;
    let connections = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut address_retired = pin!(retire_address(Arc::clone(&app)));
    loop {
        tokio::select! {
            accepted = accept(&listener, &permits) => match accepted {
                Ok((stream, permit)) => {
                    serve_connection(stream, router.clone(), connections.watcher(), permit);
                }
                Err(error) => {
                    log::warn!("accepting a connection failed: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            },
            () = &mut address_retired => break,
        }
    }
    drop(listener);
    tokio::select! {
        closed = tokio::time::timeout(CLOSE_TIMEOUT, connections.shutdown()) => {
            if closed.is_err() {
                log::warn!("connections were still open after {CLOSE_TIMEOUT:?}");
            }
        }
        () = app.shutdown.stopped() => {}
    }
    finish_runs(&app).await;
    Ok(())
}

/// Waits until the number of connections is below the limit, then accepts one.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.map_err(io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    Ok((stream, permit))
}

/// Waits for the drain to start, stops handing out this host's address, and returns when the
/// address has expired at all callers.
///
/// A caller that is in a call when its list of addresses expires renews the list after the call, at
/// one of the old addresses; it has as long again for that.
async fn retire_address(app: Arc<App>) {
    app.shutdown.started().await;
    app.hosts.lock().set_draining();
    log::info!("draining: address no longer handed out");
    let ttl = app.settings.entry.address_ttl.to_duration();
    tokio::select! {
        () = tokio::time::sleep(ttl * 2) => {}
        () = app.shutdown.stopped() => {}
    }
}

/// Waits until all runs have ended, those without a connection included, and all outcomes are
/// committed.
async fn finish_runs(app: &App) {
    let flushed = async {
        while app.runs.len() > 0 || app.shards.backlog() > 0 {
            tokio::time::sleep(FLUSH_POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        result = tokio::time::timeout(FLUSH_TIMEOUT, flushed) => {
            if result.is_err() {
                log::error!("{} outcomes are not committed", app.shards.backlog());
            }
        }
        () = app.shutdown.stopped() => {}
    }
}

/// Serves one connection; closes it if no byte arrives within [`HEADER_TIMEOUT`].
fn serve_connection(
    stream: TcpStream,
    router: Router,
    watcher: Watcher,
    permit: OwnedSemaphorePermit,
) {
    let _ = stream.set_nodelay(true);
    tokio::spawn(async move {
        let _permit = permit;
        let mut first_byte = [0];
        let peeked = tokio::time::timeout(HEADER_TIMEOUT, stream.peek(&mut first_byte)).await;
        if !matches!(peeked, Ok(Ok(1))) {
            return;
        }
        let service = TowerToHyperService::new(router);
        let mut builder = Builder::new(TokioExecutor::new());
        builder.http1().timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
        builder.http2().timer(TokioTimer::new());
        let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        if let Err(error) = watcher.watch(connection).await {
            log::debug!("connection ended: {error}");
        }
    });
}
