//! Targets of which some name a limit for the requests that they take.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use oleander_core::TargetId;
use oleander_relay::{
    BodyError, Dispatch, ResponseBody, ResponseHead, SendError, TargetResponse, TargetTransport,
};
use oleander_routing::RequestRate;
use parking_lot::Mutex;
use tokio::time::sleep;

/// Time before the response head, and before the only event.
const HEAD: Duration = Duration::from_millis(10);
const EVENT: Duration = Duration::from_millis(40);

/// Targets that count the requests that reach them.
#[derive(Debug, Clone, Default)]
pub(crate) struct LimitTargets {
    limited: Arc<Mutex<HashSet<TargetId>>>,
    rate: Arc<Mutex<Option<RequestRate>>>,
    arrivals: Arc<Mutex<HashMap<TargetId, Vec<Instant>>>>,
}

impl LimitTargets {
    /// Targets of which `limited` may name a limit.
    pub(crate) fn new(limited: HashSet<TargetId>) -> Self {
        Self { limited: Arc::new(Mutex::new(limited)), ..Self::default() }
    }

    /// Changes the rate that limited targets name.
    pub(crate) fn set_rate(&self, rate: Option<RequestRate>) {
        *self.rate.lock() = rate;
    }

    pub(crate) fn is_limited(&self, target: &TargetId) -> bool {
        self.limited.lock().contains(target)
    }

    /// When requests reached each target.
    pub(crate) fn arrivals(&self) -> HashMap<TargetId, Vec<Instant>> {
        self.arrivals.lock().clone()
    }
}

impl TargetTransport for LimitTargets {
    type Body = OneEvent;

    async fn send(&self, dispatch: Dispatch) -> Result<TargetResponse<OneEvent>, SendError> {
        let target = dispatch.target.id;
        self.arrivals.lock().entry(target.clone()).or_default().push(Instant::now());
        sleep(HEAD).await;
        let rate_limit = *self.rate.lock();
        let rate_limit = rate_limit.filter(|_| self.is_limited(&target));
        let head = ResponseHead { status: StatusCode::OK, headers: HeaderMap::new() };
        let body = OneEvent { is_sent: false };
        Ok(TargetResponse { head, not_run: false, load: None, rate_limit, is_leaving: false, body })
    }
}

#[derive(Debug)]
pub(crate) struct OneEvent {
    is_sent: bool,
}

impl ResponseBody for OneEvent {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        if std::mem::replace(&mut self.is_sent, true) {
            return None;
        }
        sleep(EVENT).await;
        Some(Ok(Bytes::from_static(b"id: 1\ndata: x\n\n")))
    }
}
