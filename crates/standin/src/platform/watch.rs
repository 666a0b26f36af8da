//! Watches, which send changes and heartbeats as lines of JSON.

use std::{convert::Infallible, time::Duration};

use axum::body::Body;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};
use tokio_stream::{StreamExt, wrappers::ReceiverStream};

use crate::platform::{Platform, store::Change};

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const MAX_BUFFERED_LINES: usize = 64;

/// Query parameters of `GET /v1/watch`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct WatchQuery {
    #[serde(default)]
    pub(super) prefix: String,
    #[serde(default)]
    pub(super) from: u64,
}

#[derive(Debug, Serialize)]
struct Heartbeat {
    revision: u64,
}

/// The watch has ended: its connection is closed, or the platform is down.
#[derive(Debug)]
struct WatchEnded;

#[derive(Debug)]
struct Watch {
    platform: Platform,
    prefix: String,
    sent_revision: u64,
    lines: mpsc::Sender<Bytes>,
}

/// Starts a watch and returns its response body, which only ends with the watch.
pub(super) fn start(platform: Platform, query: WatchQuery) -> Body {
    let (lines, received) = mpsc::channel(MAX_BUFFERED_LINES);
    let watch = Watch { platform, prefix: query.prefix, sent_revision: query.from, lines };
    tokio::spawn(watch.run());
    Body::from_stream(ReceiverStream::new(received).map(Ok::<_, Infallible>))
}

impl Watch {
    async fn run(mut self) {
        self.platform.store.lock().stats.watching += 1;
        let lines = self.lines.clone();
        tokio::select! {
            () = lines.closed() => {}
            WatchEnded = self.send_lines() => {}
        }
        self.platform.store.lock().stats.watching -= 1;
    }

    async fn send_lines(&mut self) -> WatchEnded {
        let mut revision = self.platform.revision.subscribe();
        let mut faults = self.platform.faults.subscribe();
        let mut heartbeat = time::interval_at(Instant::now(), HEARTBEAT_INTERVAL);
        loop {
            let result = tokio::select! {
                _ = revision.changed() => self.send_new_changes().await,
                _ = faults.changed() => self.send_new_changes().await,
                _ = heartbeat.tick() => self.send_heartbeat().await,
            };
            if let Err(ended) = result {
                return ended;
            }
        }
    }

    async fn send_new_changes(&mut self) -> Result<(), WatchEnded> {
        let faults = self.platform.faults();
        if faults.down {
            return Err(WatchEnded);
        }
        if faults.silent {
            return Ok(());
        }
        let (changes, store_revision) = {
            let store = self.platform.store.lock();
            (store.changes_after(&self.prefix, self.sent_revision), store.revision)
        };
        if !changes.is_empty() {
            time::sleep(Duration::from_millis(faults.watch_delay_ms)).await;
        }
        for change in changes {
            self.send_change(&change).await?;
        }
        self.sent_revision = self.sent_revision.max(store_revision);
        Ok(())
    }

    async fn send_change(&self, change: &Change) -> Result<(), WatchEnded> {
        if self.consume_watch_gap() {
            return Ok(());
        }
        self.send_line(change).await
    }

    async fn send_heartbeat(&mut self) -> Result<(), WatchEnded> {
        self.send_new_changes().await?;
        if self.platform.faults().silent {
            return Ok(());
        }
        self.send_line(&Heartbeat { revision: self.sent_revision }).await
    }

    async fn send_line(&self, line: &impl Serialize) -> Result<(), WatchEnded> {
        let mut text = serde_json::to_vec(line).map_err(|_| WatchEnded)?;
        text.push(b'\n');
        self.lines.send(text.into()).await.map_err(|_| WatchEnded)
    }

    fn consume_watch_gap(&self) -> bool {
        self.platform.faults.send_if_modified(|faults| {
            let omitted = faults.watch_gap > 0;
            faults.watch_gap = faults.watch_gap.saturating_sub(1);
            omitted
        })
    }
}
