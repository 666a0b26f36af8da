//! Records the version of a stream when its caller gets the head.

use bytes::Bytes;
use oleander_core::ServiceId;

use super::{StreamId, StreamVersions};
use crate::{
    request::ResponseHead,
    sink::{ResponseSink, SinkClosed},
    version::SoftwareVersion,
};

/// A stream that is sent to a target for a caller of this host.
pub(crate) struct BegunStream {
    pub(crate) service: ServiceId,
    pub(crate) stream: StreamId,
    pub(crate) version: SoftwareVersion,
}

/// The sink of one attempt.
pub(crate) struct BegunSink<'a, S> {
    sink: &'a mut S,
    streams: &'a StreamVersions,
    /// `None` if the response is no stream, or goes to another host.
    stream: Option<BegunStream>,
}

impl<'a, S> BegunSink<'a, S> {
    pub(crate) const fn new(
        sink: &'a mut S,
        streams: &'a StreamVersions,
        stream: Option<BegunStream>,
    ) -> Self {
        Self { sink, streams, stream }
    }
}

impl<S: ResponseSink> ResponseSink for BegunSink<'_, S> {
    fn attempt(&mut self, version: &SoftwareVersion, sent: u32) {
        self.sink.attempt(version, sent);
    }

    fn head(&mut self, head: ResponseHead) {
        self.stream.iter().for_each(|stream| self.streams.record_begun(stream));
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
