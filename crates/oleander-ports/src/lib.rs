//! Addresses for the servers that tests start.
//!
//! A test that finds a free port and gives it back can lose it to another test, or to an outgoing
//! connection, before its server listens there. So each address has a loopback IP of its own: outgoing
//! connections use 127.0.0.1, and no other call, nor another process that runs, gets the same IP.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU8, Ordering},
};

/// Values of a byte of an address, from 1 on; 255 and 0 are left out.
const BYTE_VALUES: u8 = 254;

/// An address on which nothing else listens.
///
/// # Panics
///
/// Panics if the operating system has no free port for it.
#[must_use]
pub fn free_address() -> SocketAddr {
    static COUNT: AtomicU8 = AtomicU8::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let ip = Ipv4Addr::new(127, 1 + high % BYTE_VALUES, low, 1 + count % BYTE_VALUES);
    let found = TcpListener::bind((ip, 0)).and_then(|listener| listener.local_addr());
    found.unwrap_or_else(|error| panic!("no free port on {ip}: {error}"))
}
