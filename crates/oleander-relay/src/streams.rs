//! Software versions of streams, over all tries of a caller.
//!
//! What two versions of a target's software write does not fit together, so a stream goes on only
//! at the version that began it. A caller that comes back names the attempt that brought the first
//! event, but not its version, and may come to any host, most often after its first host failed.
//!
//! The host that sends a stream to a target registers it under the id of the caller's attempt, and
//! under its content for callers that do not name the attempt when they come back. While
//! a service has, or lately had, targets of more than one version, new streams are announced to a
//! few other hosts before their first event. A host that gets a stream which it does not know takes
//! the only version of the service for that of the stream, if a read of the platform confirms that
//! there is no other; a list whose age is not known may lack the version that began the stream a
//! moment ago. Else it asks the others. If none knows the stream, and the service may have had
//! another version, the stream is refused: without its version it can't go on.
//!
//! That a service has long had one version is known by the hosts that have followed it. A host that
//! has just started [takes it over](StreamVersions::inherit) from those, so that it does not end
//! with them while hosts are restarted one after another.
//!
//! If all hosts end at once, nobody knows the streams any more. So those whose head has reached the
//! caller are [taken](StreamVersions::take_begun) to be saved while a service has several versions,
//! by the attempt only: an id of an attempt is used once, while the same content may begin again at
//! another version.

mod begun_sink;
mod register;
mod service_versions;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};

use oleander_core::{ServiceId, Span, Time, hash, value};
use oleander_host::clock;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{
        Notify,
        mpsc::{self, UnboundedReceiver, UnboundedSender},
        oneshot,
    },
    time,
};

pub(crate) use self::begun_sink::{BegunSink, BegunStream};
pub use self::{
    register::{ListState, StreamRegister},
    service_versions::VersionEvidence,
};
use crate::{
    confirmations::{ConfirmRequests, Confirmations},
    list_time::ListTime,
    version::SoftwareVersion,
};

/// Maximum wait for a read that confirms the list of targets; a caller that resumes has waited for
/// its first host already.
const CONFIRM_WAIT: Span = Span::from_millis(150);

/// Time between two requests for a read of the list that nobody waits for.
const REQUEST_INTERVAL: Span = Span::from_secs(1);

/// A stream over all tries of its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamId(u64);

impl StreamId {
    /// No stream: a question about it asks only what a host knows of the versions of a service.
    pub const NONE: Self = Self(0);

    /// The stream that the attempt `id` of a caller began.
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self(hash::hash_parts(&[id]))
    }

    /// The stream that a request with this content began, whatever the id of the attempt.
    #[must_use]
    pub fn of_content(host: &str, path: &str, body: &[u8]) -> Self {
        let body = hash::hash_bytes(body).to_string();
        Self(hash::hash_parts(&[host, path, &body]))
    }
}

impl fmt::Display for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

value! {
    /// Streams that were begun by one version.
    pub struct VersionStreams {
        /// The version.
        pub version: SoftwareVersion,
        /// When the sender announced them, by its clock.
        pub sent: Time,
        /// The streams.
        pub streams: Vec<StreamId>,
    }

    /// Streams of one service that a version has begun, so that no other one can.
    pub struct BegunStreams {
        /// The service.
        pub service: ServiceId,
        /// The version that began them.
        pub version: SoftwareVersion,
        /// Each stream, and the time for which it is kept.
        pub streams: Vec<(StreamId, Span)>,
    }

    /// What a host knows about the version of a stream.
    pub enum StreamAnswer {
        /// The version that began it.
        Registered(SoftwareVersion),
        /// Its service has had this version only, for longer than a stream lasts.
        Settled(SoftwareVersion),
        /// Its service has, or lately had, more than one version.
        Mixed,
        /// Nothing.
        Unknown,
        /// Not known here, as the host did not answer.
        Unreached,
    }
}

impl StreamAnswer {
    pub(crate) const fn registered(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Registered(version) => Some(version),
            Self::Settled(_) | Self::Mixed | Self::Unknown | Self::Unreached => None,
        }
    }

    /// Whether it tells that `version` has long been the only one of the service.
    fn is_settled_at(&self, version: &SoftwareVersion) -> bool {
        matches!(self, Self::Settled(other) if other == version)
    }

    /// Whether it tells that the service has, or lately had, another version than this one.
    fn differs_from(&self, version: &SoftwareVersion) -> bool {
        match self {
            Self::Mixed => true,
            Self::Settled(other) | Self::Registered(other) => other != version,
            Self::Unknown | Self::Unreached => false,
        }
    }
}

