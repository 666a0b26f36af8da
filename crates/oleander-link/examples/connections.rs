//! Measures the memory, threads and open files that connections to many peers need.
//!
//! One server listens on many loopback addresses, each of which counts as a separate peer. Both
//! ends of each connection are in this process, as on a host that calls all other hosts and is
//! called by them.

#![allow(clippy::print_stdout, reason = "prints its measurements")]

use std::{
    fs,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use oleander_core::{Span, Time};
use oleander_link::{Link, LinkError, LinkKey};

const PORT: u16 = 47_311;
const TIMEOUT: Duration = Duration::from_secs(10);
const CONNECTION_COUNTS: [u8; 5] = [1, 50, 100, 150, 200];

/// Unit of the memory sizes in `/proc/self/statm`.
const PAGE_KILOBYTES: u64 = 4;

#[tokio::main]
async fn main() -> Result<(), LinkError> {
    let key = LinkKey::from_secret(b"a shared secret of the example")?;
    let host = "host-1".parse().map_err(|_| LinkError::Key("host".to_owned()))?;
    let link = Link::new(host, key, now);
    let _server = link.serve(&format!("0.0.0.0:{PORT}"), 4, |_, n: u64| async move { n })?;
    println!("{:>12} {:>8} {:>8} {:>6}", "connections", "kB", "threads", "files");
    report(0);
    let mut connected = 0;
    for count in CONNECTION_COUNTS {
        while connected < count {
            connected += 1;
            let _: u64 = link.call(&format!("127.0.0.{connected}:{PORT}"), &7_u64, TIMEOUT).await?;
        }
        report(count);
    }
    Ok(())
}

fn report(connections: u8) {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|text| text.parse::<u64>().ok());
    let kilobytes = pages.unwrap_or(0) * PAGE_KILOBYTES;
    let entries = |path| fs::read_dir(path).map_or(0, Iterator::count);
    let (threads, files) = (entries("/proc/self/task"), entries("/proc/self/fd"));
    println!("{connections:>12} {kilobytes:>8} {threads:>8} {files:>6}");
}

fn now() -> Time {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time(Span::from(elapsed).0)
}
