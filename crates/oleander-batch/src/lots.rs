//! The open lots of this host, and the execution of their actions.
//!
//! Actions are executed under the lock of the lot, so that a run is in the table of runs before
//! anything can stop it.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use oleander_core::{EventKind, TargetId, Time};
use oleander_host::clock;
use oleander_jobs::{Lot, LotAction, LotEnd, LotEvent, LotRecord, key};
use oleander_ledger::{LogEvent, Segment};
use oleander_node::create_segment;
use parking_lot::Mutex;
use tokio::time::{self, Duration};

use crate::{
    app::App,
    pool::{Pool, TargetLease},
    run::{self, RunSpec},
    runs::{LotId, StopReason},
};

const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// All open lots of this host.
pub(crate) type Lots = HashMap<LotId, Arc<OpenLot>>;

/// A lot that this host follows or runs.
pub(crate) struct OpenLot {
    /// Its id.
    pub(crate) id: LotId,
    /// The targets of the service.
    pub(crate) pool: Arc<Pool>,
    /// Index of the first item in the job.
    pub(crate) first: u32,
    /// Lines of the input file, one per item.
    pub(crate) lines: Vec<Bytes>,
    /// Part of the request ids that no other opening of the lot uses.
    pub(crate) tag: String,
    /// Time since which a suspect waits for a target.
    pub(crate) suspect_since: Mutex<Option<Time>>,
    /// The state machine of the lot.
    pub(crate) state: Mutex<Lot>,
}

impl App {
    /// The open lots, in arbitrary order.
    pub(crate) fn open_lots(&self) -> Vec<Arc<OpenLot>> {
        self.lots.lock().values().cloned().collect()
    }

    /// Passes an event to a lot and executes the resulting actions.
    pub(crate) fn handle_event(self: &Arc<Self>, lot: &Arc<OpenLot>, event: LotEvent) {
        let mut state = lot.state.lock();
        for action in state.handle(clock::now(), event) {
            self.execute(lot, action);
        }
        drop(state);
        self.wake.notify_one();
    }

    /// Offers the slot of a lease to a lot; false if the lot declines it.
    pub(crate) fn offer_slot(
        self: &Arc<Self>,
        lot: &Arc<OpenLot>,
        lease: TargetLease,
        alone: bool,
    ) -> bool {
        let mut state = lot.state.lock();
        let event = LotEvent::OfferSlot { target: lease.target.clone(), alone };
        let mut used = false;
        for action in state.handle(clock::now(), event) {
            match action {
                LotAction::StartRun { run, target, alone, partial } => {
                    used = true;
                    let lease = lease.clone();
                    self.start_run(lot, target, alone, RunSpec { run, lease, alone, partial });
                }
                LotAction::DeclineSlot(_) => {}
                other => self.execute(lot, other),
            }
        }
        used
    }

    fn execute(self: &Arc<Self>, lot: &Arc<OpenLot>, action: LotAction) {
        match action {
            LotAction::Create(sequence, segment) => {
                tokio::spawn(create(Arc::clone(self), Arc::clone(lot), sequence, segment));
            }
            LotAction::Fetch(sequence) => {
                tokio::spawn(fetch(Arc::clone(self), Arc::clone(lot), sequence));
            }
            LotAction::CancelRun(run) => self.runs.lock().stop(&lot.id, run, StopReason::Discard),
            LotAction::Finished(end) => {
                tokio::spawn(finish(Arc::clone(self), Arc::clone(lot), end));
            }
            // Only the event in `offer_slot` leads to these.
            LotAction::StartRun { .. } | LotAction::DeclineSlot(_) => {}
        }
    }

    fn start_run(
        self: &Arc<Self>,
        lot: &Arc<OpenLot>,
        target: TargetId,
        alone: bool,
        spec: RunSpec,
    ) {
        let stop = self.runs.lock().add(clock::now(), &lot.id, spec.run, target, alone);
        tokio::spawn(run::run(Arc::clone(self), Arc::clone(lot), spec, stop));
    }

    /// Releases all open lots.
    pub(crate) fn release_lots(self: &Arc<Self>) {
        for lot in self.open_lots() {
            self.handle_event(&lot, LotEvent::Release);
        }
    }

    /// Waits until no lot is open; releases those that were still being opened, too.
    pub(crate) async fn wait_for_release(self: &Arc<Self>) {
        while !self.lots.lock().is_empty() || self.opening() > 0 {
            self.release_lots();
            time::sleep(RELEASE_POLL_INTERVAL).await;
        }
    }
}

async fn create(app: Arc<App>, lot: Arc<OpenLot>, sequence: u64, segment: Segment<LotRecord>) {
    let name = key::segment(&lot.id.job, lot.id.index, sequence);
    let event = create_segment(&app.platform, &name, sequence, &segment).await;
    app.handle_event(&lot, LotEvent::Log(event));
}

async fn fetch(app: Arc<App>, lot: Arc<OpenLot>, sequence: u64) {
    let found = app.store.segment(&lot.id.job, lot.id.index, sequence).await;
    let event = match found {
        Ok(segment) => LogEvent::Fetched(sequence, segment),
        Err(error) => {
            log::warn!("lot {}/{} can't be read: {error}", lot.id.job, lot.id.index);
            LogEvent::Failed(sequence)
        }
    };
    app.handle_event(&lot, LotEvent::Log(event));
}

/// Records in the scheduler how a lot ended, and publishes its counts if it is closed.
async fn finish(app: Arc<App>, lot: Arc<OpenLot>, end: LotEnd) {
    let LotId { job, index } = &lot.id;
    app.record_event(EventKind::Finished, job, format!("lot {index}: {end:?}"));
    app.jobs.lock().record_end(clock::now(), job, *index, end);
    if let LotEnd::Closed(counts) = end {
        app.publish_closed(&lot.id, counts).await;
    }
    app.lots.lock().remove(&lot.id);
    app.wake.notify_one();
}
