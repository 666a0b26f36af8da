//! Preemption of batch items by online requests.
//!
//! Items are preempted for two reasons. An online request that takes a slot asks the hosts with
//! items at the target to preempt some. In addition, each host checks its own items whenever the
//! counts of running requests may have changed: if several hosts send to one target at the same
//! moment, each asks for too few preemptions, and without this check their requests would wait
//! behind items that no further message preempts.

use std::{sync::Arc, time::Duration};

use oleander_core::{HostId, TargetId};
use oleander_platform::ObjectStore;
use oleander_relay::{Pool, TargetTransport, YieldRequest};
use oleander_routing::BatchExcess;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::{
    manager::JobManager,
    message::{JobRequest, JobResponse},
};

/// Timeout for asking a host to preempt items; a later preemption would not help.
const YIELD_TIMEOUT: Duration = Duration::from_millis(300);

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
    /// Preempts own items at targets that have no capacity for them.
    pub(crate) fn preempt_excess(&self) {
        for (_, pool) in self.relay.pools.all() {
            for BatchExcess { target, count } in pool.batch_excess() {
                let count = count.saturating_sub(self.stopping(&pool, &target));
                if count > 0 {
                    self.preempt(&target, count);
                }
            }
        }
    }

    /// Number of own items at a target that were preempted but still hold their slots.
    fn stopping(&self, pool: &Pool, target: &TargetId) -> u32 {
        let counts = pool.counts();
        let counted = counts.iter().find(|count| count.target == *target);
        let runs = self.runs.lock();
        let running = runs.iter().filter(|run| run.target == *target).count() as u32;
        counted.map_or(0, |count| count.batch.saturating_sub(running))
    }

    /// Preempts up to `count` own items at a target, the last started first; returns how many.
    pub(crate) fn preempt(&self, target: &TargetId, count: u32) -> u32 {
        let mut runs = self.runs.lock();
        let mut interrupted = 0;
        while interrupted < count {
            let Some(index) = runs.iter().rposition(|run| run.target == *target) else { break };
            runs.remove(index).preempted.notify_one();
            interrupted += 1;
        }
        if interrupted > 0 {
            log::info!(target:% = target, asked = count, interrupted; "items made room");
            metrics::counter!("items_interrupted_total").increment(u64::from(interrupted));
        }
        interrupted
    }

    /// Preempts items for online requests: own items first, then those of the hosts with most
    /// items at the target; never returns.
    pub async fn handle_yields(self: Arc<Self>, mut requests: UnboundedReceiver<YieldRequest>) {
        while let Some(YieldRequest { target, count, holders }) = requests.recv().await {
            let rest = count - self.preempt(&target, count);
            self.call_holders(&target, rest, holders);
        }
    }

    /// Asks the hosts of this data centre with items at a target to preempt `count` of them.
    pub(crate) fn call_zone_hosts(self: &Arc<Self>, target: &TargetId, count: u32) {
        let pools = self.relay.pools.all();
        let mut holders: Vec<(HostId, u32)> =
            pools.iter().flat_map(|(_, pool)| pool.batch_holders(target)).collect();
        holders.retain(|(host, _)| self.cluster.is_same_zone(host));
        self.call_holders(target, count, holders);
    }

    /// Asks hosts to preempt `count` items in all, each at most as many as it holds.
    fn call_holders(self: &Arc<Self>, target: &TargetId, count: u32, holders: Vec<(HostId, u32)>) {
        let mut rest = count;
        for (host, held) in holders {
            let count = rest.min(held);
            if count == 0 {
                break;
            }
            rest -= count;
            let (manager, target) = (Arc::clone(self), target.clone());
            let pass_on = !self.cluster.is_same_zone(&host);
            tokio::spawn(async move {
                let request = JobRequest::Yield { target, count, pass_on };
                let response = manager.cluster.call(&host, request, YIELD_TIMEOUT).await;
                if let Err(error) = response.map(|_: JobResponse| ()) {
                    log::debug!(host:% = host, error:% = error;
                        "host did not answer a request to preempt items");
                }
            });
        }
    }
}
