//! Interface between the admin listener and a process.

use std::future::Future;

use super::HostStatus;

/// Status and operations that a process offers to operators.
pub trait AdminState: Send + Sync + 'static {
    /// The current status.
    fn status(&self) -> impl Future<Output = HostStatus> + Send;

    /// Starts draining; returns without waiting for its end.
    fn drain(&self) -> impl Future<Output = ()> + Send;
}
