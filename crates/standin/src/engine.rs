//! The stand-in for a model engine: continuous batching, prefix cache, orders and faults.
//!
//! One loop makes the steps. Each step takes a base time, a time for each running sequence, and
//! the prefill of the sequences admitted in it; then every running sequence emits one token.
//! The answer to a request depends on its messages alone, see [`crate::response`].

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
    engine::{batch::Batch, chat::LastRequest, orders::Orders},
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
    dead: channel::Sender<bool>,
    work: Notify,
    records: Records,
    batch: Mutex<Batch>,
    orders: Mutex<Orders>,
    last: Mutex<Option<LastRequest>>,
}

/// Serves a fresh engine stand-in; returns when a fault ends it.
///
/// # Errors
///
/// Returns the error of the listener.
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
            dead: channel::Sender::new(false),
            work: Notify::new(),
            records: Records::default(),
            last: Mutex::default(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Serves it on `listener`; returns when a fault ends it.
    ///
    /// # Errors
    ///
    /// Returns the error of the listener.
    pub async fn serve(self, listener: TcpListener) -> io::Result<()> {
        let mut dead = self.shared.dead.subscribe();
        let router = routes::router(self.clone());
        let died = async {
            // The sender lives in `self`, so the wait ends only with a death.
            let _ = dead.wait_for(|dead| *dead).await;
        };
        tokio::select! {
            result = server::serve(listener, router, died) => result,
            () = steps::run(&self) => Ok(()),
        }
    }

    /// Replaces the faults shown from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.faults.send_replace(faults);
    }

    /// What the engine saw.
    #[must_use]
    pub fn records(&self) -> &Records {
        &self.shared.records
    }

    fn faults(&self) -> Faults {
        self.shared.faults.borrow().clone()
    }
}
