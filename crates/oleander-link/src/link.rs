//! Calls to peers.

use std::{collections::HashMap, fmt, sync::Arc, time::Duration};

use oleander_core::{HostId, Span, Time};
use parking_lot::Mutex;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{sync, time};

use crate::{
    LinkCounts, LinkError, LinkKey, MAX_FRAME_AGE,
    connection::Connection,
    counts::Counters,
    frame::{self, Frame, FrameKind, Nonce},
};

/// Time after the deadline of a call in which the socket operation may report its own timeout.
const TIMEOUT_GRACE: Duration = Duration::from_millis(50);

/// The connection to a peer, if there is one; the lock is held while connecting.
type ConnectionSlot = sync::Mutex<Option<Arc<Connection>>>;

/// Endpoint of a process for calls to and from its peers.
///
/// Clones share their connections and counters.
#[derive(Clone)]
pub struct Link {
    pub(crate) shared: Arc<Shared>,
}

/// State shared by all clones of a link.
pub(crate) struct Shared {
    pub(crate) host: HostId,
    pub(crate) key: LinkKey,
    pub(crate) now: fn() -> Time,
    pub(crate) max_age: Span,
    pub(crate) counters: Counters,
    /// Connection slots by address. Lock order: this map, then a slot.
    slots: Mutex<HashMap<String, Arc<ConnectionSlot>>>,
}

impl Link {
    /// Creates a link of `host` that authenticates frames with `key` and reads the time from `now`.
    #[must_use]
    pub fn new(host: HostId, key: LinkKey, now: fn() -> Time) -> Self {
        Self::with_max_age(host, key, now, MAX_FRAME_AGE)
    }

    /// Creates a link that accepts frames whose time is within `max_age` of its own clock.
    #[must_use]
    pub fn with_max_age(host: HostId, key: LinkKey, now: fn() -> Time, max_age: Span) -> Self {
        let slots = Mutex::default();
        let counters = Counters::default();
        Self { shared: Arc::new(Shared { host, key, now, max_age, counters, slots }) }
    }

    /// Counts of rejected frames and failed calls, as caller and as server.
    #[must_use]
    pub fn counts(&self) -> LinkCounts {
        self.shared.counters.snapshot()
    }

    /// Sends `request` to the address `peer` (`ip:port`) and waits for the response.
    ///
    /// The request is sent at most once. Dropping the future does not cancel a request that was
    /// sent.
    ///
    /// # Errors
    ///
    /// Fails if no valid response arrives within `timeout`. [`LinkError::Unreachable`],
    /// [`LinkError::Refused`] and [`LinkError::TooLarge`] mean that the request was not sent. For each error,
    /// [`LinkError::may_have_run`] tells whether the peer may have processed the request.
    pub async fn call<Req, Res>(
        &self,
        peer: &str,
        request: &Req,
        timeout: Duration,
    ) -> Result<Res, LinkError>
    where
        Req: Serialize,
        Res: DeserializeOwned,
    {
        let deadline = time::Instant::now() + timeout;
        let nonce = rand::random();
        let result =
            self.send_request(peer, nonce, frame::encode_message(request)?, deadline).await;
        let result = result.and_then(|response| self.read_response(&response, nonce));
        if let Err(error) = &result {
            self.shared.counters.record(error);
        }
        result
    }

    async fn send_request(
        &self,
        peer: &str,
        nonce: Nonce,
        payload: Vec<u8>,
        deadline: time::Instant,
    ) -> Result<nng::Message, LinkError> {
        let frame =
            self.shared.frame(FrameKind::Request, nonce, payload).encode(&self.shared.key)?;
        let connection = time::timeout_at(deadline, self.connection(peer))
            .await
            .map_err(|_| LinkError::Unreachable("connecting timed out".to_owned()))??;
        let exchange = {
            let connection = Arc::clone(&connection);
            tokio::spawn(async move { connection.exchange(&frame, deadline).await })
        };
        match time::timeout_at(deadline + TIMEOUT_GRACE, exchange).await {
            Ok(Ok(result)) => result,
            Ok(Err(join_error)) => Err(LinkError::NoResponse(join_error.to_string())),
            Err(_) => {
                connection.retire();
                Err(LinkError::NoResponse("timed out".to_owned()))
            }
        }
    }

    fn read_response<Res: DeserializeOwned>(
        &self,
        response: &[u8],
        nonce: Nonce,
    ) -> Result<Res, LinkError> {
        let frame = Frame::decode(response, &self.shared.key)?;
        frame.check_age((self.shared.now)(), self.shared.max_age)?;
        if frame.nonce != nonce {
            return Err(LinkError::Unauthenticated);
        }
        match frame.kind {
            FrameKind::Response => frame::decode_message(&frame.payload),
            FrameKind::Request | FrameKind::Unauthenticated => Err(LinkError::Unauthenticated),
            FrameKind::Version => Err(LinkError::Version(frame::PROTOCOL_VERSION)),
            FrameKind::Codec => {
                Err(LinkError::Codec("peer could not decode the request".to_owned()))
            }
            FrameKind::Failed => Err(LinkError::NoResponse("handler failed".to_owned())),
        }
    }

    async fn connection(&self, peer: &str) -> Result<Arc<Connection>, LinkError> {
        let slot = self.slot(peer);
        let mut slot = slot.lock().await;
        if let Some(connection) = slot.as_ref().filter(|c| !c.is_retired()) {
            return Ok(Arc::clone(connection));
        }
        *slot = None;
        let connection = Arc::new(Connection::dial(peer).await?);
        *slot = Some(Arc::clone(&connection));
        Ok(connection)
    }

    /// The slot of `peer`; adding one removes the slots that are not in use.
    fn slot(&self, peer: &str) -> Arc<ConnectionSlot> {
        let mut slots = self.shared.slots.lock();
        if let Some(slot) = slots.get(peer) {
            return Arc::clone(slot);
        }
        slots.retain(|_, slot| is_in_use(slot));
        let slot = Arc::<ConnectionSlot>::default();
        slots.insert(peer.to_owned(), Arc::clone(&slot));
        slot
    }
}

/// Whether a slot has a usable connection or is held by a task.
fn is_in_use(slot: &Arc<ConnectionSlot>) -> bool {
    if Arc::strong_count(slot) > 1 {
        return true;
    }
    let Ok(connection) = slot.try_lock() else { return true };
    connection.as_ref().is_some_and(|c| !c.is_retired())
}

impl Shared {
    /// Creates a frame of this host with the current time.
    pub(crate) fn frame(&self, kind: FrameKind, nonce: Nonce, payload: Vec<u8>) -> Frame {
        Frame { kind, sender: self.host.clone(), sent_at: (self.now)(), nonce, payload }
    }
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link").field("host", &self.shared.host).finish_non_exhaustive()
    }
}
