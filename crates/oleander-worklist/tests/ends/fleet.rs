//! Several hosts with real links, one platform and one feeder.

use std::time::{Duration, Instant};

use bytes::Bytes;
use oleander_core::JobId;
use oleander_host::clock;
use oleander_members::MemberRole;
use oleander_platform::{MemoryPlatform, ObjectStore, Updated};
use oleander_worklist::{JobPhase, JobStore, Submission};
use tokio::time::sleep;

use crate::{
    process::{Process, record_of},
    store::{FaultyStore, Path},
    targets::{Start, Starts},
};

/// Pause between two checks of a condition, and its limit.
const PAUSE: Duration = Duration::from_millis(10);
const LIMIT: Duration = Duration::from_secs(25);
/// Time in which hosts come to know each other by probes.
const ACQUAINTANCE: Duration = Duration::from_millis(1_500);

/// Hosts, of which any may be gone.
pub(crate) struct Fleet {
    pub(crate) platform: MemoryPlatform,
    pub(crate) starts: Starts,
    pub(crate) hosts: Vec<Option<Process>>,
    pub(crate) feeder: Process,
    /// Processes whose host has started a new one.
    pub(crate) earlier: Vec<Process>,
}

async fn list(platform: &MemoryPlatform, process: &Process) {
    let key = format!("hosts/{}", process.record.host);
    let body = Bytes::from(serde_json::to_vec(&process.record).expect("encodable"));
    let Some(known) = platform.get(&key).await.expect("up") else {
        platform.create(&key, body).await.expect("up");
        return;
    };
    let updated = platform.update(&key, body, known.revision).await;
    assert!(matches!(updated, Ok(Updated::Done(_))), "{updated:?}");
}

/// Whether the job's record says that it has been ended.
pub(crate) async fn is_ended(platform: &MemoryPlatform, job: &JobId) -> bool {
    let record = JobStore::new(platform.clone()).record(job).await;
    record.expect("up").is_some_and(|(_, record)| record.phase == JobPhase::Cancelled)
}

impl Fleet {
    /// Starts `count` hosts and a feeder, and waits until they know each other.
    pub(crate) async fn start(count: usize) -> Self {
        let platform = MemoryPlatform::new();
        let record = record_of("keeper-1", MemberRole::Batch, clock::now());
        let path = FaultyStore::new(platform.clone());
        let feeder = Process::start(record, path, Starts::default());
        list(&platform, &feeder).await;
        let (starts, hosts, earlier) = (Starts::default(), Vec::new(), Vec::new());
        let mut fleet = Self { platform, starts, hosts, feeder, earlier };
        for index in 0..count {
            fleet.hosts.push(None);
            fleet.start_host(index).await;
        }
        for host in fleet.live() {
            let end = Instant::now() + LIMIT;
            while !host.jobs.is_ready() {
                assert!(Instant::now() < end, "a host does not get ready");
                sleep(PAUSE).await;
            }
        }
        sleep(ACQUAINTANCE).await;
        fleet
    }

    /// Starts a process of a host; one that runs goes on beside it.
    pub(crate) async fn start_host(&mut self, index: usize) {
        self.earlier.extend(self.hosts[index].take());
        let name = format!("entry-{index}");
        let record = record_of(&name, MemberRole::Entry, clock::now());
        let path = FaultyStore::new(self.platform.clone());
        let process = Process::start(record, path, Starts::clone(&self.starts));
        list(&self.platform, &process).await;
        self.hosts[index] = Some(process);
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &Process> {
        self.hosts.iter().flatten()
    }

    pub(crate) fn host(&self, index: usize) -> &Process {
        self.hosts[index].as_ref().expect("a live host")
    }

    /// Accepts a job at a host and waits until its items run.
    pub(crate) async fn accept(&self, index: usize, submission: Submission) {
        let name = submission.job.clone();
        self.host(index).submit(submission).await;
        let end = Instant::now() + LIMIT;
        while self.starts_of(&name).is_empty() {
            assert!(Instant::now() < end, "no item runs");
            sleep(PAUSE).await;
        }
    }

    /// Items of a job that reached targets.
    pub(crate) fn starts_of(&self, job: &JobId) -> Vec<Start> {
        let prefix = format!("{job}-");
        let starts = self.starts.lock();
        starts.iter().filter(|start| start.item.starts_with(&prefix)).cloned().collect()
    }

    /// Whether the job's record says that it has been ended.
    pub(crate) async fn is_ended(&self, job: &JobId) -> bool {
        is_ended(&self.platform, job).await
    }

    /// Sets the path of all processes to the platform.
    pub(crate) fn set_paths(&self, path: Path) {
        let processes = self.live().chain(&self.earlier).chain([&self.feeder]);
        processes.for_each(|process| process.path.faults.lock().path = path);
    }

    /// Waits until a job has `count` results.
    pub(crate) async fn wait_for_results(&self, job: &JobId, count: usize) -> usize {
        let end = Instant::now() + LIMIT;
        loop {
            let host = self.live().next().expect("a live host");
            let read = host.results(job).await;
            if read == count || Instant::now() > end {
                return read;
            }
            sleep(PAUSE).await;
        }
    }
}
