//! Signals start draining, and a second one ends the process's work.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::{process, time::Duration};

use oleander_host::{Phase, Shutdown};
use tokio::time::timeout;

const ENOUGH: Duration = Duration::from_secs(20);

fn send(signal: &str) {
    let id = process::id().to_string();
    let status = process::Command::new("kill").args([signal, &id]).status().unwrap();
    assert!(status.success());
}

#[tokio::test]
async fn the_first_signal_drains_and_the_second_stops() {
    let drain = Shutdown::new();
    drain.handle_signals().unwrap();
    assert_eq!(drain.phase(), Phase::Running);
    send("-TERM");
    timeout(ENOUGH, drain.started()).await.unwrap();
    assert_eq!(drain.phase(), Phase::Draining);
    send("-INT");
    timeout(ENOUGH, drain.stopped()).await.unwrap();
    drain.start();
    assert_eq!(drain.phase(), Phase::Stopped);
}
