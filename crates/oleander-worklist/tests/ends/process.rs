//! One process of a host: its jobs, its link to the other hosts, and its path to the platform.
//!
//! Each process has a runtime of its own with one thread, so that it can be killed and frozen.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::HeaderName;
use oleander_cluster::{Cluster, FailoverStore, HOST_PREFIX, Handler, HostRecord, SHORT_FEED_WAIT};
use oleander_core::{HostId, JobId, Span, Time};
use oleander_link::{LinkKey, Server};
use oleander_members::MemberRole;
use oleander_ports::free_address;
use oleander_relay::{Pools, Relay, RouteTable, TargetEntry, TargetList};
use oleander_worklist::{
    JOB_PREFIX, JobManager, JobManagerConfig, JobRequest, JobResponse, StateUnknown, Submission,
};
use parking_lot::Mutex;
use tokio::{
    runtime::{Builder, Runtime},
    task::JoinHandle,
};

use crate::{
    jobs::{route, zone},
    store::FaultyStore,
    targets::{Starts, Targets},
};

/// Store of a process, and its jobs.
pub(crate) type Store = FailoverStore<FaultyStore, Cluster>;
pub(crate) type Jobs = JobManager<Store, Targets>;
/// A call that ends a job.
pub(crate) type Ending = JoinHandle<Result<bool, StateUnknown>>;

/// What becomes of messages about jobs that other hosts send to a process.
pub(crate) const ANSWERED: u8 = 0;
pub(crate) const MESSAGE_LOST: u8 = 1;
pub(crate) const ANSWER_LOST: u8 = 2;
/// As an earlier build did: answered whatever comes of it.
pub(crate) const NOTED_UNREAD: u8 = 3;
/// Time for which a lost message occupies its sender.
const LOST: Duration = Duration::from_secs(1);

/// Jobs behind a link that may lose messages.
struct Receiver {
    jobs: Arc<Jobs>,
    loss: Arc<AtomicU8>,
    told: Arc<AtomicUsize>,
}

impl Handler<JobRequest, JobResponse> for Receiver {
    async fn handle(self: Arc<Self>, peer: HostId, request: JobRequest) -> JobResponse {
        let loss = self.loss.load(Ordering::Relaxed);
        if loss == MESSAGE_LOST {
            tokio::time::sleep(LOST).await;
            return JobResponse::NotHere;
        }
        if matches!(request, JobRequest::Changed { .. }) {
            self.told.fetch_add(1, Ordering::Relaxed);
            if loss == NOTED_UNREAD {
                return JobResponse::Noted;
            }
        }
        let response = Arc::clone(&self.jobs).handle(peer, request).await;
        if loss == ANSWER_LOST {
            tokio::time::sleep(LOST).await;
        }
        response
    }
}

/// A running process.
pub(crate) struct Process {
    runtime: Option<Runtime>,
    pub(crate) record: HostRecord,
    pub(crate) jobs: Arc<Jobs>,
    pub(crate) path: FaultyStore,
    loss: Arc<AtomicU8>,
    /// Messages of changed jobs that arrived.
    pub(crate) told: Arc<AtomicUsize>,
    cluster: Arc<Cluster>,
    store: Store,
    server: Mutex<Option<Server>>,
    probing: Mutex<Option<JoinHandle<()>>>,
}

/// Kills the process: its thread does nothing more, and its link is silent.
impl Drop for Process {
    fn drop(&mut self) {
        let Some(runtime) = self.runtime.take() else { return };
        runtime.spawn(async {
            loop {
                std::thread::park();
            }
        });
        // Sockets that are closed while their own threads use them can end the test's process.
        std::mem::forget((runtime, self.server.lock().take()));
    }
}

fn cluster_of(record: &HostRecord, pools: &Arc<Pools>) -> Arc<Cluster> {
    let key = LinkKey::from_secret(b"a secret of the tests").expect("long enough");
    Cluster::new(record.clone(), key, Arc::clone(pools))
}

