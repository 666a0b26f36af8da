//! A TCP relay that shows faults of the network between two ends.
//!
//! It can refuse and close connections, reset them, delay what passes, and let open connections
//! go silent for good while new ones work.

mod control;
mod pipe;

use std::{io, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
    time,
};

pub use control::serve_control;

use crate::relay::pipe::Link;

const REBIND_INTERVAL: Duration = Duration::from_millis(5);

/// What the relay is told to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Accept and pass new connections.
    Pass,
    /// Close all connections and refuse new ones.
    Cut,
    /// Reset all open connections; new ones pass.
    Reset,
    /// Open connections go silent for good; new ones pass.
    SilenceExisting,
    /// Open and new connections go silent for good.
    SilenceAll,
}

/// What the relay does with new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// They pass.
    Pass,
    /// They are refused.
    Cut,
    /// They are accepted and stay silent.
    Silence,
}

/// Connections by state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Accepted since the start.
    pub accepted: u64,
    /// Open, silent ones included.
    pub open: u64,
    /// Open but silent for good.
    pub silent: u64,
}

#[derive(Debug, Clone, Copy)]
struct State {
    mode: Mode,
    delay: Duration,
    resets: u64,
    silences: u64,
}

/// A running relay; stops when it is dropped.
#[derive(Debug)]
pub struct Relay {
    handle: RelayHandle,
    task: JoinHandle<()>,
}

/// Controls a running relay.
#[derive(Debug, Clone)]
pub struct RelayHandle {
    address: SocketAddr,
    to: SocketAddr,
    state: watch::Sender<State>,
    bound: watch::Sender<bool>,
    stats: watch::Sender<Stats>,
}

impl Relay {
    /// Starts a relay to `to` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), to).await
    }

    /// Starts a relay from `listen` to `to`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding.
    pub async fn start_at(listen: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let state = State { mode: Mode::Pass, delay: Duration::ZERO, resets: 0, silences: 0 };
        let handle = RelayHandle {
            address: listener.local_addr()?,
            to,
            state: watch::Sender::new(state),
            bound: watch::Sender::new(true),
            stats: watch::Sender::default(),
        };
        let task = tokio::spawn(handle.clone().run(listener));
        Ok(Self { handle, task })
    }

    /// Controls it; the handle outlives the relay without effect.
    #[must_use]
    pub fn handle(&self) -> RelayHandle {
        self.handle.clone()
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.handle.address
    }

    /// Does `action` and returns once it holds for new connections.
    pub async fn apply(&self, action: Action) {
        self.handle.apply(action).await;
    }

    /// Delays what passes from now on, in each direction.
    pub fn set_delay(&self, delay: Duration) {
        self.handle.set_delay(delay);
    }

    /// Connections by state.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.handle.stats()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl RelayHandle {
    /// Does `action` and returns once it holds for new connections.
    pub async fn apply(&self, action: Action) {
        self.state.send_modify(|state| state.apply(action));
        let accepts = self.state.borrow().mode != Mode::Cut;
        // The sender lives in `self`, so the wait ends only with the change.
        let _ = self.bound.subscribe().wait_for(|bound| *bound == accepts).await;
    }

    /// Delays what passes from now on, in each direction.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    /// Connections by state.
    #[must_use]
    pub fn stats(&self) -> Stats {
        *self.stats.borrow()
    }

    async fn run(self, listener: TcpListener) {
        let mut links = JoinSet::new();
        let mut listener = Some(listener);
        loop {
            let bound = match listener.take() {
                Some(bound) => bound,
                None => self.rebind().await,
            };
            self.bound.send_replace(true);
            self.accept(&bound, &mut links).await;
            drop(bound);
            self.bound.send_replace(false);
            self.wait_mode(|mode| mode != Mode::Cut).await;
        }
    }

    async fn rebind(&self) -> TcpListener {
        loop {
            if let Ok(listener) = TcpListener::bind(self.address).await {
                return listener;
            }
            time::sleep(REBIND_INTERVAL).await;
        }
    }

    async fn accept(&self, listener: &TcpListener, links: &mut JoinSet<()>) {
        loop {
            tokio::select! {
                () = self.wait_mode(|mode| mode == Mode::Cut) => return,
                Some(_) = links.join_next() => {}
                Ok((client, _)) = listener.accept() => {
                    self.stats.send_modify(|stats| stats.accepted += 1);
                    links.spawn(self.clone().carry(client));
                }
            }
        }
    }

    async fn carry(self, client: TcpStream) {
        self.stats.send_modify(|stats| stats.open += 1);
        Link::new(self.clone()).carry(client).await;
        self.stats.send_modify(|stats| stats.open -= 1);
    }

    async fn wait_mode(&self, holds: impl Fn(Mode) -> bool) {
        // The sender lives in `self`, so the wait ends only with the change.
        let _ = self.state.subscribe().wait_for(|state| holds(state.mode)).await;
    }
}

impl State {
    fn apply(&mut self, action: Action) {
        match action {
            Action::Pass => self.mode = Mode::Pass,
            Action::Cut => self.mode = Mode::Cut,
            Action::Reset => self.resets += 1,
            Action::SilenceExisting => self.silences += 1,
            Action::SilenceAll => {
                self.silences += 1;
                self.mode = Mode::Silence;
            }
        }
    }
}
