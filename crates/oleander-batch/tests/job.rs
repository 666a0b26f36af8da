//! Jobs run to their end by batch processes, with faults of items, engines, hosts and the platform.

#![allow(clippy::unwrap_used)]

mod cluster;

use std::{
    collections::BTreeMap,
    process::{Child, Command, ExitStatus},
    time::{Duration, Instant},
};

use cluster::{Cluster, ClusterConfig, LINK_SECRET, body, items};
use oleander_host::clock;
use oleander_link::{Link, LinkKey};
use oleander_peer::{PeerRequest, PeerResponse};
use serde_json::Value;
use standin::{
    engine::Faults,
    platform,
    record::{RecordEvent, unix_micros},
    response::expected_text,
};
use tokio::time;

const TIMEOUT: Duration = Duration::from_secs(60);
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after a confirmed cancel from which no item of the job starts.
const CANCEL_BOUND: Duration = Duration::from_secs(6);
/// Time for which engines are watched after the bound.
const WATCHED: Duration = Duration::from_secs(4);
const POISON: &str = "poison";

/// Asserts that the output holds just these items, each with the expected response.
fn assert_complete(items: &BTreeMap<String, Value>, output: &BTreeMap<String, Value>) {
    assert!(output.keys().eq(items.keys()), "{:?}", output.keys());
    for (name, body) in items {
        let row = &output[name];
        let text = &row["response"]["body"]["choices"][0]["message"]["content"];
        assert_eq!(text.as_str(), Some(expected_text(body).as_str()), "{name}: {row}");
    }
}

fn peer_link() -> Link {
    let key = LinkKey::from_secret(LINK_SECRET.as_bytes()).unwrap();
    Link::new("entry-1".parse().unwrap(), key, clock::now)
}

fn signal(kind: &str, pid: &str) {
    assert!(Command::new("kill").args([kind, pid]).status().unwrap().success());
}

