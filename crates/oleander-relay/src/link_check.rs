//! Checks of the links to targets by new connections.

use std::{sync::Arc, time::Duration};

use oleander_core::ServiceId;
use oleander_host::clock;
use tokio::{task::JoinSet, time};

use crate::{
    links::LinkChange,
    pool::Pool,
    relay::Relay,
    target_list::TargetEntry,
    transport::{Reach, TargetTransport},
};

/// Time between two looks at the links of all services.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Targets in one round of connections.
const TRIED_TARGETS: usize = 3;
/// Time between two connections of a round; a sound target accepts within a few milliseconds, so
/// most checks open one connection.
const TRY_INTERVAL: Duration = Duration::from_millis(20);
/// Rounds of connections, each to other targets, after which a host is disconnected.
const ROUNDS: usize = 2;

impl<T: TargetTransport> Relay<T> {
    /// Finds out whether this host still reaches targets; never returns.
    pub async fn watch_links(self: Arc<Self>) {
        for round in 0_u64.. {
            // A failure and the next look lead to the same check.
            let _ = time::timeout(LOOK_INTERVAL, self.pools.link_failed()).await;
            let mut checks = JoinSet::new();
            for (service, pool) in self.pools.all() {
                if pool.needs_link_check() {
                    checks.spawn(check(Arc::clone(&self), service, pool, round));
                }
            }
            checks.join_all().await;
        }
    }
}

async fn check<T: TargetTransport>(
    relay: Arc<Relay<T>>,
    service: ServiceId,
    pool: Arc<Pool>,
    round: u64,
) {
    let began = clock::steady();
    let targets = pool.targets_to_check(round);
    if targets.is_empty() {
        return;
    }
    let mut accepted = false;
    for some in targets.chunks(TRIED_TARGETS).take(ROUNDS) {
        accepted = accepted || accepts_any(&relay, some).await;
    }
    match pool.record_link_check(began, accepted) {
        Some(LinkChange::Disconnected) => {
            log::warn!(service:% = service, targets = targets.len(); "no target is reached");
            metrics::counter!("links_lost_total").increment(1);
        }
        Some(LinkChange::Returned(span)) => {
            log::info!(service:% = service, after_ms = span.as_millis(); "targets are reached again");
        }
        None => return,
    }
    relay.pools.signal_link_change();
}

/// Whether any of these targets accepts a connection.
async fn accepts_any<T: TargetTransport>(relay: &Arc<Relay<T>>, targets: &[TargetEntry]) -> bool {
    let mut tries = JoinSet::new();
    for (target, place) in targets.iter().zip(0..) {
        let (transport, target) = (Arc::clone(&relay.transport), target.clone());
        tries.spawn(async move {
            time::sleep(TRY_INTERVAL * place).await;
            transport.connect(&target).await
        });
    }
    while let Some(reach) = tries.join_next().await {
        if matches!(reach, Ok(Reach::Accepted)) {
            return true;
        }
    }
    false
}
