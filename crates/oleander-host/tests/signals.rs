//! The first signal starts draining, the second one stops the process.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{process, time::Duration};

use oleander_host::{Phase, Shutdown};
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(20);

fn send_signal(signal: &str) {
    let id = process::id().to_string();
    let status = process::Command::new("kill").args([signal, &id]).status().unwrap();
    assert!(status.success());
}

#[tokio::test]
async fn the_first_signal_drains_and_the_second_stops() {
    let shutdown = Shutdown::new();
    shutdown.handle_signals().unwrap();
    assert_eq!(shutdown.phase(), Phase::Running);
    send_signal("-TERM");
    timeout(TIMEOUT, shutdown.started()).await.unwrap();
    assert_eq!(shutdown.phase(), Phase::Draining);
    send_signal("-INT");
    timeout(TIMEOUT, shutdown.stopped()).await.unwrap();
    shutdown.start();
    assert_eq!(shutdown.phase(), Phase::Stopped);
}
