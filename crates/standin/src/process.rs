//! What the binaries of the stand-ins share: binding, the ready line and signals.

use std::{
    io::{self, Write},
    net::SocketAddr,
};

use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
};

/// Binds `listen`, prints `listening ADDRESS` and serves until a signal or the stand-in's own end.
///
/// # Errors
///
/// Returns errors of binding, of the signal handlers and of serving.
pub async fn run<S>(listen: SocketAddr, serve: impl FnOnce(TcpListener) -> S) -> io::Result<()>
where
    S: Future<Output = io::Result<()>>,
{
    let listener = TcpListener::bind(listen).await?;
    run_until_signal(listener.local_addr()?, serve(listener)).await
}

/// Prints `listening ADDRESS` and serves until a signal or the stand-in's own end.
///
/// # Errors
///
/// Returns errors of the signal handlers and of serving.
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

/// Prints an address in use, so that whoever started the process can read it.
///
/// # Errors
///
/// Returns the error of standard output.
pub fn print_address(role: &str, address: SocketAddr) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    writeln!(stdout, "{role} {address}")?;
    stdout.flush()
}
