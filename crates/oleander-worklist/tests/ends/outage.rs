//! Outages of the platform for all hosts, in which jobs go on.

use std::time::Duration;

use tokio::time::sleep;

use crate::{fleet::Fleet, jobs::submission, store::Path};

const HOSTS: usize = 6;
const ITEMS: u32 = 4_000;
/// Time for which items run before the outage, so that the lease is to be renewed when it begins.
const RUN_TIME: Duration = Duration::from_millis(1_700);
/// Time in which a lease is over and all hosts know that they have no path, and the time after it.
const BEGIN: Duration = Duration::from_secs(7);
const WATCHED: Duration = Duration::from_secs(4);

/// Items that start once an outage has lasted for some time, with jobs at `owners` of the hosts.
async fn starts_in_outage(owners: usize, path: Path) -> usize {
    let fleet = Fleet::start(HOSTS).await;
    for owner in 0..owners {
        fleet.accept(owner, submission(&format!("job-{owner}"), ITEMS)).await;
    }
    sleep(RUN_TIME).await;
    fleet.set_paths(path);
    sleep(BEGIN).await;
    let before = fleet.starts.lock().len();
    sleep(WATCHED).await;
    fleet.starts.lock().len() - before
}

/// Guards against a renewal that is given up before its read has failed on all paths: the lease is then
/// over before any host is asked whether the platform is out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_go_on_in_an_outage_in_which_no_call_is_answered() {
    for owners in [1, 3] {
        let started = starts_in_outage(owners, Path::Unanswered).await;
        assert!(started > 0, "no item of {owners} jobs started, though nobody can end them");
    }
}
