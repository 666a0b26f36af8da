//! Targets that answer each request with one event, and note which host sent it when.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use oleander_core::HostId;
use oleander_relay::{
    BodyError, Dispatch, Reach, Request, ResponseBody, ResponseHead, SendError, TargetEntry,
    TargetResponse, TargetTransport,
};
use parking_lot::Mutex;
use tokio::time::sleep;

/// Time for an item at a target.
const ITEM_TIME: Duration = Duration::from_millis(100);

/// An item that reached a target.
#[derive(Debug, Clone)]
pub(crate) struct Start {
    pub(crate) item: String,
    pub(crate) host: HostId,
    pub(crate) at: Instant,
}

/// All items that reached targets.
pub(crate) type Starts = Arc<Mutex<Vec<Start>>>;

/// The way of one process to the targets.
pub(crate) struct Targets {
    pub(crate) host: HostId,
    pub(crate) starts: Starts,
}

pub(crate) struct OneEvent(Option<Bytes>);

impl ResponseBody for OneEvent {
    async fn next_chunk(&mut self) -> Option<Result<Bytes, BodyError>> {
        sleep(ITEM_TIME).await;
        self.0.take().map(Ok)
    }
}

impl TargetTransport for Targets {
    type Body = OneEvent;

    fn size(&self, _: &Request) -> Option<u32> {
        None
    }

    async fn connect(&self, _: &TargetEntry) -> Reach {
        Reach::Accepted
    }

    async fn send(&self, dispatch: Dispatch) -> Result<TargetResponse<OneEvent>, SendError> {
        let item = dispatch.request.id.clone();
        let event = format!("id: 1\ndata: done {item}\n\n");
        self.starts.lock().push(Start { item, host: self.host.clone(), at: Instant::now() });
        let head = ResponseHead { status: StatusCode::OK, headers: HeaderMap::new() };
        Ok(TargetResponse::new(head, OneEvent(Some(Bytes::from(event)))))
    }
}