async fn wait_exit(child: &mut Child) -> ExitStatus {
    let waited = time::timeout(EXIT_TIMEOUT, async {
        loop {
            if let Some(status) = child.try_wait().unwrap() {
                return status;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
    });
    waited.await.expect("the process did not exit in time")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_with_a_poison_item_and_a_lost_engine_completes() {
    let faults = Faults { die_on: POISON.to_owned(), ..Faults::default() };
    let config = ClusterConfig { engines: 4, faults: faults.clone(), ..ClusterConfig::default() };
    let cluster = Cluster::start(config).await;
    cluster.restart_dead_engines(faults);
    let mut items = items(49);
    items.insert(POISON.to_owned(), body(POISON));
    let job = cluster.submit(&items).await;
    cluster.wait_for_runs(10, TIMEOUT).await;
    cluster.stop_engine(0).await;
    let found = cluster.wait_for_status(&job, "completed", TIMEOUT).await;
    let mut output = cluster.output(&job).await;
    let failed: Vec<&Value> = output.values().filter(|row| !row["error"].is_null()).collect();
    assert_eq!(failed.len(), 1, "{failed:?}");
    assert_eq!(found["request_counts"]["failed"], 1);
    assert_eq!(found["request_counts"]["completed"], 49);
    let poison = output.remove(POISON).unwrap();
    let code = poison["error"]["code"].as_str().unwrap();
    assert!(matches!(code, "target_lost" | "target_failed"), "{poison}");
    items.remove(POISON);
    assert_complete(&items, &output);
}

/// Injects a fault into one of four engines while a job runs.
async fn assert_fault_fails_no_item(faults: Faults) {
    let cluster = Cluster::start(ClusterConfig { engines: 4, ..ClusterConfig::default() }).await;
    let items = items(150);
    let job = cluster.submit(&items).await;
    cluster.wait_for_runs(30, TIMEOUT).await;
    cluster.engines.lock().await[1].engine.set_faults(faults);
    cluster.wait_for_status(&job, "completed", TIMEOUT).await;
    assert_complete(&items, &cluster.output(&job).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_fails_all_requests_fails_no_item() {
    assert_fault_fails_no_item(Faults { fail_status: 500, ..Faults::default() }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_freezes_fails_no_item() {
    assert_fault_fails_no_item(Faults { freeze: true, ..Faults::default() }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_breaks_streams_fails_no_item() {
    assert_fault_fails_no_item(Faults { break_after_tokens: 5, ..Faults::default() }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_crosses_answers_fails_no_item() {
    assert_fault_fails_no_item(Faults { cross_ids: true, ..Faults::default() }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_host_loses_and_doubles_no_item() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await;
    let items = items(100);
    let job = cluster.submit(&items).await;
    cluster.wait_for_runs(20, TIMEOUT).await;
    cluster.hosts[0].child.kill().unwrap();
    cluster.wait_for_status(&job, "completed", TIMEOUT).await;
    assert_complete(&items, &cluster.output(&job).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_and_lost_answers_lose_and_double_no_item() {
    let cluster = Cluster::start(ClusterConfig::default()).await;
    let items = items(100);
    let job = cluster.submit(&items).await;
    cluster.wait_for_runs(20, TIMEOUT).await;
    cluster.platform.set_faults(platform::Faults { down: true, ..Default::default() });
    time::sleep(Duration::from_secs(3)).await;
    cluster.platform.set_faults(platform::Faults { lose_answers: 6, ..Default::default() });
    cluster.wait_for_status(&job, "completed", TIMEOUT).await;
    assert_complete(&items, &cluster.output(&job).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_host_doubles_no_item() {
    let config =
        ClusterConfig { claim_ms: 1_000, step_base_us: 20_000, ..ClusterConfig::default() };
    let cluster = Cluster::start(config).await;
    let items = items(100);
    let job = cluster.submit(&items).await;
    cluster.wait_for_runs(20, TIMEOUT).await;
    let pid = cluster.hosts[0].child.id().to_string();
    signal("-STOP", &pid);
    time::sleep(Duration::from_secs(4)).await;
    signal("-CONT", &pid);
    cluster.wait_for_status(&job, "completed", TIMEOUT).await;
    assert_complete(&items, &cluster.output(&job).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_draining_host_releases_its_lots() {
    let config = ClusterConfig { claim_ms: 600_000, ..ClusterConfig::default() };
    let mut cluster = Cluster::start(config).await;
    let items = items(100);
    let job = cluster.submit(&items).await;
    cluster.wait_for_runs(20, TIMEOUT).await;
    let pid = cluster.hosts[0].child.id().to_string();
    signal("-TERM", &pid);
    assert!(wait_exit(&mut cluster.hosts[0].child).await.success());
    // Removed from the list, so that the other host may take over at once.
    cluster.remove_host(0).await;
    cluster.wait_for_status(&job, "completed", TIMEOUT).await;
    assert_complete(&items, &cluster.output(&job).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancelled_job_stops_and_stays_readable() {
    let config = ClusterConfig { step_base_us: 20_000, ..ClusterConfig::default() };
    let cluster = Cluster::start(config).await;
    let items = items(400);
    let job = cluster.submit(&items).await;
    cluster.wait_for_runs(60, TIMEOUT).await;
    assert_eq!(cluster.cancel(&job).await["status"], "cancelled");
    let bound = unix_micros() + 4_000_000;
    time::sleep(Duration::from_secs(6)).await;
    let late = cluster.request_times().await.into_iter().filter(|&at| at > bound).count();
    assert_eq!(late, 0);
    for server in cluster.engines.lock().await.iter() {
        let counts = server.engine.records().counts();
        let count = |event| counts.get(&event).copied().unwrap_or(0);
        let ended = count(RecordEvent::Finished) + count(RecordEvent::Cancelled);
        assert_eq!(count(RecordEvent::Received), ended, "{counts:?}");
    }
    let output = cluster.output(&job).await;
    assert!(!output.is_empty() && output.len() < items.len(), "{}", output.len());
    let done = items.into_iter().filter(|(name, _)| output.contains_key(name)).collect();
    assert_complete(&done, &output);
    assert_eq!(cluster.job(&job).await["status"], "cancelled");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancellation_notice_from_a_peer_stops_a_job_in_an_outage() {
    let config = ClusterConfig { step_base_us: 20_000, ..ClusterConfig::default() };
    let cluster = Cluster::start(config).await;
    let job = cluster.submit(&items(400)).await;
    cluster.wait_for_runs(40, TIMEOUT).await;
    assert_eq!(cluster.cancel(&job).await["status"], "cancelled");
    cluster.platform.set_faults(platform::Faults { down: true, ..Default::default() });
    let link = peer_link();
    for host in &cluster.hosts {
        let request = PeerRequest::Cancelled(job.parse().unwrap());
        let response: PeerResponse =
            link.call(&host.link.to_string(), &request, TIMEOUT).await.unwrap();
        assert_eq!(response, PeerResponse::Done);
    }
    let bound = unix_micros() + 1_000_000;
    time::sleep(Duration::from_secs(4)).await;
    let late = cluster.request_times().await.into_iter().filter(|&at| at > bound).count();
    assert_eq!(late, 0);
    cluster.platform.set_faults(platform::Faults::default());
    assert_eq!(cluster.job(&job).await["status"], "cancelled");
}

/// A job whose items would still start when the engines are no longer watched.
async fn start_long_job(cluster: &Cluster) -> String {
    let job = cluster.submit(&items(2_000)).await;
    cluster.wait_for_runs(40, TIMEOUT).await;
    job
}

/// Number of requests that engines receive after a time.
async fn requests_after(cluster: &Cluster, bound: u64) -> usize {
    cluster.request_times().await.into_iter().filter(|&at| at > bound).count()
}

fn long_job() -> ClusterConfig {
    ClusterConfig { hosts: 1, lot_items: 2_000, ..ClusterConfig::default() }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_is_cut_from_the_platform_does_not_run_a_cancelled_job() {
    let mut cluster = Cluster::start(long_job()).await;
    let job = start_long_job(&cluster).await;
    cluster.cut_hosts().await;
    assert_eq!(cluster.cancel(&job).await["status"], "cancelled");
    let bound = unix_micros() + CANCEL_BOUND.as_micros() as u64;
    time::sleep(CANCEL_BOUND + WATCHED).await;
    assert_eq!(requests_after(&cluster, bound).await, 0, "items started after {CANCEL_BOUND:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_host_that_is_paused_while_a_job_is_cancelled_does_not_run_it() {
    let cluster = Cluster::start(long_job()).await;
    let job = start_long_job(&cluster).await;
    let pid = cluster.hosts[0].child.id().to_string();
    signal("-STOP", &pid);
    assert_eq!(cluster.cancel(&job).await["status"], "cancelled");
    let bound = unix_micros() + CANCEL_BOUND.as_micros() as u64;
    time::sleep(CANCEL_BOUND).await;
    signal("-CONT", &pid);
    time::sleep(WATCHED).await;
    assert_eq!(requests_after(&cluster, bound).await, 0, "items started after {CANCEL_BOUND:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_is_cancelled_just_before_an_outage_stops() {
    let cluster = Cluster::start(long_job()).await;
    let job = start_long_job(&cluster).await;
    assert_eq!(cluster.cancel(&job).await["status"], "cancelled");
    cluster.platform.set_faults(platform::Faults { silent: true, ..Default::default() });
    let bound = unix_micros() + CANCEL_BOUND.as_micros() as u64;
    time::sleep(CANCEL_BOUND + WATCHED).await;
    assert_eq!(requests_after(&cluster, bound).await, 0, "items started after {CANCEL_BOUND:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_start_again_after_an_outage() {
    let cluster = Cluster::start(long_job()).await;
    start_long_job(&cluster).await;
    cluster.platform.set_faults(platform::Faults { down: true, ..Default::default() });
    time::sleep(CANCEL_BOUND).await;
    cluster.platform.set_faults(platform::Faults::default());
    let resumed = cluster.request_times().await.len() + 10;
    cluster.wait_for_runs(resumed, CANCEL_BOUND).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn yielded_items_are_resumed_and_complete() {
    let config = ClusterConfig { hosts: 1, step_base_us: 20_000, ..ClusterConfig::default() };
    let cluster = Cluster::start(config).await;
    let items = items(30);
    let job = cluster.submit(&items).await;
    cluster.wait_for_runs(10, TIMEOUT).await;
    let link = peer_link();
    let peer = cluster.hosts[0].link.to_string();
    for target in ["e0", "e1", "e2"] {
        let request = PeerRequest::Yield(target.parse().unwrap(), 3);
        let response: PeerResponse = link.call(&peer, &request, TIMEOUT).await.unwrap();
        assert_eq!(response, PeerResponse::Done);
        time::sleep(Duration::from_millis(300)).await;
    }
    cluster.wait_for_status(&job, "completed", TIMEOUT).await;
    assert_complete(&items, &cluster.output(&job).await);
    let engines = cluster.engines.lock().await;
    let cancelled = |server: &cluster::EngineServer| {
        server.engine.records().counts().get(&RecordEvent::Cancelled).copied().unwrap_or(0)
    };
    assert!(engines.iter().map(cancelled).sum::<u64>() >= 3);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lot_needs_few_writes() {
    const LOTS: u64 = 8;
    const CHECKPOINT: Duration = Duration::from_millis(200);
    // The announcement, the entry in the workspace's list, the job record and its completion.
    const JOB_WRITES: u64 = 4;
    // The claim, the last log segment and the object that marks the lot as closed.
    const LOT_WRITES: u64 = 3;
    // Two hosts with two lots each, on average.
    const OPEN_LOTS: u64 = 4;
    let cluster = Cluster::start(ClusterConfig { lot_items: 50, ..ClusterConfig::default() }).await;
    let items = items(400);
    let job = cluster.submit_file(&items).await;
    let before = cluster.platform.stats();
    let started = Instant::now();
    let job = cluster.submit_job(&job).await;
    cluster.wait_for_status(&job, "completed", TIMEOUT).await;
    let took = started.elapsed();
    let after = cluster.platform.stats();
    let writes = after.writes - before.writes;
    println!("{} items in {LOTS} lots: {took:?}, {writes} writes", items.len());
    let checkpoints = took.as_millis().div_ceil(CHECKPOINT.as_millis()) as u64;
    let bound = JOB_WRITES + LOTS * LOT_WRITES + OPEN_LOTS * checkpoints;
    assert!(writes <= bound, "{writes} writes");
    assert_complete(&items, &cluster.output(&job).await);
}
