//! Ends of jobs at several hosts with real links, while hosts, links and the platform fail.

mod accepting;
mod draw;
mod earlier_build;
mod fleet;
mod jobs;
mod outage;
mod plays;
mod process;
mod single;
mod store;
mod targets;

use plays::Play;
use tokio::task::JoinSet;

/// Seeds of the test, unless `END_SEEDS` names another number of them.
const SEEDS: u64 = 8;
/// Schedules at a time.
const AT_A_TIME: usize = 8;

fn seeds() -> u64 {
    std::env::var("END_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// First seed, unless `END_SEED` names another one.
fn first_seed() -> u64 {
    std::env::var("END_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_do_not_start_after_an_acknowledged_end_whatever_fails() {
    let mut plays = JoinSet::new();
    let mut failed = Vec::new();
    for seed in first_seed()..first_seed() + seeds() {
        while plays.len() >= AT_A_TIME {
            failed.extend(plays.join_next().await.and_then(Result::err));
        }
        plays.spawn(Play::new(seed).run());
    }
    while let Some(played) = plays.join_next().await {
        failed.extend(played.err());
    }
    assert!(failed.is_empty(), "{} schedules failed", failed.len());
}
