//! TCP relay that injects network faults between a client and a server.
//!
//! It can refuse, close and reset connections, delay their data, and make open connections
//! permanently silent while new ones work. A silent connection stays open, but the relay neither
//! reads from it nor writes to it.

mod connection;
mod control;

use std::{io, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{JoinHandle, JoinSet},
    time,
};

pub use control::serve_control;

use crate::relay::connection::Connection;

const REBIND_INTERVAL: Duration = Duration::from_millis(5);

/// Fault that the relay is to inject, or the end of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Accept and forward new connections.
    Pass,
    /// Close all connections and refuse new ones.
    Cut,
    /// Reset all open connections; new ones are not affected.
    Reset,
    /// Make open connections permanently silent; new ones are not affected.
    SilenceExisting,
    /// Make open and new connections permanently silent.
    SilenceAll,
}

/// How the relay handles new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// They are forwarded.
    Pass,
    /// They are refused.
    Cut,
    /// They are accepted, and are permanently silent.
    Silence,
}

/// Number of connections by state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Accepted since the start.
    pub accepted: u64,
    /// Open, including silent ones.
    pub open: u64,
    /// Open but permanently silent.
    pub silent: u64,
}

#[derive(Debug, Clone, Copy)]
struct State {
    mode: Mode,
    delay: Duration,
    resets: u64,
    silences: u64,
}

/// A running relay, which stops when it is dropped.
#[derive(Debug)]
pub struct Relay {
    handle: RelayHandle,
    task: JoinHandle<()>,
}

/// Handle that controls a running relay.
#[derive(Debug, Clone)]
pub struct RelayHandle {
    address: SocketAddr,
    upstream: SocketAddr,
    state: watch::Sender<State>,
    listening: watch::Sender<bool>,
    stats: watch::Sender<Stats>,
}

impl Relay {
    /// Starts a relay to `upstream` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the listener.
    pub async fn start(upstream: SocketAddr) -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), upstream).await
    }

    /// Starts a relay from `listen` to `upstream`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the listener.
    pub async fn start_at(listen: SocketAddr, upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let state = State { mode: Mode::Pass, delay: Duration::ZERO, resets: 0, silences: 0 };
        let handle = RelayHandle {
            address: listener.local_addr()?,
            upstream,
            state: watch::Sender::new(state),
            listening: watch::Sender::new(true),
            stats: watch::Sender::default(),
        };
        let task = tokio::spawn(handle.clone().run(listener));
        Ok(Self { handle, task })
    }

    /// A handle that controls the relay; it has no effect once the relay is dropped.
    #[must_use]
    pub fn handle(&self) -> RelayHandle {
        self.handle.clone()
    }

    /// Address that the relay listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.handle.address
    }

    /// Applies `action` and returns when it is in effect for new connections.
    pub async fn apply(&self, action: Action) {
        self.handle.apply(action).await;
    }

    /// Sets the delay of data in each direction; data already read keeps its delay.
    pub fn set_delay(&self, delay: Duration) {
        self.handle.set_delay(delay);
    }

    /// Number of connections by state.
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
    /// Applies `action` and returns when it is in effect for new connections.
    pub async fn apply(&self, action: Action) {
        self.state.send_modify(|state| state.apply(action));
        let accepting = self.state.borrow().mode != Mode::Cut;
        // `self` holds the sender, so the channel can't be closed before the change.
        let _ = self.listening.subscribe().wait_for(|listening| *listening == accepting).await;
    }

    /// Sets the delay of data in each direction; data already read keeps its delay.
    pub fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    /// Number of connections by state.
    #[must_use]
    pub fn stats(&self) -> Stats {
        *self.stats.borrow()
    }

    async fn run(self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        let mut listener = Some(listener);
        loop {
            let bound_listener = match listener.take() {
                Some(bound_listener) => bound_listener,
                None => self.rebind().await,
            };
            self.listening.send_replace(true);
            self.accept(&bound_listener, &mut connections).await;
            drop(bound_listener);
            self.listening.send_replace(false);
            self.wait_for_mode(|mode| mode != Mode::Cut).await;
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

    async fn accept(&self, listener: &TcpListener, connections: &mut JoinSet<()>) {
        loop {
            tokio::select! {
                () = self.wait_for_mode(|mode| mode == Mode::Cut) => return,
                Some(_) = connections.join_next() => {}
                Ok((client, _)) = listener.accept() => {
                    self.stats.send_modify(|stats| stats.accepted += 1);
                    connections.spawn(self.clone().forward(client));
                }
            }
        }
    }

    async fn forward(self, client: TcpStream) {
        self.stats.send_modify(|stats| stats.open += 1);
        Connection::new(self.clone()).forward(client).await;
        self.stats.send_modify(|stats| stats.open -= 1);
    }

    async fn wait_for_mode(&self, matches: impl Fn(Mode) -> bool) {
        // `self` holds the sender, so the channel can't be closed before the change.
        let _ = self.state.subscribe().wait_for(|state| matches(state.mode)).await;
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
