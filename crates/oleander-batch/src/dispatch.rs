//! Starts items of the open lots at targets, and sends the lots their ticks.

use std::{sync::Arc, time::Duration};

use oleander_core::{Span, TargetId};
use oleander_host::clock;
use oleander_jobs::LotEvent;
use oleander_routing::{Observation, Pick};
use tokio::time;

use crate::{app::App, lots::OpenLot};

const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a suspect may run at a target that is assigned to another host.
const SUSPECT_TIMEOUT: Span = Span::from_secs(3);
const YIELD_INTERVAL: Duration = Duration::from_millis(50);

/// Starts the loops.
pub(crate) fn start(app: &Arc<App>) {
    tokio::spawn(run_dispatch(Arc::clone(app)));
    tokio::spawn(run_ticks(Arc::clone(app)));
    tokio::spawn(run_yields(Arc::clone(app)));
}

async fn run_ticks(app: Arc<App>) {
    loop {
        for lot in app.open_lots() {
            app.handle_event(&lot, LotEvent::Tick);
        }
        metrics::gauge!("oleander_batch_running").set(app.runs.lock().len() as f64);
        metrics::gauge!("oleander_batch_lots").set(app.lots.lock().len() as f64);
        time::sleep(TICK_INTERVAL).await;
    }
}

async fn run_yields(app: Arc<App>) {
    loop {
        app.yield_excess();
        time::sleep(YIELD_INTERVAL).await;
    }
}

async fn run_dispatch(app: Arc<App>) {
    let mut round = 0;
    loop {
        // Woken by events, or after the interval, since capacity also changes with time.
        let _ = time::timeout(DISPATCH_INTERVAL, app.wake.notified()).await;
        if !app.is_running() {
            return;
        }
        round += 1;
        start_items(&app, round);
    }
}

/// Starts items, one per lot in turn, until no lot can start another.
///
/// `round` rotates the order, so that each lot is first at times.
fn start_items(app: &Arc<App>, round: usize) {
    let mut lots = app.open_lots();
    if lots.is_empty() {
        return;
    }
    lots.sort_by(|a, b| (&a.id.job, a.id.index).cmp(&(&b.id.job, b.id.index)));
    let first = round % lots.len();
    lots.rotate_left(first);
    while !lots.is_empty() {
        lots.retain(|lot| has_free_slot(app) && start_next(app, lot));
    }
}

fn has_free_slot(app: &App) -> bool {
    app.runs.lock().len() < app.settings.batch.slots as usize
}

/// Starts one item of a lot; false if none is ready, no target has free capacity, or the job was not
/// read as open a short time ago.
fn start_next(app: &Arc<App>, lot: &Arc<OpenLot>) -> bool {
    if !app.jobs.lock().may_start(&lot.id.job, clock::since_boot()) {
        return false;
    }
    let (suspect, ready) = {
        let state = lot.state.lock();
        let now = clock::now();
        (state.has_ready_suspect(now), state.ready_count(now) > 0)
    };
    if !suspect {
        *lot.suspect_since.lock() = None;
    }
    (suspect && start_suspect(app, lot)) || (ready && start_item(app, lot, false, Vec::new()))
}

/// Starts a suspect (an item that ran at a target when that was lost) alone at a target.
///
/// Prefers the targets assigned to this host for suspects, and uses others if none of these is
/// ready, or after [`SUSPECT_TIMEOUT`].
fn start_suspect(app: &Arc<App>, lot: &Arc<OpenLot>) -> bool {
    let now = clock::now();
    let since = *lot.suspect_since.lock().get_or_insert(now);
    let ready = lot.pool.ready_targets();
    let (assigned, others): (Vec<TargetId>, Vec<TargetId>) = {
        let jobs = app.jobs.lock();
        ready.into_iter().partition(|target| jobs.runs_suspects_at(target))
    };
    let use_others = assigned.is_empty() || now.since(since) >= SUSPECT_TIMEOUT;
    let excluded = if use_others { Vec::new() } else { others };
    let started = start_item(app, lot, true, excluded);
    if started {
        *lot.suspect_since.lock() = None;
    }
    started
}

fn start_item(app: &Arc<App>, lot: &Arc<OpenLot>, alone: bool, mut exclude: Vec<TargetId>) -> bool {
    exclude.extend(app.runs.lock().exclusive_targets());
    exclude.extend(app.health.lock().in_backoff(clock::now()));
    loop {
        let pick = Pick::batch().exclude(exclude.clone());
        let pick = if alone { pick.alone() } else { pick };
        let Some(lease) = lot.pool.pick(clock::now(), &pick) else { return false };
        let (target, lease_id) = (lease.target.clone(), lease.id);
        if app.offer_slot(lot, lease, alone) {
            return true;
        }
        // No item of the lot can start at this target.
        lot.pool.observe(lease_id, Observation::Cancelled);
        exclude.push(target);
    }
}
