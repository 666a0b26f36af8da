//! The seam between the admin listener and a process.

use std::future::Future;

use super::HostStatus;

/// What a process tells operators, and does for them.
pub trait AdminState: Send + Sync + 'static {
    /// The present status.
    fn status(&self) -> impl Future<Output = HostStatus> + Send;

    /// Starts draining; returns at once.
    fn drain(&self) -> impl Future<Output = ()> + Send;
}
