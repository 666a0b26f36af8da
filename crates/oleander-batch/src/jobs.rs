//! The jobs that this host takes part in: finding, opening, stopping and completing them.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use oleander_core::{EventKind, HostId, JobId, LotIndex, ServiceId, Span, TargetId, Time, hash};
use oleander_host::clock;
use oleander_intake::StoreError;
use oleander_jobs::{
    Counts, FileRecord, JobRecord, JobState, Lot, LotConfig, LotEnd, LotEvent, LotPlan,
    LotScheduler, ScheduledJob, key,
};
use oleander_peer::PeerRequest;
use parking_lot::Mutex;
use tokio::{sync::mpsc, time};

use crate::{app::App, lots::LotCell, runs::LotKey};

const SCAN_INTERVAL: Duration = Duration::from_secs(1);
const OPEN_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time after which a running lot learns that its job was cancelled.
const CANCEL_INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait for a peer that is told of a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
const PUBLISH_DELAY: Duration = Duration::from_secs(1);
/// Longest difference between the clocks of hosts, and time for a job to be committed.
const OVERLAP: Span = Span::from_secs(60);
/// Age of the oldest jobs that may be open.
const HORIZON: Span = Span::from_secs(8 * 24 * 3600);
/// Time between two looks at all jobs that may be open.
const RESCAN: Span = Span::from_secs(600);
const PAGE: usize = 1000;
/// Lots that one host runs at once.
const MAX_LOTS: usize = 16;
/// Lots that one host has open at once, those of other hosts included; bounds its memory.
const MAX_OPEN: usize = 32;
/// Checkpoints without progress after which a claim lapses, at the least.
const STALE_CHECKPOINTS: u64 = 3;
/// Lots that are opened or claimed at once.
const MAX_COMING: usize = 4;
/// Items expected of a lot that is not open yet.
const USUAL_LOT_ITEMS: usize = 64;
/// Items ready to start below which another lot is opened, at the least.
const MIN_READY: usize = 64;
const TAG_DIGITS: usize = 8;

/// An open job.
#[derive(Debug)]
pub(crate) struct JobInfo {
    record: JobRecord,
    file: FileRecord,
    plan: LotPlan,
}

/// The jobs that this host takes part in.
#[derive(Debug)]
pub(crate) struct Jobs {
    board: LotScheduler,
    open: BTreeMap<JobId, Arc<JobInfo>>,
    ended: HashMap<JobId, Time>,
}

impl Jobs {
    /// No jobs yet.
    pub(crate) fn new(host: HostId, stale: Span) -> Self {
        let board = LotScheduler::new(host, stale);
        Self { board, open: BTreeMap::new(), ended: HashMap::new() }
    }

    /// Takes the live batch hosts.
    pub(crate) fn set_hosts(&mut self, now: Time, hosts: Vec<HostId>) {
        self.board.set_hosts(now, hosts);
    }

    /// Whether this host runs suspects at the target.
    pub(crate) fn tries_suspects_at(&self, target: &TargetId) -> bool {
        self.board.runs_suspects_at(target)
    }

    /// Takes in how a lot ended for this host.
    pub(crate) fn end(&mut self, now: Time, job: &JobId, lot: LotIndex, end: LotEnd) {
        self.board.record_end(now, job, lot, end);
    }

    fn get(&self, job: &JobId) -> Option<Arc<JobInfo>> {
        self.open.get(job).cloned()
    }

    fn is_new(&self, found: &key::Announcement) -> bool {
        let known = self.open.contains_key(&found.job) || self.ended.contains_key(&found.job);
        !known && self.board.participates_in(&found.job, found.lots)
    }

    fn learn(&mut self, now: Time, info: JobInfo) {
        let record = &info.record;
        self.board.add_job(
            now,
            ScheduledJob {
                job: record.job.clone(),
                service: record.service.clone(),
                lots: record.lots,
                deadline: record.deadline,
            },
        );
        self.open.insert(record.job.clone(), Arc::new(info));
    }

    fn forget(&mut self, now: Time, job: &JobId) {
        self.board.remove_job(job);
        self.open.remove(job);
        self.ended.retain(|_, at| now.since(*at) <= OVERLAP * 2);
        self.ended.insert(job.clone(), now);
    }
}

/// Starts the loops.
pub(crate) fn start(app: &Arc<App>) {
    tokio::spawn(scan_loop(Arc::clone(app)));
    tokio::spawn(open_loop(Arc::clone(app)));
    tokio::spawn(cancel_loop(Arc::clone(app)));
    tokio::spawn(check_loop(Arc::clone(app)));
}

async fn scan_loop(app: Arc<App>) {
    let mut from = clock::now() - HORIZON;
    let mut whole_at = clock::now();
    loop {
        let now = clock::now();
        if now.since(whole_at) >= RESCAN {
            (from, whole_at) = (now - HORIZON, now);
        }
        match scan(&app, from).await {
            Ok(()) => from = now - OVERLAP,
            Err(error) => log::warn!("looking for jobs failed: {error}"),
        }
        time::sleep(SCAN_INTERVAL).await;
    }
}

