//! Events and the state of calls, items and hosts.

use std::collections::BTreeMap;

use oleander_core::{HostId, Time};
use oleander_routing::{LeaseId, LoadReport, PeerCount, Router, TicketId};

use crate::{
    engine::{Sequence, StepOutput},
    load::Arrival,
};

pub(super) enum Event {
    Arrive { call: usize },
    Submit { target: usize, sequence: Sequence },
    Cancel { target: usize, run: u64 },
    FinishStep { target: usize },
    Output { output: StepOutput },
    SendCounts { host: usize },
    Counts { to: usize, from: usize, counts: Vec<PeerCount>, sent: Time },
    MeasureLoad { target: usize },
    LoadReport { target: usize, load: LoadReport },
    Wake { host: usize },
    Freeze { target: usize, frozen: bool },
}

pub(super) struct Call {
    pub(super) arrival: Arrival,
    /// When the caller sent the request, or sent it again after a refusal.
    pub(super) sent_at: Time,
    pub(super) retries: u32,
}

pub(super) struct Item {
    pub(super) prompt: u32,
    pub(super) length: u32,
    pub(super) produced: u32,
}

pub(super) enum Work {
    Call(usize),
    Item(Item),
}

pub(super) struct Run {
    pub(super) host: usize,
    pub(super) target: usize,
    pub(super) lease: LeaseId,
    /// Output tokens observed so far.
    pub(super) observed: u32,
    pub(super) work: Work,
}

pub(super) struct Host {
    pub(super) name: HostId,
    pub(super) zone: usize,
    pub(super) router: Router,
    /// Waiting calls, in order of arrival.
    pub(super) waiting: BTreeMap<TicketId, usize>,
    /// Cancelled items to be resumed.
    pub(super) resumable: Vec<Item>,
}
