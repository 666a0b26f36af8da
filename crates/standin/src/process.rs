//! Shared code of the stand-in binaries: binding, printing the address, and signals.

use std::{
    io::{self, Write},
    net::SocketAddr,
};

use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
};

/// Binds `listen`, prints `listening ADDRESS` and serves until SIGTERM, SIGINT or the end of
/// `serve`.
///
/// # Errors
///
/// Returns the error of binding, of a signal handler, of standard output or of `serve`.
pub async fn run<S>(listen: SocketAddr, serve: impl FnOnce(TcpListener) -> S) -> io::Result<()>
where
    S: Future<Output = io::Result<()>>,
{
    let listener = TcpListener::bind(listen).await?;
    run_until_signal(listener.local_addr()?, serve(listener)).await
}

/// Prints `listening ADDRESS` and serves until SIGTERM, SIGINT or the end of `serve`.
///
/// # Errors
///
/// Returns the error of a signal handler, of standard output or of `serve`.
pub async fn run_until_signal(
    address: SocketAddr,
    serve: impl Future<Output = io::Result<()>>,
) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    print_address("listening", address)?;
    tokio::select! {
        result = serve => result,
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
    }
}

/// Prints `ROLE ADDRESS` to standard output, where the parent process reads the address.
///
/// # Errors
///
/// Returns the error of writing to standard output.
pub fn print_address(role: &str, address: SocketAddr) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    writeln!(stdout, "{role} {address}")?;
    stdout.flush()
}
