//! A sink that records when the response begins.

use bytes::Bytes;
use oleander_core::Time;
use oleander_host::clock;

use crate::{
    request::ResponseHead,
    sink::{ResponseSink, SinkClosed},
    version::SoftwareVersion,
};

/// Records when the response head is forwarded, also if its attempt is dropped at the deadline.
pub(crate) struct TimedSink<'a, S> {
    sink: &'a mut S,
    pub(crate) head_at: Option<Time>,
}

impl<'a, S> TimedSink<'a, S> {
    pub(crate) const fn new(sink: &'a mut S) -> Self {
        Self { sink, head_at: None }
    }
}

impl<S: ResponseSink> ResponseSink for TimedSink<'_, S> {
    fn attempt(&mut self, version: &SoftwareVersion, sent: u32) {
        self.sink.attempt(version, sent);
    }

    fn head(&mut self, head: ResponseHead) {
        self.head_at.get_or_insert_with(clock::steady);
        self.sink.head(head);
    }

    fn chunk(&mut self, bytes: Bytes) -> impl Future<Output = Result<(), SinkClosed>> + Send {
        self.sink.chunk(bytes)
    }

    fn held(&self) -> usize {
        self.sink.held()
    }

    fn discard(&mut self) {
        self.sink.discard();
    }

    fn closed(&self) -> impl Future<Output = ()> + Send {
        self.sink.closed()
    }
}
