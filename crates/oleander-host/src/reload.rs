//! Reloading of settings on SIGHUP.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Calls `reload` on each SIGHUP for as long as the process runs.
///
/// # Errors
///
/// Returns an error if the signal handler can't be set.
///
/// # Panics
///
/// Panics outside a tokio runtime.
pub fn on_hangup<F: Fn() + Send + 'static>(reload: F) -> io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            reload();
        }
    });
    Ok(())
}