/// Learns the jobs that were announced since `from`.
async fn scan(app: &App, from: Time) -> Result<(), StoreError> {
    let mut after = key::announcement_prefix(from);
    loop {
        let page = app.store.list(key::ANNOUNCEMENT_PREFIX, &after, PAGE).await?;
        for found in page.objects.iter().filter_map(|row| key::parse_announcement(&row.key)) {
            if app.jobs.lock().is_new(&found) {
                learn(app, &found.job).await?;
            }
        }
        match page.objects.last() {
            Some(last) if page.more => after = last.key.clone(),
            _ => return Ok(()),
        }
    }
}

async fn learn(app: &App, job: &JobId) -> Result<(), StoreError> {
    let Some((_, record)) = app.store.job(job).await? else { return Ok(()) };
    if record.state != JobState::Open {
        app.jobs.lock().forget(clock::now(), job);
        return Ok(());
    }
    let name = key::file(&record.workspace, &record.file);
    let file = app.store.file(&record.workspace, &record.file).await?;
    let file = file.ok_or(StoreError::Missing(name))?;
    let plan = LotPlan::new(&file.chunks, record.lot_items);
    app.jobs.lock().learn(clock::now(), JobInfo { record, file, plan });
    Ok(())
}

async fn open_loop(app: Arc<App>) {
    while app.is_running() {
        while wants_lot(&app) {
            let has_targets = |service: &ServiceId| app.pools.get(service).is_some();
            let picked = app.jobs.lock().board.pick(clock::now(), has_targets);
            let Some((job, lot)) = picked else { break };
            app.opening.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(open(Arc::clone(&app), LotKey { job, lot }));
        }
        time::sleep(OPEN_INTERVAL).await;
    }
}

/// Whether the open lots may soon run out of items to start; each open lot costs writes.
///
/// Lots on their way count as if they were full, so that not all are opened at once.
fn wants_lot(app: &App) -> bool {
    let cells = app.open_lots();
    let pending = cells.iter().filter(|cell| cell.lot.lock().is_pending()).count();
    let watched = cells.iter().filter(|cell| cell.lot.lock().is_watching()).count();
    let coming = pending + app.opening();
    let full = cells.len() >= MAX_OPEN || cells.len() - watched >= MAX_LOTS;
    if full || coming >= MAX_COMING {
        return false;
    }
    let now = clock::now();
    let ready: usize = cells.iter().map(|cell| cell.lot.lock().ready_count(now)).sum();
    let running = app.runs.lock().len();
    let expected = ready + coming * USUAL_LOT_ITEMS;
    running < app.settings.batch.slots as usize && expected < MIN_READY.max(running / 2)
}

async fn open(app: Arc<App>, lot: LotKey) {
    match open_cell(&app, &lot).await {
        Ok(Some(cell)) => {
            let cell = Arc::new(cell);
            app.lots.lock().insert(lot.clone(), Arc::clone(&cell));
            // The job may have been stopped while the lot was read.
            let stopped = app.jobs.lock().get(&lot.job).is_none();
            app.drive(&cell, if stopped { LotEvent::Release } else { LotEvent::Tick });
        }
        Ok(None) => {}
        Err(error) => {
            log::warn!("lot {}/{} can't be opened: {error}", lot.job, lot.lot);
            app.jobs.lock().end(clock::now(), &lot.job, lot.lot, LotEnd::Released);
        }
    }
    app.opening.fetch_sub(1, Ordering::SeqCst);
}

/// Reads what a lot needs; `None` if there is nothing to do.
async fn open_cell(app: &App, lot: &LotKey) -> Result<Option<LotCell>, StoreError> {
    let Some(info) = app.jobs.lock().get(&lot.job) else { return Ok(None) };
    if !check_job(app, &info).await? || app.jobs.lock().board.is_closed(&lot.job, lot.lot) {
        return Ok(None);
    }
    let service = &info.record.service;
    let (Some(range), Some(pool)) = (info.plan.range(lot.lot), app.pools.get(service)) else {
        app.jobs.lock().end(clock::now(), &lot.job, lot.lot, LotEnd::Released);
        return Ok(None);
    };
    let digest = &info.file.chunks[range.chunk.0 as usize].digest;
    let chunk = app.store.chunk(&info.record.workspace, digest).await?;
    let limits = pool.limits();
    let config = LotConfig {
        max_tries: limits.item_tries,
        target_count: pool.addresses().len() as u32,
        checkpoint_interval: limits.checkpoint,
        claim_timeout: app.settings.batch.claim.max(limits.checkpoint * STALE_CHECKPOINTS),
        deadline: info.record.deadline,
    };
    let host = app.settings.host.clone();
    let claim = app.claims.fetch_add(1, Ordering::SeqCst);
    let tag = format!("{:016x}", hash::hash_parts(&[host.as_str(), &claim.to_string()]));
    app.event(EventKind::Claimed, &lot.job, format!("lot {} opened", lot.lot));
    Ok(Some(LotCell {
        key: lot.clone(),
        pool,
        first: range.first.0,
        lines: lines(&chunk, range.offset, range.count),
        tag: tag[..TAG_DIGITS].to_owned(),
        suspect_since: Mutex::new(None),
        lot: Mutex::new(Lot::new(host, claim, range, config, clock::now())),
    }))
}

