//! Watches: JSON lines of changes with a heartbeat.

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
const LINES_BUFFERED: usize = 64;

/// Query of a watch.
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

/// The watch's connection is closed, or the platform went down.
#[derive(Debug)]
struct Ended;

#[derive(Debug)]
struct Watch {
    platform: Platform,
    prefix: String,
    sent: u64,
    lines: mpsc::Sender<Bytes>,
}

/// Begins a watch and returns its endless body.
pub(super) fn start(platform: Platform, query: WatchQuery) -> Body {
    let (lines, received) = mpsc::channel(LINES_BUFFERED);
    let watch = Watch { platform, prefix: query.prefix, sent: query.from, lines };
    tokio::spawn(watch.run());
    Body::from_stream(ReceiverStream::new(received).map(Ok::<_, Infallible>))
}

impl Watch {
    async fn run(mut self) {
        self.platform.store.lock().stats.watching += 1;
        let closed = self.lines.clone();
        tokio::select! {
            () = closed.closed() => {}
            Ended = self.send_changes() => {}
        }
        self.platform.store.lock().stats.watching -= 1;
    }

    async fn send_changes(&mut self) -> Ended {
        let mut revision = self.platform.revision.subscribe();
        let mut faults = self.platform.faults.subscribe();
        let mut beat = time::interval_at(Instant::now(), HEARTBEAT_INTERVAL);
        loop {
            let step = tokio::select! {
                _ = revision.changed() => self.send_new().await,
                _ = faults.changed() => self.send_new().await,
                _ = beat.tick() => self.send_beat().await,
            };
            if let Err(ended) = step {
                return ended;
            }
        }
    }

    async fn send_new(&mut self) -> Result<(), Ended> {
        let faults = self.platform.faults();
        if faults.down {
            return Err(Ended);
        }
        if faults.silent {
            return Ok(());
        }
        let (changes, newest) = {
            let store = self.platform.store.lock();
            (store.changes_after(&self.prefix, self.sent), store.revision)
        };
        if !changes.is_empty() {
            time::sleep(Duration::from_millis(faults.watch_delay_ms)).await;
        }
        for change in changes {
            self.send_change(&change).await?;
        }
        self.sent = self.sent.max(newest);
        Ok(())
    }

    async fn send_change(&self, change: &Change) -> Result<(), Ended> {
        if self.take_gap() {
            return Ok(());
        }
        self.send_line(change).await
    }

    async fn send_beat(&mut self) -> Result<(), Ended> {
        self.send_new().await?;
        if self.platform.faults().silent {
            return Ok(());
        }
        self.send_line(&Heartbeat { revision: self.sent }).await
    }

    async fn send_line(&self, line: &impl Serialize) -> Result<(), Ended> {
        let mut text = serde_json::to_vec(line).map_err(|_| Ended)?;
        text.push(b'\n');
        self.lines.send(text.into()).await.map_err(|_| Ended)
    }

    fn take_gap(&self) -> bool {
        self.platform.faults.send_if_modified(|faults| {
            let gap = faults.watch_gap > 0;
            faults.watch_gap = faults.watch_gap.saturating_sub(1);
            gap
        })
    }
}
