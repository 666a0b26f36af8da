//! Gives places at targets to items, and time to lots.

use std::{sync::Arc, time::Duration};

use oleander_core::{Span, TargetId};
use oleander_host::clock;
use oleander_jobs::LotEvent;
use oleander_routing::{Observation, Pick};
use tokio::time;

use crate::{app::App, lots::LotCell};

const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a suspect waits for a target of this host's own.
const SUSPECT_PATIENCE: Span = Span::from_secs(3);
const YIELD_INTERVAL: Duration = Duration::from_millis(50);

/// Starts the loops.
pub(crate) fn start(app: &Arc<App>) {
    tokio::spawn(dispatch(Arc::clone(app)));
    tokio::spawn(tick(Arc::clone(app)));
    tokio::spawn(make_room(Arc::clone(app)));
}

async fn tick(app: Arc<App>) {
    loop {
        for cell in app.open_lots() {
            app.drive(&cell, LotEvent::Tick);
        }
        metrics::gauge!("oleander_batch_running").set(app.runs.lock().len() as f64);
        metrics::gauge!("oleander_batch_lots").set(app.lots.lock().len() as f64);
        time::sleep(TICK_INTERVAL).await;
    }
}

async fn make_room(app: Arc<App>) {
    loop {
        app.yield_excess();
        time::sleep(YIELD_INTERVAL).await;
    }
}

async fn dispatch(app: Arc<App>) {
    let mut turn = 0;
    loop {
        // Woken by events or by time, since room at targets changes by both.
        let _ = time::timeout(DISPATCH_INTERVAL, app.work.notified()).await;
        if !app.is_running() {
            return;
        }
        turn += 1;
        fill_places(&app, turn);
    }
}

/// Starts items, one a lot in turn, until nothing more fits.
fn fill_places(app: &Arc<App>, turn: usize) {
    let mut cells = app.open_lots();
    if cells.is_empty() {
        return;
    }
    cells.sort_by(|a, b| (&a.key.job, a.key.lot).cmp(&(&b.key.job, b.key.lot)));
    let first = turn % cells.len();
    cells.rotate_left(first);
    while !cells.is_empty() {
        cells.retain(|cell| has_slot(app) && start_one(app, cell));
    }
}

fn has_slot(app: &App) -> bool {
    app.runs.lock().len() < app.settings.batch.slots as usize
}

/// Starts one item of a lot; false if there is none to start or no room.
fn start_one(app: &Arc<App>, cell: &Arc<LotCell>) -> bool {
    let (suspect, ready) = {
        let lot = cell.lot.lock();
        let now = clock::now();
        (lot.has_ready_suspect(now), lot.ready_count(now) > 0)
    };
    if !suspect {
        *cell.suspect_since.lock() = None;
    }
    (suspect && start_suspect(app, cell)) || (ready && start_item(app, cell, false, Vec::new()))
}

/// Starts a suspect alone, where this host runs suspects; elsewhere after some time in vain.
fn start_suspect(app: &Arc<App>, cell: &Arc<LotCell>) -> bool {
    let now = clock::now();
    let since = *cell.suspect_since.lock().get_or_insert(now);
    let ready = cell.pool.ready_targets();
    let (own, foreign): (Vec<TargetId>, Vec<TargetId>) = {
        let jobs = app.jobs.lock();
        ready.into_iter().partition(|target| jobs.tries_suspects_at(target))
    };
    let in_vain = own.is_empty() || now.since(since) >= SUSPECT_PATIENCE;
    let foreign = if in_vain { Vec::new() } else { foreign };
    let started = start_item(app, cell, true, foreign);
    if started {
        *cell.suspect_since.lock() = None;
    }
    started
}

fn start_item(
    app: &Arc<App>,
    cell: &Arc<LotCell>,
    alone: bool,
    mut exclude: Vec<TargetId>,
) -> bool {
    exclude.extend(app.runs.lock().reserved());
    exclude.extend(app.health.lock().in_backoff(clock::now()));
    loop {
        let pick = Pick::batch().exclude(exclude.clone());
        let pick = if alone { pick.alone() } else { pick };
        let Some(place) = cell.pool.pick(clock::now(), &pick) else { return false };
        let (target, lease) = (place.target.clone(), place.lease);
        if app.offer(cell, place, alone) {
            return true;
        }
        // The target refused all that could start there.
        cell.pool.observe(lease, Observation::Cancelled);
        exclude.push(target);
    }
}
