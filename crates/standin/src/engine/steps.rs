//! The loop that runs the steps of the batch.

use std::time::Duration;

use tokio::time::{self, Instant};

use crate::engine::Engine;

/// Maximum delay of a step that the next step compensates, so that timer errors don't accumulate.
const MAX_COMPENSATED_DELAY: Duration = Duration::from_millis(2);

/// Runs steps without end; waits while there is no sequence.
pub(super) async fn run(engine: &Engine) {
    let shared = &engine.shared;
    let mut due = Instant::now();
    loop {
        let work_added = shared.work_added.notified();
        engine.wait_while_frozen().await;
        let now = Instant::now();
        let plan = shared.batch.lock().plan_step(&shared.records, now);
        let Some(plan) = plan else {
            work_added.await;
            due = Instant::now();
            continue;
        };
        let start = due.max(now - MAX_COMPENSATED_DELAY);
        due = start + plan.duration(&shared.options, &engine.faults());
        time::sleep_until(due).await;
        engine.wait_while_frozen().await;
        let break_after = engine.faults().break_after_tokens;
        shared.batch.lock().finish_step(break_after, &shared.records);
    }
}

impl Engine {
    async fn wait_while_frozen(&self) {
        let mut faults = self.shared.faults.subscribe();
        // `self` holds the sender, so the channel can't be closed before `freeze` is reset.
        let _ = faults.wait_for(|faults| !faults.freeze).await;
    }
}
