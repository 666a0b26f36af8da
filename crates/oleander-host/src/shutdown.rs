//! The phases of a process, from start to exit.
//!
//! A signal or an operator starts draining: handed-out addresses run out, requests under way end,
//! then the process stops. The phase never goes back.

use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

/// Phase of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Phase {
    /// Accepts work.
    #[default]
    Running,
    /// Finishes what it has; its addresses are no longer handed out.
    Draining,
    /// Ends at once.
    Stopped,
}

/// Tells all parts of a process which phase it is in; clones share it.
#[derive(Debug, Clone)]
pub struct Shutdown {
    phase: watch::Sender<Phase>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}

impl Shutdown {
    /// A running process.
    #[must_use]
    pub fn new() -> Self {
        Self { phase: watch::Sender::new(Phase::Running) }
    }

    /// The present phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// A channel that follows the phase.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Starts draining.
    pub fn start(&self) {
        self.advance(Phase::Draining);
    }

    /// Ends the process's work.
    pub fn stop(&self) {
        self.advance(Phase::Stopped);
    }

    /// Waits until draining has started.
    pub async fn started(&self) {
        self.reached(Phase::Draining).await;
    }

    /// Waits until the process must end.
    pub async fn stopped(&self) {
        self.reached(Phase::Stopped).await;
    }

    /// Starts draining at the first SIGTERM or SIGINT and stops at the second.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal handlers can't be set.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn handle_signals(&self) -> std::io::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let drain = self.clone();
        tokio::spawn(async move {
            for phase in [Phase::Draining, Phase::Stopped] {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
                log::info!("signal received, phase {phase:?}");
                drain.advance(phase);
            }
        });
        Ok(())
    }

    fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let forward = phase > *current;
            *current = phase.max(*current);
            forward
        });
    }

    async fn reached(&self, phase: Phase) {
        let mut watch = self.subscribe();
        // The sender is a part of `self`, so the channel stays open.
        let _ = watch.wait_for(|current| *current >= phase).await;
    }
}
