//! Response bodies whose content resets the limit of their connection.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use http::Response;
use hyper::body::{Body, Frame, SizeHint};

use crate::read_limit::ReadLimit;

/// A response body that resets the limit of its connection with each piece of content.
#[derive(Debug)]
pub struct CountedBody<B> {
    body: B,
    /// Limit of the connection; `None` if it has none.
    limit: Option<ReadLimit>,
}

/// Lets the connection of a response read on with each piece of content.
pub fn count_content<B>(response: Response<B>) -> Response<CountedBody<B>> {
    let limit = response.extensions().get::<ReadLimit>().cloned();
    if let Some(limit) = &limit {
        limit.reset();
    }
    response.map(|body| CountedBody { body, limit })
}

impl<B: Body + Unpin> Body for CountedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let is_content = matches!(&polled, Poll::Ready(Some(Ok(frame))) if frame.is_data());
        if let Some(limit) = self.limit.as_ref().filter(|_| is_content) {
            limit.reset();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
