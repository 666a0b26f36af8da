//! Stand-in for a model engine: continuous batching, prefix cache, orders and faults.
//!
//! One loop runs the steps of the batch. The duration of a step is a base time, plus a time for
//! each running sequence, plus the prefill time of the sequences admitted in it. At the end of the
//! step, each running sequence emits one token. The tokens depend only on the messages of the
//! request, see [`crate::response`].

mod batch;
mod cache;
mod chat;
mod faults;
mod load;
mod options;
mod orders;
mod routes;
mod sequence;
mod steps;
mod wire;

use std::{io, sync::Arc};

use parking_lot::Mutex;
use tokio::{
    net::TcpListener,
    sync::{Notify, watch as channel},
    time::Instant,
};

pub use cache::{BLOCK_BYTES, BLOCK_TOKENS, CacheEvent, CacheEventList, prefix_hashes};
pub use faults::Faults;
pub use load::Load;
pub use options::Options;
pub use orders::{EngineState, Order, OrderRequest};

use crate::{
    engine::{batch::Batch, chat::PreviousRequest, orders::Orders},
    record::Records,
    server,
};

/// Shared state of the engine stand-in.
#[derive(Debug, Clone)]
pub struct Engine {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    options: Options,
    faults: channel::Sender<Faults>,
    exited: channel::Sender<bool>,
    work_added: Notify,
    records: Records,
    batch: Mutex<Batch>,
    orders: Mutex<Orders>,
    previous: Mutex<Option<PreviousRequest>>,
}

/// Serves a new engine stand-in; returns when the [`Faults::die_on`] fault ends it.
///
/// # Errors
///
/// Returns the error of accepting a connection.
pub async fn serve(listener: TcpListener, options: Options) -> io::Result<()> {
    Engine::new(options).serve(listener).await
}

impl Engine {
    /// An idle engine with these settings.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let (load_lag_ms, die_on) = (options.load_lag_ms, options.die_on.clone());
        let faults = Faults { load_lag_ms, die_on, ..Faults::default() };
        let shared = Shared {
            batch: Mutex::new(Batch::new(&options, Instant::now())),
            orders: Mutex::new(Orders::new(&options)),
            options,
            faults: channel::Sender::new(faults),
            exited: channel::Sender::new(false),
            work_added: Notify::new(),
            records: Records::default(),
            previous: Mutex::default(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Serves the HTTP interface on `listener`; returns when the [`Faults::die_on`] fault ends the
    /// engine.
    ///
    /// # Errors
    ///
    /// Returns the error of accepting a connection.
    pub async fn serve(self, listener: TcpListener) -> io::Result<()> {
        let mut exited = self.shared.exited.subscribe();
        let router = routes::router(self.clone());
        let stopped = async {
            // `self` holds the sender, so the channel can't be closed before the exit.
            let _ = exited.wait_for(|exited| *exited).await;
        };
        tokio::select! {
            result = server::serve(listener, router, stopped) => result,
            () = steps::run(&self) => Ok(()),
        }
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.faults.send_replace(faults);
    }

    /// Records of the requests to the engine.
    #[must_use]
    pub fn records(&self) -> &Records {
        &self.shared.records
    }

    fn faults(&self) -> Faults {
        self.shared.faults.borrow().clone()
    }
}
