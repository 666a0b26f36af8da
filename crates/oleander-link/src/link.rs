//! Calls to peers by address.

use std::{collections::HashMap, fmt, sync::Arc, time::Duration};

use oleander_core::{HostId, Span, Time};
use parking_lot::Mutex;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{sync, time};

use crate::{
    LinkCounts, LinkError, LinkKey, MAX_FRAME_AGE,
    connection::Connection,
    counts::Counters,
    frame::{self, Frame, Kind, Nonce},
};

/// Time allowed beyond a call's timeout for the operation itself to report it.
const REPORT_GRACE: Duration = Duration::from_millis(50);

/// Connection of a peer, if one is dialled; the lock is held while dialling.
type Slot = sync::Mutex<Option<Arc<Connection>>>;

/// One process's end of the messages between processes.
///
/// Clones share connections and counters.
#[derive(Clone)]
pub struct Link {
    pub(crate) end: Arc<End>,
}

/// What all clones of a link share.
pub(crate) struct End {
    pub(crate) host: HostId,
    pub(crate) key: LinkKey,
    pub(crate) now: fn() -> Time,
    pub(crate) max_age: Span,
    pub(crate) counters: Counters,
    /// Lock order: this table, then one slot.
    slots: Mutex<HashMap<String, Arc<Slot>>>,
}

impl Link {
    /// A link of `host` that seals frames with `key` and reads the time from `now`.
    #[must_use]
    pub fn new(host: HostId, key: LinkKey, now: fn() -> Time) -> Self {
        Self::with_max_age(host, key, now, MAX_FRAME_AGE)
    }

    /// A link that accepts frames up to `max_age` older or newer than its own clock.
    #[must_use]
    pub fn with_max_age(host: HostId, key: LinkKey, now: fn() -> Time, max_age: Span) -> Self {
        let slots = Mutex::default();
        let counters = Counters::default();
        Self { end: Arc::new(End { host, key, now, max_age, counters, slots }) }
    }

    /// Frames rejected so far, at both ends of calls.
    #[must_use]
    pub fn counts(&self) -> LinkCounts {
        self.end.counters.read()
    }

    /// Sends `request` to the peer at `peer` (`ip:port`) and waits at most `timeout` for its answer.
    ///
    /// The request is sent at most once. Dropping the future does not recall a request that was
    /// sent.
    ///
    /// # Errors
    ///
    /// [`LinkError::Unreachable`] and [`LinkError::TooLarge`] mean that the request was not sent;
    /// [`LinkError::may_have_run`] tells for each error.
    pub async fn call<Q, A>(
        &self,
        peer: &str,
        request: &Q,
        timeout: Duration,
    ) -> Result<A, LinkError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let deadline = time::Instant::now() + timeout;
        let nonce = rand::random();
        let result = self.request(peer, nonce, frame::encode(request)?, deadline).await;
        let result = result.and_then(|answer| self.read_answer(&answer, nonce));
        if let Err(error) = &result {
            self.end.counters.add(error);
        }
        result
    }

    async fn request(
        &self,
        peer: &str,
        nonce: Nonce,
        payload: Vec<u8>,
        deadline: time::Instant,
    ) -> Result<nng::Message, LinkError> {
        let frame = self.end.frame(Kind::Request, nonce, payload).seal(&self.end.key)?;
        let connection = time::timeout_at(deadline, self.connection(peer))
            .await
            .map_err(|_| LinkError::Unreachable("connecting timed out".to_owned()))??;
        let pending = {
            let connection = Arc::clone(&connection);
            tokio::spawn(async move { connection.exchange(&frame, deadline).await })
        };
        match time::timeout_at(deadline + REPORT_GRACE, pending).await {
            Ok(Ok(result)) => result,
            Ok(Err(stopped)) => Err(LinkError::NoResponse(stopped.to_string())),
            Err(_) => {
                connection.retire();
                Err(LinkError::NoResponse("timed out".to_owned()))
            }
        }
    }

    fn read_answer<A: DeserializeOwned>(
        &self,
        answer: &[u8],
        nonce: Nonce,
    ) -> Result<A, LinkError> {
        let frame = Frame::open(answer, &self.end.key)?;
        frame.check_age((self.end.now)(), self.end.max_age)?;
        if frame.nonce != nonce {
            return Err(LinkError::Unauthenticated);
        }
        match frame.kind {
            Kind::Answer => frame::decode(&frame.payload),
            Kind::Request | Kind::Unauthenticated => Err(LinkError::Unauthenticated),
            Kind::Version => Err(LinkError::Version(frame::VERSION)),
            Kind::Codec => Err(LinkError::Codec("peer can't read the request".to_owned())),
            Kind::Failed => Err(LinkError::NoResponse("handler failed".to_owned())),
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

    /// The slot of `peer`; making a new one drops the slots whose connection is gone.
    fn slot(&self, peer: &str) -> Arc<Slot> {
        let mut slots = self.end.slots.lock();
        if let Some(slot) = slots.get(peer) {
            return Arc::clone(slot);
        }
        slots.retain(|_, slot| is_live(slot));
        let slot = Arc::<Slot>::default();
        slots.insert(peer.to_owned(), Arc::clone(&slot));
        slot
    }
}

/// Whether a slot is in use: being dialled, or connected.
fn is_live(slot: &Arc<Slot>) -> bool {
    if Arc::strong_count(slot) > 1 {
        return true;
    }
    let Ok(connection) = slot.try_lock() else { return true };
    connection.as_ref().is_some_and(|c| !c.is_retired())
}

impl End {
    /// A frame of this host, sent now.
    pub(crate) fn frame(&self, kind: Kind, nonce: Nonce, payload: Vec<u8>) -> Frame {
        Frame { kind, sender: self.host.clone(), at: (self.now)(), nonce, payload }
    }
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link").field("host", &self.end.host).finish_non_exhaustive()
    }
}
