//! Unused loopback addresses for the processes of a deployment.

use std::{
    net::TcpStream,
    sync::atomic::{AtomicU16, Ordering},
};

const MIN_PORT: u16 = 10_000;
/// Exclusive bound; the ephemeral range of Linux starts above it.
const MAX_PORT: u16 = 32_000;
const PORTS_PER_PROCESS: u16 = 200;

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Unused port below the ephemeral range, so that no outgoing connection takes it.
///
/// Each test process starts its search at another port.
fn free_port() -> u16 {
    let span = MAX_PORT - MIN_PORT;
    let offset = (std::process::id() as u16).wrapping_mul(PORTS_PER_PROCESS) % span;
    loop {
        let next = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = MIN_PORT + (offset.wrapping_add(next)) % span;
        // Probes with a connection: a listener could be inherited by a process that another test
        // starts at the same time.
        if TcpStream::connect(("127.0.0.1", port)).is_err() {
            return port;
        }
    }
}

/// Unused loopback address.
#[must_use]
pub fn free_address() -> String {
    format!("127.0.0.1:{}", free_port())
}
