//! Addresses that tests give their servers.

use std::{collections::BTreeSet, net::TcpListener};

use oleander_ports::free_address;

const CALLS: usize = 200;

/// Guards against a server that finds its address in use: another test had got the same port.
#[test]
fn addresses_that_are_not_in_use_yet_are_given_once() {
    let addresses: Vec<_> = (0..CALLS).map(|_| free_address()).collect();
    let ips: BTreeSet<_> = addresses.iter().map(|address| address.ip()).collect();
    assert_eq!(ips.len(), CALLS, "each has an IP of its own");
    assert!(ips.iter().all(|ip| ip.is_loopback() && ip.to_string() != "127.0.0.1"));
    let listening: Vec<_> = addresses.iter().map(TcpListener::bind).collect();
    assert!(listening.iter().all(Result::is_ok), "{listening:?}");
}