/// A question to the other hosts.
#[derive(Debug)]
pub struct StreamQuery {
    /// The service.
    pub service: ServiceId,
    /// The stream.
    pub stream: StreamId,
    /// Receives the answers.
    pub answers: oneshot::Sender<Vec<StreamAnswer>>,
}

/// The streams known to this host, and its access to those that others know.
#[derive(Debug, Default)]
pub struct StreamVersions {
    register: Mutex<StreamRegister>,
    queries: Mutex<Option<UnboundedSender<StreamQuery>>>,
    announced: Notify,
    /// Signals that the list of targets has been updated.
    listed: Notify,
    confirmations: Confirmations,
    /// The age of the list of targets.
    list_time: Arc<ListTime>,
    /// When the list was last asked for without a wait.
    requested: Mutex<Time>,
}

impl StreamVersions {
    pub(crate) fn new(list_time: Arc<ListTime>) -> Self {
        Self { list_time, ..Self::default() }
    }

    /// Subscribes to the questions to other hosts; without a subscriber, nobody is asked.
    pub fn queries(&self) -> UnboundedReceiver<StreamQuery> {
        let (sender, receiver) = mpsc::unbounded_channel();
        *self.queries.lock() = Some(sender);
        receiver
    }

    /// Waits for streams that other hosts have to know.
    pub async fn announcements(&self) -> Vec<VersionStreams> {
        loop {
            let announced = self.announced.notified();
            let announcements = self.register.lock().take_announcements(clock::steady());
            if !announcements.is_empty() {
                return announcements;
            }
            announced.await;
        }
    }

    /// Registers streams that another host has announced.
    pub fn merge(&self, announced: Vec<VersionStreams>) {
        self.register.lock().merge(clock::steady(), announced);
    }

    /// What this host knows about a stream.
    #[must_use]
    pub fn answer(&self, service: &ServiceId, stream: StreamId) -> StreamAnswer {
        self.register.lock().answer(clock::steady(), service, stream)
    }

    /// Registers a stream that this host sends to a target of `version`.
    pub(crate) fn begin(
        &self,
        service: &ServiceId,
        streams: [StreamId; 2],
        version: &SoftwareVersion,
        deadline: Time,
    ) {
        let now = clock::steady();
        let mut register = self.register.lock();
        for stream in streams {
            register.begin(now, service, stream, version, deadline);
        }
        drop(register);
        self.announced.notify_one();
    }

    /// Records that the caller got the head of a stream which this host sent to a target.
    fn record_begun(&self, stream: &BegunStream) {
        let BegunStream { service, stream, version } = stream;
        self.register.lock().record_begun(service, *stream, version);
    }

    /// Takes the streams of services with several versions that have begun since the last time.
    #[must_use]
    pub fn take_begun(&self) -> Vec<BegunStreams> {
        self.register.lock().take_begun(clock::steady())
    }

    /// Registers begun streams that were saved before all hosts ended.
    pub fn recall_streams(&self, saved: Vec<BegunStreams>) {
        self.register.lock().recall_streams(clock::steady(), saved);
    }

    /// The version that began a stream; `None` if it can't be known.
    pub(crate) async fn resolve(
        &self,
        service: &ServiceId,
        stream: StreamId,
    ) -> Option<SoftwareVersion> {
        if let Some(version) = self.register.lock().registered(stream) {
            return Some(version.clone());
        }
        let list = self.confirm().await;
        let only = self.register.lock().only_version(clock::steady(), service, list);
        if only.is_some() {
            return only;
        }
        let answers = self.ask(service, stream).await;
        let (now, register) = (clock::steady(), self.register.lock());
        let version = register.conclude(now, service, list, &answers);
        if version.is_none() {
            log::info!(stream:% = stream, service:% = service, list:? = list, answers:? = answers,
                evidence:? = register.evidence(now, service); "version of a stream is not known");
        }
        version
    }

