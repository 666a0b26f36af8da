//! Delays between attempts that fail one after the other.

use std::time::Duration;

use tokio::time;

/// Delay after the first failed call to the platform.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum delay, which is reached when a call never succeeds.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// A delay that doubles with each failure in sequence.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backoff {
    delay: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { delay: RETRY_DELAY }
    }
}

impl Backoff {
    /// Waits after a failure.
    pub(crate) async fn wait(&mut self) {
        time::sleep(self.delay).await;
        self.delay = MAX_RETRY_DELAY.min(self.delay * 2);
    }

    /// Begins anew after a success.
    pub(crate) fn reset(&mut self) {
        *self = Self::default();
    }
}
