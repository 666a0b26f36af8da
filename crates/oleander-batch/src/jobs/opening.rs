//! Opening of lots: when another one is opened, and how it is loaded.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use oleander_core::{EventKind, ServiceId, hash};
use oleander_host::clock;
use oleander_intake::StoreError;
use oleander_jobs::{Lot, LotConfig, LotEnd, LotEvent};
use oleander_node::ServicePool;
use parking_lot::Mutex;
use tokio::time;

use super::completion::check_completion;
use crate::{app::App, lots::OpenLot, runs::LotId};

const OPEN_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of open lots, without those that this host only watches.
const MAX_RUNNING_LOTS: usize = 16;
/// Maximum number of open lots, watched ones included; bounds memory, since each holds its lines.
const MAX_OPEN_LOTS: usize = 32;
/// Minimum claim timeout, in checkpoint intervals.
const MIN_CLAIM_CHECKPOINTS: u64 = 3;
/// Maximum number of lots that are being opened or claimed.
const MAX_PENDING_LOTS: usize = 4;
/// Number of ready items assumed for a lot that is being opened or claimed.
const EXPECTED_LOT_ITEMS: usize = 64;
/// Minimum number of ready items, below which another lot is opened.
const MIN_READY_ITEMS: usize = 64;
const TAG_HEX_DIGITS: usize = 8;

impl App {
    /// Number of lots that are being opened.
    pub(crate) fn opening(&self) -> usize {
        self.opening.load(Ordering::SeqCst)
    }
}

pub(super) async fn run(app: Arc<App>) {
    while app.is_running() {
        while wants_lot(&app) {
            let has_targets = |service: &ServiceId| app.pools.get(service).is_some();
            let picked = app.jobs.lock().scheduler.pick(clock::now(), has_targets);
            let Some((job, index)) = picked else { break };
            app.opening.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(open(Arc::clone(&app), LotId { job, index }));
        }
        time::sleep(OPEN_INTERVAL).await;
    }
}

/// Whether to open another lot because the open ones may soon run out of ready items.
///
/// Each open lot costs writes to the platform. Lots that are being opened or claimed count with
/// [`EXPECTED_LOT_ITEMS`], so that not too many are opened at once.
fn wants_lot(app: &App) -> bool {
    let lots = app.open_lots();
    let claiming = lots.iter().filter(|lot| lot.state.lock().is_pending()).count();
    let watching = lots.iter().filter(|lot| lot.state.lock().is_watching()).count();
    let pending = claiming + app.opening();
    let full = lots.len() >= MAX_OPEN_LOTS || lots.len() - watching >= MAX_RUNNING_LOTS;
    if full || pending >= MAX_PENDING_LOTS {
        return false;
    }
    let now = clock::now();
    let ready: usize = lots.iter().map(|lot| lot.state.lock().ready_count(now)).sum();
    let running = app.runs.lock().len();
    let expected = ready + pending * EXPECTED_LOT_ITEMS;
    running < app.settings.batch.slots as usize && expected < MIN_READY_ITEMS.max(running / 2)
}

async fn open(app: Arc<App>, id: LotId) {
    match load_lot(&app, &id).await {
        Ok(Some(lot)) => {
            let lot = Arc::new(lot);
            app.lots.lock().insert(id.clone(), Arc::clone(&lot));
            // The job may have been stopped while the lot was loaded.
            let stopped = app.jobs.lock().get(&id.job).is_none();
            app.handle_event(&lot, if stopped { LotEvent::Release } else { LotEvent::Tick });
        }
        Ok(None) => {}
        Err(error) => {
            log::warn!("lot {}/{} can't be opened: {error}", id.job, id.index);
            app.jobs.lock().record_end(clock::now(), &id.job, id.index, LotEnd::Released);
        }
    }
    app.opening.fetch_sub(1, Ordering::SeqCst);
}

/// Loads a lot; `None` if its job has ended, or if it is closed or can't run here.
async fn load_lot(app: &App, id: &LotId) -> Result<Option<OpenLot>, StoreError> {
    let Some(info) = app.jobs.lock().get(&id.job) else { return Ok(None) };
    if !check_completion(app, &info).await?
        || app.jobs.lock().scheduler.is_closed(&id.job, id.index)
    {
        return Ok(None);
    }
    let service = &info.record.service;
    let (Some(range), Some(pool)) = (info.plan.range(id.index), app.pools.get(service)) else {
        app.jobs.lock().record_end(clock::now(), &id.job, id.index, LotEnd::Released);
        return Ok(None);
    };
    let digest = &info.file.chunks[range.chunk.0 as usize].digest;
    let chunk = app.store.chunk(&info.record.workspace, digest).await?;
    let limits = pool.limits();
    let config = LotConfig {
        max_tries: limits.item_tries,
        target_count: pool.addresses().len() as u32,
        checkpoint_interval: limits.checkpoint_interval,
        claim_timeout: app
            .settings
            .batch
            .claim_timeout
            .max(limits.checkpoint_interval * MIN_CLAIM_CHECKPOINTS),
        deadline: info.record.deadline,
    };
    let host = app.settings.host.clone();
    let incarnation = app.next_incarnation.fetch_add(1, Ordering::SeqCst);
    let tag = format!("{:016x}", hash::hash_parts(&[host.as_str(), &incarnation.to_string()]));
    app.record_event(EventKind::Claimed, &id.job, format!("lot {} opened", id.index));
    Ok(Some(OpenLot {
        id: id.clone(),
        pool,
        first: range.first.0,
        lines: item_lines(&chunk, range.offset, range.count),
        tag: tag[..TAG_HEX_DIGITS].to_owned(),
        suspect_since: Mutex::new(None),
        state: Mutex::new(Lot::new(host, incarnation, range, config, clock::now())),
    }))
}

fn item_lines(chunk: &Bytes, offset: u32, count: u32) -> Vec<Bytes> {
    let lines = chunk.split(|&byte| byte == b'\n').filter(|line| !line.is_empty());
    let lines = lines.skip(offset as usize).take(count as usize);
    lines.map(|line| chunk.slice_ref(line)).collect()
}
