//! Drawn jobs that are read at drawn hosts, on a store that is slow and loses answers.

use std::time::Duration;

use oleander_worklist::ReadMemory;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{sleep, timeout};

use crate::{
    fixture::{
        Manager, PATIENCE, Reading, Shape, StoredJob, item_name, job, list_silent_host, output,
        owner_of, start_host,
    },
    store::SlowStore,
};

/// Number of readers of a job at the same time.
const READERS: u64 = 2;
/// Number of hosts that are replaced by ones that have just started.
const MAX_RESTARTS: usize = 3;
/// Pause after a request for a body that was put off.
const PAUSE: Duration = Duration::from_millis(100);

/// A job, its store and its hosts.
#[derive(Debug)]
pub(crate) struct Play {
    seed: u64,
    shape: Shape,
    latency: Duration,
    /// Share of lost answers.
    lost: f64,
    hosts: usize,
    /// Whether the owner counts as live.
    silent_owner: bool,
}

impl Play {
    pub(crate) fn new(seed: u64) -> Self {
        let mut draw = Pcg64Mcg::seed_from_u64(seed);
        let count = draw.random_range(1..=200);
        let sizes =
            (0..count).map(|_| if draw.random_bool(0.1) { 0 } else { draw.random_range(1..4) });
        let mut segments: Vec<usize> = sizes.collect();
        segments.push(1);
        let bytes = if draw.random_bool(0.25) { 60_000 } else { draw.random_range(10..4_000) };
        let silent_owner = draw.random_bool(0.5);
        let owner = Some(owner_of(if silent_owner { "silent-1" } else { "gone-1" }));
        let open_items = if draw.random_bool(0.5) { draw.random_range(1..10) } else { 0 };
        // As many quick stores as slow ones.
        let latency = 4.0 * 250_f64.powf(draw.random());
        Self {
            seed,
            shape: Shape { segments, open_items, bytes, owner },
            latency: Duration::from_millis(latency as u64),
            lost: if draw.random_bool(0.5) { 0.0 } else { draw.random_range(0.0..0.1) },
            hosts: draw.random_range(1..=4),
            silent_owner,
        }
    }

    /// Reads that may fail: a few, and more with more segments.
    const fn max_failures(&self) -> usize {
        10 + self.shape.segments.len() / 5
    }

    pub(crate) async fn run(self) {
        let job = StoredJob::write(&self.shape).await;
        let silent = list_silent_host(&job.platform, "silent-1").await;
        let store = SlowStore::new(job.platform.clone(), self.latency);
        store.faults.lock().lost = self.lost;
        store.faults.lock().draw = Pcg64Mcg::seed_from_u64(self.seed);
        let mut hosts = Hosts::start(&store, self.hosts, self.seed);
        if self.silent_owner {
            sleep(Duration::from_secs(2)).await;
        }
        let mut others = hosts.clone();
        others.draw = Pcg64Mcg::seed_from_u64(self.seed + READERS);
        let limit = job.results.len() + self.max_failures();
        let (first, second) =
            tokio::join!(self.read(&job, limit, &mut hosts), self.read(&job, limit, &mut others),);
        for reading in [first, second] {
            reading.expect_whole(&job);
            let Reading { left, put_off, .. } = reading;
            assert_eq!(left, 0, "{put_off} were put off; {}", self.summary());
            assert!(put_off <= self.max_failures(), "{put_off} were put off; {}", self.summary());
        }
        self.read_bodies(&mut hosts).await;
        drop(silent);
    }

    fn summary(&self) -> String {
        format!(
            "seed {}: {} segments, {} ms a call, {:.2} lost, {} hosts, silent owner {}, {} open, {} bytes",
            self.seed,
            self.shape.segments.len(),
            self.latency.as_millis(),
            self.lost,
            self.hosts,
            self.silent_owner,
            self.shape.open_items,
            self.shape.bytes,
        )
    }

    async fn read(&self, job: &StoredJob, limit: usize, hosts: &mut Hosts) -> Reading {
        let (mut reading, mut host) = (Reading::default(), hosts.next());
        while reading.results.len() < job.results.len() && reading.reads < limit {
            let before = reading.results.len();
            let is_answered = reading.read_page(&host).await;
            hosts.check_memory();
            let known = reading.results.len();
            assert!(
                !is_answered || known > before,
                "a page is empty at {known}; {}",
                self.summary()
            );
            assert_eq!(reading.results[before..], job.results[before..known], "{}", self.summary());
            if !is_answered {
                host = hosts.next();
            }
        }
        reading
    }

    /// Reads the body of an item that has no result, and of one that has.
    async fn read_bodies(&self, hosts: &mut Hosts) {
        let listed = self.shape.segments.iter().sum::<usize>();
        let body = self.read_body(&item_name(0), hosts).await;
        assert_eq!(body, None, "the item is listed; {}", self.summary());
        if self.shape.open_items > 0 {
            let body = self.read_body(&item_name(listed), hosts).await;
            assert_eq!(body, Some(output(listed, self.shape.bytes)), "{}", self.summary());
        }
    }

    async fn read_body(&self, item: &str, hosts: &mut Hosts) -> Option<String> {
        let mut host = hosts.next();
        for _ in 0..=self.max_failures() {
            let body = timeout(PATIENCE, host.read_body(&job(), item)).await;
            hosts.check_memory();
            if let Ok(body) = body.expect("an answer in time") {
                return body.map(|body| String::from_utf8_lossy(&body).into_owned());
            }
            sleep(PAUSE).await;
            host = hosts.next();
        }
        panic!("no answer for a body; {}", self.summary());
    }
}

/// Hosts of a play, of which some are replaced.
#[derive(Clone)]
struct Hosts {
    store: SlowStore,
    running: Vec<Manager>,
    restarts: usize,
    draw: Pcg64Mcg,
}

impl Hosts {
    fn start(store: &SlowStore, count: usize, seed: u64) -> Self {
        let running = (0..count).map(|index| start_host(&format!("entry-{index}"), store));
        let draw = Pcg64Mcg::seed_from_u64(seed);
        Self { store: store.clone(), running: running.collect(), restarts: 0, draw }
    }

    /// A host drawn anew, which may have just started.
    fn next(&mut self) -> Manager {
        let index = self.draw.random_range(0..self.running.len());
        if self.restarts < MAX_RESTARTS && self.draw.random_bool(0.25) {
            self.restarts += 1;
            self.running[index] = start_host(&format!("entry-{index}"), &self.store);
        }
        self.running[index].clone()
    }

    fn check_memory(&self) {
        for host in &self.running {
            let memory = host.read_memory();
            assert!(memory.contents <= ReadMemory::MAX.contents, "{memory:?}");
            assert!(memory.index <= ReadMemory::MAX.index, "{memory:?}");
        }
    }
}
