//! What the binaries of the stand-ins share: binding, the ready line and signals.

use std::{
    io::{self, Write},
    net::SocketAddr,
};

use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
};

/// Binds `listen`, prints the ready line and serves until a signal or the stand-in's own end.
///
/// # Errors
///
/// Returns errors of binding, of the signal handlers and of serving.
pub async fn run<S>(listen: SocketAddr, serve: impl FnOnce(TcpListener) -> S) -> io::Result<()>
where
    S: Future<Output = io::Result<()>>,
{
    let listener = TcpListener::bind(listen).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    print_ready(listener.local_addr()?)?;
    tokio::select! {
        result = serve(listener) => result,
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
    }
}

fn print_ready(address: SocketAddr) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    writeln!(stdout, "listening {address}")?;
    stdout.flush()
}
