//! Makes room for online requests.
//!
//! Items leave for two reasons. An online request that takes a slot asks the holders of items there
//! to leave. And each host looks at its own items whenever counts may have changed: requests that
//! several hosts sent to one target at the same moment asked for too little room between them, and
//! would wait behind items that nobody asks to leave any more.

use std::{sync::Arc, time::Duration};

use oleander_core::{HostId, TargetId};
use oleander_platform::ObjectStore;
use oleander_relay::{Pool, TargetTransport, YieldRequest};
use oleander_routing::BatchExcess;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{
    desk::Desk,
    message::{JobAnswer, JobCall},
};

/// Longest wait for a host that is asked to make room; later there is no need.
const YIELD_TIMEOUT: Duration = Duration::from_millis(300);

impl<S: ObjectStore, T: TargetTransport> Desk<S, T> {
    /// Interrupts own items at targets that have no room for them.
    pub(crate) fn yield_excess(&self) {
        for (_, pool) in self.relay.pools.all() {
            for BatchExcess { target, count } in pool.batch_excess() {
                let count = count.saturating_sub(self.leaving(&pool, &target));
                if count > 0 {
                    self.interrupt(&target, count);
                }
            }
        }
    }

    /// Own items at a target that were interrupted and still count as being there.
    fn leaving(&self, pool: &Pool, target: &TargetId) -> u32 {
        let counts = pool.counts();
        let counted = counts.iter().find(|count| count.target == *target);
        let runs = self.runs.lock();
        let staying = runs.iter().filter(|run| run.target == *target).count() as u32;
        counted.map_or(0, |count| count.batch.saturating_sub(staying))
    }

    /// Interrupts the youngest items of this host at a target; returns how many there were.
    pub(crate) fn interrupt(&self, target: &TargetId, count: u32) -> u32 {
        let mut runs = self.runs.lock();
        let mut interrupted = 0;
        while interrupted < count {
            let Some(at) = runs.iter().rposition(|run| run.target == *target) else { break };
            runs.remove(at).interrupt.notify_one();
            interrupted += 1;
        }
        if interrupted > 0 {
            log::info!(target:% = target, asked = count, interrupted; "items made room");
            metrics::counter!("items_interrupted_total").increment(u64::from(interrupted));
        }
        interrupted
    }

    /// Makes room for online requests, here first and then at the hosts that hold most; never
    /// ends.
    pub async fn make_room(self: Arc<Self>, mut asked: UnboundedReceiver<YieldRequest>) {
        while let Some(YieldRequest { target, count, holders }) = asked.recv().await {
            let left = count - self.interrupt(&target, count);
            self.ask_holders(&target, left, holders);
        }
    }

    /// Asks the neighbours with items at a target to make room there.
    pub(crate) fn ask_neighbours(self: &Arc<Self>, target: &TargetId, count: u32) {
        let pools = self.relay.pools.all();
        let mut holders: Vec<(HostId, u32)> =
            pools.iter().flat_map(|(_, pool)| pool.batch_holders(target)).collect();
        holders.retain(|(host, _)| self.cluster.is_same_zone(host));
        self.ask_holders(target, count, holders);
    }

    fn ask_holders(self: &Arc<Self>, target: &TargetId, count: u32, holders: Vec<(HostId, u32)>) {
        let mut left = count;
        for (host, held) in holders {
            let count = left.min(held);
            if count == 0 {
                break;
            }
            left -= count;
            let (desk, target) = (Arc::clone(self), target.clone());
            let pass_on = !self.cluster.is_same_zone(&host);
            tokio::spawn(async move {
                let call = JobCall::Yield { target, count, pass_on };
                let answer = desk.cluster.call(&host, call, YIELD_TIMEOUT).await;
                if let Err(error) = answer.map(|_: JobAnswer| ()) {
                    log::debug!(host:% = host, error:% = error; "host was not asked to yield");
                }
            });
        }
    }
}
