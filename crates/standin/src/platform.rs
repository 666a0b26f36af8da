//! Stand-in for the platform: its object store, and its list of hosts, which lags behind changes.

mod faults;
mod hosts;
mod routes;
mod store;
mod watch;

use std::{future, io, sync::Arc};

use clap::Args;
use parking_lot::Mutex;
use tokio::{net::TcpListener, sync::watch as channel};

pub use faults::Faults;
pub use store::Stats;

use crate::{platform::store::Store, server};

/// Settings of the platform stand-in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Args)]
pub struct Options {
    /// Initial delay of each call, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub delay_ms: u64,
    /// Initial lag of the list of hosts behind changes, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub hosts_lag_ms: u64,
}

/// Shared state of the platform stand-in, which outlives the server.
///
/// Tests stop the server and start another one with the same objects.
#[derive(Debug, Clone)]
pub struct Platform {
    store: Arc<Mutex<Store>>,
    faults: channel::Sender<Faults>,
    revision: channel::Sender<u64>,
}

/// Serves a new platform stand-in.
///
/// # Errors
///
/// Returns the error of accepting a connection.
pub async fn serve(listener: TcpListener, options: Options) -> io::Result<()> {
    Platform::new(options).serve(listener).await
}

impl Platform {
    /// A platform without objects and hosts, with these settings.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let faults = Faults {
            delay_ms: options.delay_ms,
            hosts_lag_ms: options.hosts_lag_ms,
            ..Faults::default()
        };
        Self {
            store: Arc::default(),
            faults: channel::Sender::new(faults),
            revision: channel::Sender::new(0),
        }
    }

    /// Serves the HTTP interface on `listener`.
    ///
    /// # Errors
    ///
    /// Returns the error of accepting a connection.
    pub async fn serve(self, listener: TcpListener) -> io::Result<()> {
        server::serve(listener, routes::router(self), future::pending()).await
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }

    /// Counts of calls and watches.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.store.lock().stats
    }

    fn faults(&self) -> Faults {
        *self.faults.borrow()
    }
}
