//! The loop that makes the steps of the batch.

use std::time::Duration;

use tokio::time::{self, Instant};

use crate::engine::Engine;

/// Lateness of a step that the next one makes up for, so that coarse timers don't add up.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(2);

/// Makes steps for ever; idle while there is no work.
pub(super) async fn run(engine: &Engine) {
    let shared = &engine.shared;
    let mut due = Instant::now();
    loop {
        let arrived = shared.work.notified();
        engine.wait_thawed().await;
        let now = Instant::now();
        let plan = shared.batch.lock().plan(&shared.records, now);
        let Some(plan) = plan else {
            arrived.await;
            due = Instant::now();
            continue;
        };
        let start = due.max(now - CATCH_UP_LIMIT);
        due = start + plan.duration(&shared.options, &engine.faults());
        time::sleep_until(due).await;
        engine.wait_thawed().await;
        let break_after = engine.faults().break_after_tokens;
        shared.batch.lock().step(break_after, &shared.records);
    }
}

impl Engine {
    async fn wait_thawed(&self) {
        let mut faults = self.shared.faults.subscribe();
        // The sender lives in `self`, so the wait ends only with a thaw.
        let _ = faults.wait_for(|faults| !faults.freeze).await;
    }
}