fn lines(chunk: &Bytes, offset: u32, count: u32) -> Vec<Bytes> {
    let lines = chunk.split(|&byte| byte == b'\n').filter(|line| !line.is_empty());
    let lines = lines.skip(offset as usize).take(count as usize);
    lines.map(|line| chunk.slice_ref(line)).collect()
}

async fn cancel_loop(app: Arc<App>) {
    loop {
        let mut jobs: Vec<JobId> =
            app.open_lots().iter().map(|cell| cell.key.job.clone()).collect();
        jobs.sort();
        jobs.dedup();
        for job in jobs {
            match app.store.job(&job).await {
                Ok(Some((_, record))) if record.state != JobState::Open => app.stop_job(&job),
                Ok(_) => {}
                Err(error) => log::warn!("job {job} can't be read: {error}"),
            }
        }
        time::sleep(CANCEL_INTERVAL).await;
    }
}

/// Stops jobs that were cancelled through this process, here and at all peers.
pub(crate) async fn tell_cancels(app: Arc<App>, mut cancelled: mpsc::Receiver<JobId>) {
    while let Some(job) = cancelled.recv().await {
        app.stop_job(&job);
        for link in app.peers.lock().links() {
            let (app, request) = (Arc::clone(&app), PeerRequest::Cancelled(job.clone()));
            tokio::spawn(async move { app.call_peer(&link, &request, CANCEL_TIMEOUT).await });
        }
    }
}

async fn check_loop(app: Arc<App>) {
    loop {
        time::sleep(CHECK_INTERVAL).await;
        let open: Vec<Arc<JobInfo>> = app.jobs.lock().open.values().cloned().collect();
        for info in open {
            let job = &info.record.job;
            let (steward, idle) = {
                let jobs = app.jobs.lock();
                (jobs.board.is_coordinator(job), jobs.board.is_idle(job))
            };
            if !steward && idle {
                app.jobs.lock().forget(clock::now(), job);
            } else if steward && let Err(error) = check_job(&app, &info).await {
                log::warn!("job {job} can't be checked: {error}");
            }
        }
    }
}

/// Takes in which lots are closed, and completes the job if all are; false if it has ended.
async fn check_job(app: &App, info: &JobInfo) -> Result<bool, StoreError> {
    let job = &info.record.job;
    let closed = app.store.closed_lots(job).await?;
    {
        let mut jobs = app.jobs.lock();
        closed.lots.iter().for_each(|lot| jobs.board.record_closed(job, *lot));
    }
    let record = if closed.lots.len() as u32 >= info.record.lots {
        app.store.complete(job, closed.counts, clock::now()).await?
    } else {
        app.store.job(job).await?.map(|(_, record)| record)
    };
    let Some(record) = record.filter(|record| record.state != JobState::Open) else {
        return Ok(true);
    };
    app.event(EventKind::Finished, job, format!("job {}", record.state));
    app.jobs.lock().forget(clock::now(), job);
    Ok(false)
}

impl App {
    /// Number of lots that are being opened.
    pub(crate) fn opening(&self) -> usize {
        self.opening.load(Ordering::SeqCst)
    }

    /// Stops all lots of a job that has ended.
    pub(crate) fn stop_job(self: &Arc<Self>, job: &JobId) {
        self.jobs.lock().forget(clock::now(), job);
        let cells = self.open_lots().into_iter().filter(|cell| cell.key.job == *job);
        for cell in cells {
            self.event(EventKind::Cancelled, job, format!("lot {} stopped", cell.key.lot));
            self.drive(&cell, LotEvent::Release);
        }
    }

    /// Publishes the counts of a closed lot, and completes the job if it was the last one.
    pub(crate) async fn publish_closed(&self, lot: &LotKey, counts: Counts) {
        let name = key::closed_lot(&lot.job, lot.lot, counts);
        while let Err(error) = self.store.create(&name, Bytes::new()).await {
            log::warn!("{name} was not written: {error}");
            time::sleep(PUBLISH_DELAY).await;
        }
        let Some(info) = self.jobs.lock().get(&lot.job) else { return };
        if let Err(error) = check_job(self, &info).await {
            log::warn!("job {} can't be checked: {error}", lot.job);
        }
    }
}
