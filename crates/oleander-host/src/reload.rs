//! The signal that the settings file has changed.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Calls `reload` at each SIGHUP, for as long as the process runs.
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
