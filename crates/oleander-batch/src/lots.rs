//! The lots that this host has open, and the actions that they ask for.
//!
//! Actions are carried out under the lock of the lot, so that a run is in the table of runs
//! before anything can stop it.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use oleander_core::{EventKind, TargetId, Time};
use oleander_host::clock;
use oleander_jobs::{Lot, LotAction, LotEnd, LotEvent, LotRecord, key};
use oleander_ledger::{LogEvent, Segment};
use oleander_platform::{Created, ObjectStore};
use parking_lot::Mutex;
use tokio::time::{self, Duration};

use crate::{
    app::App,
    pool::{Place, Pool},
    run::{self, Grant},
    runs::{LotKey, Stop},
};

const GONE_POLL: Duration = Duration::from_millis(20);

/// All open lots of this host.
pub(crate) type Lots = HashMap<LotKey, Arc<LotCell>>;

/// One open lot.
pub(crate) struct LotCell {
    /// Its name.
    pub(crate) key: LotKey,
    /// The targets of the service.
    pub(crate) pool: Arc<Pool>,
    /// Position of the first item within the job.
    pub(crate) first: u32,
    /// Lines of the items.
    pub(crate) lines: Vec<Bytes>,
    /// Tells the runs of this claim from others.
    pub(crate) tag: String,
    /// Since when a suspect waits for a place.
    pub(crate) suspect_since: Mutex<Option<Time>>,
    /// The state machine.
    pub(crate) lot: Mutex<Lot>,
}

impl App {
    /// Open lots, in no order.
    pub(crate) fn open_lots(&self) -> Vec<Arc<LotCell>> {
        self.lots.lock().values().cloned().collect()
    }

    /// Feeds an event to a lot and carries out what it asks for.
    pub(crate) fn drive(self: &Arc<Self>, cell: &Arc<LotCell>, event: LotEvent) {
        let mut lot = cell.lot.lock();
        for action in lot.handle(clock::now(), event) {
            self.carry_out(cell, action);
        }
        drop(lot);
        self.work.notify_one();
    }

    /// Offers a place to a lot; false if it has no use for it.
    pub(crate) fn offer(self: &Arc<Self>, cell: &Arc<LotCell>, place: Place, alone: bool) -> bool {
        let mut lot = cell.lot.lock();
        let event = LotEvent::OfferSlot { target: place.target.clone(), alone };
        let mut used = false;
        for action in lot.handle(clock::now(), event) {
            match action {
                LotAction::StartRun { run, target, alone, partial } => {
                    used = true;
                    let place = place.clone();
                    self.start_run(cell, target, alone, Grant { run, place, alone, partial });
                }
                LotAction::DeclineSlot(_) => {}
                other => self.carry_out(cell, other),
            }
        }
        used
    }

    fn carry_out(self: &Arc<Self>, cell: &Arc<LotCell>, action: LotAction) {
        match action {
            LotAction::Create(sequence, segment) => {
                tokio::spawn(create(Arc::clone(self), Arc::clone(cell), sequence, segment));
            }
            LotAction::Fetch(sequence) => {
                tokio::spawn(fetch(Arc::clone(self), Arc::clone(cell), sequence));
            }
            LotAction::CancelRun(run) => self.runs.lock().stop(&cell.key, run, Stop::Drop),
            LotAction::Finished(end) => {
                tokio::spawn(finish(Arc::clone(self), Arc::clone(cell), end));
            }
            // Places are offered through `offer` alone.
            LotAction::StartRun { .. } | LotAction::DeclineSlot(_) => {}
        }
    }

    fn start_run(
        self: &Arc<Self>,
        cell: &Arc<LotCell>,
        target: TargetId,
        alone: bool,
        grant: Grant,
    ) {
        let stop = self.runs.lock().add(clock::now(), &cell.key, grant.run, target, alone);
        tokio::spawn(run::run(Arc::clone(self), Arc::clone(cell), grant, stop));
    }

    /// Gives all lots back.
    pub(crate) fn release_lots(self: &Arc<Self>) {
        for cell in self.open_lots() {
            self.drive(&cell, LotEvent::Release);
        }
    }

    /// Waits until no lot is open.
    pub(crate) async fn lots_gone(self: &Arc<Self>) {
        while !self.lots.lock().is_empty() || self.opening() > 0 {
            self.release_lots();
            time::sleep(GONE_POLL).await;
        }
    }
}

async fn create(app: Arc<App>, cell: Arc<LotCell>, sequence: u64, segment: Segment<LotRecord>) {
    let name = key::segment(&cell.key.job, cell.key.lot, sequence);
    let event = match segment.encode() {
        Ok(bytes) => match app.platform.create(&name, Bytes::from(bytes)).await {
            Ok(Created::New(_)) => LogEvent::Created(sequence),
            Ok(Created::Exists) => LogEvent::Exists(sequence),
            Err(error) => {
                log::warn!("{name} was not written: {error}");
                LogEvent::Failed(sequence)
            }
        },
        Err(error) => {
            log::error!("{name}: {error}");
            LogEvent::Failed(sequence)
        }
    };
    app.drive(&cell, LotEvent::Log(event));
}

async fn fetch(app: Arc<App>, cell: Arc<LotCell>, sequence: u64) {
    let found = app.store.segment(&cell.key.job, cell.key.lot, sequence).await;
    let event = match found {
        Ok(segment) => LogEvent::Fetched(sequence, segment),
        Err(error) => {
            log::warn!("lot {}/{} can't be read: {error}", cell.key.job, cell.key.lot);
            LogEvent::Failed(sequence)
        }
    };
    app.drive(&cell, LotEvent::Log(event));
}

/// Tells the board how a lot ended, and publishes its counts if it is closed.
async fn finish(app: Arc<App>, cell: Arc<LotCell>, end: LotEnd) {
    let LotKey { job, lot } = &cell.key;
    app.event(EventKind::Finished, job, format!("lot {lot}: {end:?}"));
    app.jobs.lock().end(clock::now(), job, *lot, end);
    if let LotEnd::Closed(counts) = end {
        app.publish_closed(&cell.key, counts).await;
    }
    app.lots.lock().remove(&cell.key);
    app.work.notify_one();
}