    /// Asks for a read that brings the list of targets up to date, and waits a short time for it.
    pub(crate) async fn confirm(&self) -> ListState {
        if !self.confirmations.has_reader() {
            return ListState::Unconfirmed;
        }
        match time::timeout(CONFIRM_WAIT.to_duration(), self.confirmations.confirm()).await {
            Ok(true) => ListState::Confirmed,
            Ok(false) | Err(_) => ListState::Unconfirmed,
        }
    }

    /// Brings the list of targets up to date as of `needed`, if the platform is reached in a short
    /// time.
    pub(crate) async fn confirm_as_of(&self, needed: Time) -> ListState {
        if self.list_time.get() >= needed {
            return ListState::Confirmed;
        }
        self.confirm().await
    }

    /// Whether what broke off at `needed` should wait for a list as of then, which is asked for, before
    /// it goes on.
    #[must_use]
    pub fn awaits_list(&self, now: Time, needed: Time) -> bool {
        let is_known = self.list_time.get() >= needed;
        if is_known || !self.confirmations.has_reader() || now.since(needed) >= CONFIRM_WAIT {
            return false;
        }
        self.request_list();
        true
    }

    /// Asks for a read that brings the list of targets up to date, once per interval.
    pub(crate) fn request_list(&self) {
        let now = clock::steady();
        let mut requested = self.requested.lock();
        if now.since(*requested) >= REQUEST_INTERVAL {
            *requested = now;
            self.confirmations.request();
        }
    }

    /// Requests to confirm the list of targets.
    pub(crate) fn confirm_requests(&self) -> ConfirmRequests {
        self.confirmations.requests()
    }

    /// Answers of the other hosts; none without a subscriber to the questions.
    async fn ask(&self, service: &ServiceId, stream: StreamId) -> Vec<StreamAnswer> {
        let Some(queries) = self.queries.lock().clone() else { return Vec::new() };
        let (answers, receiver) = oneshot::channel();
        // If nobody receives the query, the answers are dropped with it.
        let _ = queries.send(StreamQuery { service: service.clone(), stream, answers });
        receiver.await.unwrap_or_default()
    }

    pub(crate) fn set_listed(
        &self,
        service: &ServiceId,
        listed: BTreeSet<SoftwareVersion>,
        youngest: Span,
    ) {
        self.register.lock().set_listed(clock::steady(), service, listed, youngest);
        self.announced.notify_one();
        self.listed.notify_one();
    }

    /// Completes when the versions of a service may have changed.
    pub async fn versions_changed(&self) {
        self.listed.notified().await;
    }

    /// The services with targets of several versions, with these.
    #[must_use]
    pub fn mixed(&self) -> Vec<(ServiceId, BTreeSet<SoftwareVersion>)> {
        self.register.lock().mixed()
    }

    /// Announces that versions of earlier processes will be [recalled](Self::recall); until
    /// [`end_recall`](Self::end_recall), no listed version is taken for the only one.
    pub fn expect_recall(&self) {
        self.register.lock().expect_recall(true);
    }

    /// Records versions that were listed in the time of earlier processes, and how long ago they
    /// left at the least.
    pub fn recall(&self, service: &ServiceId, ages: BTreeMap<SoftwareVersion, Span>) {
        self.register.lock().recall(clock::steady(), service, ages);
    }

    /// All versions of earlier processes are recalled.
    pub fn end_recall(&self) {
        self.register.lock().expect_recall(false);
    }

    /// The services of which other hosts may tell that their listed version has long been the only
    /// one.
    #[must_use]
    pub fn unsettled(&self) -> Vec<ServiceId> {
        self.register.lock().unsettled(clock::steady())
    }

    /// Takes over what other hosts answer about the versions of a service; returns whether the
    /// listed version now counts as the only one.
    #[must_use]
    pub fn inherit(&self, service: &ServiceId, answers: &[StreamAnswer]) -> bool {
        self.register.lock().inherit(clock::steady(), service, answers)
    }

    /// Records that a version was listed, if only for a moment.
    pub(crate) fn record_version(&self, service: &ServiceId, version: &SoftwareVersion) {
        self.register.lock().record_version(clock::steady(), service, version);
        self.announced.notify_one();
    }
}
