//! Shutdown phases of a process.
//!
//! A signal or an operator starts draining: the host's address is no longer given to callers,
//! requests in flight finish, then the process stops. The phase never goes back.

use std::sync::{Arc, OnceLock};

use oleander_core::Time;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

use crate::clock;

/// Phase of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Phase {
    /// Accepts work.
    #[default]
    Running,
    /// Finishes requests in flight; the host's address is no longer given to callers.
    Draining,
    /// Ends as soon as possible.
    Stopped,
}

/// Shutdown phase of a process, shared between clones.
#[derive(Debug, Clone)]
pub struct Shutdown {
    phase: watch::Sender<Phase>,
    started_at: Arc<OnceLock<Time>>,
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
        Self { phase: watch::Sender::new(Phase::Running), started_at: Arc::default() }
    }

    /// The current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// A receiver of phase changes.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Starts draining.
    pub fn start(&self) {
        self.advance(Phase::Draining);
    }

    /// Stops the process; it need not have drained.
    pub fn stop(&self) {
        self.advance(Phase::Stopped);
    }

    /// Waits until draining has started.
    pub async fn started(&self) {
        self.wait_for(Phase::Draining).await;
    }

    /// When draining started, on the clock [`clock::steady`]; possibly before this process had
    /// ended its start.
    #[must_use]
    pub fn started_at(&self) -> Option<Time> {
        self.started_at.get().copied()
    }

    /// Waits until the process must stop.
    pub async fn stopped(&self) {
        self.wait_for(Phase::Stopped).await;
    }

    /// Starts draining on the first SIGTERM or SIGINT and stops on the second.
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
        let shutdown = self.clone();
        tokio::spawn(async move {
            for phase in [Phase::Draining, Phase::Stopped] {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
                log::info!("signal received, advancing to phase {phase:?}");
                shutdown.advance(phase);
            }
        });
        Ok(())
    }

    fn advance(&self, phase: Phase) {
        self.started_at.get_or_init(clock::steady);
        self.phase.send_if_modified(|current| {
            let changed = phase > *current;
            *current = phase.max(*current);
            changed
        });
    }

    async fn wait_for(&self, phase: Phase) {
        let mut receiver = self.subscribe();
        // Can't fail: `self` holds the sender, so the channel stays open.
        let _ = receiver.wait_for(|current| *current >= phase).await;
    }
}