fn target() -> TargetEntry {
    TargetEntry {
        id: "engine-1".parse().expect("target"),
        service: "llm".parse().expect("service"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: zone(),
        version: "v1".parse().expect("version"),
        slots: 4,
        leaving: false,
        started_at: None,
    }
}

impl Process {
    pub(crate) fn start(record: HostRecord, path: FaultyStore, starts: Starts) -> Self {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("a runtime");
        let context = runtime.enter();
        let (pools, _yields) = Pools::new(record.host.clone(), zone(), 1);
        let pools = Arc::new(pools);
        let mut list = TargetList::default();
        list.upsert(target());
        pools.update_targets(&list);
        let targets = Targets { host: record.host.clone(), starts };
        let relay = Arc::new(Relay::new(Arc::clone(&pools), Arc::new(targets)));
        relay.set_table(RouteTable::new(1, vec![route()]));
        let cluster = cluster_of(&record, &pools);
        let store = Store::new(path.clone());
        store.set_fallback(Arc::clone(&cluster));
        let id_header = HeaderName::from_static("x-id");
        let config = JobManagerConfig { id_header, object_bytes: 1 << 20, loaded_bytes: 1 << 24 };
        let jobs = JobManager::new(config, store.clone(), relay, Arc::clone(&cluster));
        tokio::spawn(Arc::clone(&cluster).follow_records(store.clone()));
        if record.role == MemberRole::Entry {
            tokio::spawn(Arc::clone(&jobs).follow_jobs());
            tokio::spawn(Arc::clone(&jobs).dispatch());
            tokio::spawn(Arc::clone(&jobs).take_over());
        } else {
            for prefix in [JOB_PREFIX, HOST_PREFIX] {
                tokio::spawn(store.feeds().follow(store.clone(), prefix, SHORT_FEED_WAIT));
            }
        }
        drop(context);
        let process = Self {
            runtime: Some(runtime),
            record,
            jobs,
            path,
            loss: Arc::default(),
            told: Arc::default(),
            cluster,
            store,
            server: Mutex::default(),
            probing: Mutex::default(),
        };
        process.connect();
        process
    }

    fn runtime(&self) -> &Runtime {
        self.runtime.as_ref().expect("set until dropped")
    }

    /// Lets the process reach the other hosts, and be reached by them.
    pub(crate) fn connect(&self) {
        let _context = self.runtime().enter();
        let mut server = self.server.lock();
        if server.is_some() {
            return;
        }
        let jobs = Arc::clone(&self.jobs);
        let (loss, told) = (Arc::clone(&self.loss), Arc::clone(&self.told));
        let receiver = Arc::new(Receiver { jobs, loss, told });
        *server = self.cluster.serve(receiver, self.store.clone()).ok();
        self.store.set_fallback(Arc::clone(&self.cluster));
        *self.probing.lock() = Some(tokio::spawn(Arc::clone(&self.cluster).run_probes()));
    }

    /// Cuts the process off from the other hosts.
    pub(crate) fn cut_off(&self) {
        let _context = self.runtime().enter();
        *self.server.lock() = None;
        self.probing.lock().iter().for_each(JoinHandle::abort);
        let (pools, _) = Pools::new(self.record.host.clone(), zone(), 1);
        self.store.set_fallback(cluster_of(&self.record, &Arc::new(pools)));
    }

    /// Loses messages about jobs from now on, or answers them.
    pub(crate) fn set_loss(&self, loss: u8) {
        self.loss.store(loss, Ordering::Relaxed);
    }

    /// Stops everything in the process for a time.
    pub(crate) fn freeze(&self, time: Duration) {
        self.runtime().spawn(async move { std::thread::sleep(time) });
    }

    pub(crate) async fn submit(&self, submission: Submission) {
        let jobs = Arc::clone(&self.jobs);
        let submitted =
            self.runtime().spawn(async move { jobs.submit(submission, &route()).await });
        assert_eq!(submitted.await.expect("no panic"), Ok(()));
    }

    /// Begins to end a job.
    pub(crate) fn cancel(&self, job: &JobId) -> Ending {
        let (jobs, job) = (Arc::clone(&self.jobs), job.clone());
        self.runtime().spawn(async move { jobs.cancel(&job).await })
    }

    /// Gives the jobs of this process away.
    pub(crate) fn hand_over(&self) {
        let jobs = Arc::clone(&self.jobs);
        let end = oleander_host::clock::steady() + Span::from_secs(8);
        self.runtime().spawn(async move { jobs.hand_over(end).await });
    }

    /// Number of committed results of a job.
    pub(crate) async fn results(&self, job: &JobId) -> usize {
        let (jobs, job) = (Arc::clone(&self.jobs), job.clone());
        let read = async move { jobs.read_results(&job, 0, Span::from_millis(100)).await };
        match self.runtime().spawn(read).await {
            Ok(Ok(Some(results))) => results.results.len(),
            _ => 0,
        }
    }
}

/// The record of a process of an entry host, or of a feeder.
pub(crate) fn record_of(name: &str, role: MemberRole, started: Time) -> HostRecord {
    let host = name.parse().expect("host");
    HostRecord { host, zone: zone(), role, link: free_address(), callers: None, started }
}
