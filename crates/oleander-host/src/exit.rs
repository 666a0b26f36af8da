//! The time at which a stopping process ends its work.
//!
//! Whoever begins work that may last until a deadline asks first whether the process still runs
//! then. A process that isn't stopping has no exit time and allows any work.

use oleander_core::Time;
use tokio::{sync::watch, time};

use crate::clock;

/// When the work of this process ends, on the clock [`clock::steady`]; shared between clones.
#[derive(Debug, Clone)]
pub struct ExitTime {
    at: watch::Sender<Option<Time>>,
}

impl Default for ExitTime {
    fn default() -> Self {
        Self { at: watch::Sender::new(None) }
    }
}

impl ExitTime {
    /// Sets the time, or moves it to an earlier one; it is never put off, since work may have been
    /// refused for it.
    pub fn set(&self, at: Time) {
        self.at.send_if_modified(|current| {
            let is_earlier = current.is_none_or(|known| at < known);
            if is_earlier {
                *current = Some(at);
            }
            is_earlier
        });
    }

    /// The time; `None` while the process isn't stopping.
    #[must_use]
    pub fn get(&self) -> Option<Time> {
        *self.at.borrow()
    }

    /// Whether work that lasts until `deadline` at most can end before the process does.
    #[must_use]
    pub fn allows(&self, deadline: Time) -> bool {
        self.get().is_none_or(|exit| deadline <= exit)
    }

    /// Completes once the process is known to end its work before `deadline`.
    pub async fn earlier_than(&self, deadline: Time) {
        let mut receiver = self.at.subscribe();
        // Can't fail: `self` holds the sender, so the channel stays open.
        let _ = receiver.wait_for(|at| at.is_some_and(|exit| exit < deadline)).await;
    }

    /// Completes at the exit time.
    pub async fn reached(&self) {
        let mut receiver = self.at.subscribe();
        loop {
            let exit = *receiver.borrow_and_update();
            let Some(exit) = exit else {
                // As above.
                let _ = receiver.changed().await;
                continue;
            };
            let remaining = exit.since(clock::steady());
            tokio::select! {
                () = time::sleep(remaining.to_duration()) => return,
                _ = receiver.changed() => {}
            }
        }
    }
}
