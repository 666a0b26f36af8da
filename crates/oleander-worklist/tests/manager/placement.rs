//! Items that have made room for online requests, and what they may run at next.

use std::{sync::Arc, time::Duration};

use oleander_core::{Span, Time};
use oleander_platform::MemoryPlatform;
use oleander_relay::{Pool, Pools, RouteTable, TargetEntry, TargetList};
use oleander_routing::PeerCount;
use oleander_worklist::JobManager;
use tokio::time::{Instant, sleep};

use crate::fixture::{
    CALL_LATENCY, EchoTargets, SlowStore, Started, host, route, start, submission_of,
    wait_for_results, wait_until_ready, zone,
};

/// Slots of each target.
const SLOTS: u32 = 8;
/// Items of a job.
const ITEMS: u32 = 3;
/// Time after which an item that made room may run again.
const RETRIED: Duration = Duration::from_millis(300);
/// Limit for items that a free target can run at once.
const SOON: Duration = Duration::from_secs(3);

/// A manager with targets of these numbers, of which some are leaving.
struct Fleet {
    started: Started,
    /// Online requests of another host by target.
    online: Vec<(u16, u32)>,
    /// Number of reports of them.
    reports: u64,
}

impl Fleet {
    async fn start(listed: &[(u16, bool)]) -> Self {
        let started = start("entry-1", SlowStore::new(MemoryPlatform::new()));
        started.relay.set_table(RouteTable::new(1, vec![route()]));
        let fleet = Self { started, online: Vec::new(), reports: 0 };
        fleet.list(listed);
        wait_until_ready(fleet.manager()).await;
        fleet
    }

    fn manager(&self) -> &Arc<JobManager<SlowStore, EchoTargets>> {
        &self.started.manager
    }

    fn list(&self, listed: &[(u16, bool)]) {
        list(&self.started.pools, listed);
    }

    fn pool(&self) -> Arc<Pool> {
        self.started.pools.get(&"llm".parse().expect("name of a service")).expect("a pool")
    }

    /// Sets the online requests of another host at the targets.
    fn fill(&mut self, targets: &[(u16, u32)]) {
        self.online = targets.to_vec();
        self.report();
    }

    /// Reports the online requests of the other host again, as hosts do; reports expire.
    fn report(&mut self) {
        self.reports += 1;
        let count = |(number, online): &(u16, u32)| PeerCount {
            target: format!("engine-{number}").parse().expect("name of a target"),
            online: *online,
            batch: 0,
        };
        let counts = self.online.iter().map(count).collect();
        self.pool().update_peer(&host("entry-2"), counts, Time(self.reports));
    }

    /// Items that hold slots.
    fn running(&self) -> u32 {
        self.pool().counts().iter().map(|count| count.batch).sum()
    }

    async fn wait_for_running(&self, count: u32) {
        let end = Instant::now() + SOON;
        while self.running() != count {
            assert!(Instant::now() < end, "{} items run", self.running());
            sleep(CALL_LATENCY).await;
        }
    }

    async fn submit(&self, name: &str) {
        assert_eq!(self.manager().submit(submission_of(name, 10), &route()).await, Ok(()));
    }

    /// Starts a job at the first target, and lets its items make room there for online requests
    /// that fill `targets`.
    async fn submit_and_preempt(&mut self, targets: &[(u16, u32)]) {
        self.started.targets.pause(true);
        self.submit("job-1").await;
        self.wait_for_running(ITEMS).await;
        self.fill(targets);
        self.wait_for_running(0).await;
        self.started.targets.pause(false);
    }

    async fn is_done(&mut self, name: &str, limit: Duration) -> bool {
        let job = name.parse().expect("name of a job");
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let read = self.manager().read_results(&job, 0, Span::ZERO).await;
            let listed = read.expect("up").map_or(0, |read| read.results.len());
            if listed == ITEMS as usize {
                return true;
            }
            self.report();
            sleep(CALL_LATENCY).await;
        }
        false
    }
}

fn list(pools: &Pools, listed: &[(u16, bool)]) {
    let mut targets = TargetList::default();
    for (number, leaving) in listed {
        targets.upsert(TargetEntry {
            id: format!("engine-{number}").parse().expect("name of a target"),
            service: "llm".parse().expect("name of a service"),
            address: ([127, 0, 0, 1], *number).into(),
            zone: zone(),
            version: "v1".parse().expect("version"),
            slots: SLOTS,
            leaving: *leaving,
            started_at: None,
        });
    }
    pools.update_targets(&targets);
}

/// Guards against items that wait beside an idle target: the others, which they would rather use
/// than the target of their last run, take no work while they shut down.
#[tokio::test]
async fn items_run_again_at_their_last_target_while_all_others_drain() {
    for others in [&[(2, true)][..], &[(2, true), (3, true)]] {
        let mut listed = vec![(1, false)];
        listed.extend(others);
        let mut fleet = Fleet::start(&listed).await;
        fleet.submit_and_preempt(&[(1, SLOTS)]).await;
        fleet.fill(&[]);
        assert!(fleet.is_done("job-1", SOON).await, "items wait beside an idle target: {listed:?}");
    }
}

/// Guards against the same where the other targets begin to drain after the items have run.
#[tokio::test]
async fn items_run_again_at_their_last_target_when_the_others_begin_to_drain() {
    let mut fleet = Fleet::start(&[(1, false)]).await;
    fleet.submit_and_preempt(&[(1, SLOTS)]).await;
    fleet.list(&[(1, false), (2, false)]);
    fleet.list(&[(1, false), (2, true)]);
    fleet.fill(&[]);
    assert!(fleet.is_done("job-1", SOON).await, "items wait beside an idle target");
}

/// Guards against items that wait for another target for as long as online requests fill it.
#[tokio::test]
async fn items_run_again_at_their_last_target_while_the_others_stay_full() {
    let mut fleet = Fleet::start(&[(1, false)]).await;
    fleet.submit_and_preempt(&[(1, SLOTS)]).await;
    fleet.list(&[(1, false), (2, false)]);
    fleet.fill(&[(2, SLOTS)]);
    assert!(fleet.is_done("job-1", SOON).await, "items wait beside an idle target");
}

/// Guards against items of one job that hold up those of all others: what one item can't use was
/// taken to be full for all.
#[tokio::test]
async fn an_item_that_waits_for_another_target_holds_up_no_other_job() {
    let mut fleet = Fleet::start(&[(1, false)]).await;
    fleet.submit_and_preempt(&[(1, SLOTS)]).await;
    fleet.list(&[(1, false), (2, false)]);
    fleet.fill(&[(2, SLOTS)]);
    sleep(RETRIED).await;
    fleet.submit("job-2").await;
    assert!(fleet.is_done("job-2", SOON).await, "a job waits beside an idle target");
    assert_eq!(wait_for_results(fleet.manager()).await, ITEMS as usize);
}
