//! Free addresses for processes.

use std::{
    net::TcpStream,
    sync::atomic::{AtomicU16, Ordering},
};

const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 32_000;
const PORT_BLOCK: u16 = 200;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// A free port below the range that outgoing connections use.
fn free_port() -> u16 {
    let span = LAST_PORT - FIRST_PORT;
    let offset = (std::process::id() as u16).wrapping_mul(PORT_BLOCK) % span;
    loop {
        let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (offset.wrapping_add(next)) % span;
        // A listener would be inherited by a process that another test starts at this moment.
        if TcpStream::connect(("127.0.0.1", port)).is_err() {
            return port;
        }
    }
}

/// A free loopback address.
#[must_use]
pub fn free_address() -> String {
    format!("127.0.0.1:{}", free_port())
}
