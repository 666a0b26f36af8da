//! Responses that end without being finished, for example since their task has panicked.

use std::future::poll_fn;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use oleander_relay::{ResponseHead, ResponseSink, SinkClosed, response_channel};

const CHUNK: Bytes = Bytes::from_static(b"id: 1\ndata: a\n\n");

fn head() -> ResponseHead {
    ResponseHead { status: StatusCode::OK, headers: HeaderMap::new() }
}

#[tokio::test]
async fn a_response_whose_task_panics_does_not_look_complete() {
    let (mut sink, head_receiver, mut chunks) = response_channel();
    let sending = tokio::spawn(async move {
        sink.head(head());
        sink.chunk(CHUNK).await.expect("the receiver is there");
        panic!("a fault in the middle of a response");
    });
    assert!(sending.await.is_err());
    assert!(matches!(head_receiver.await, Ok(Ok(_))));
    assert_eq!(poll_fn(|context| chunks.poll_recv(context)).await, Some(Ok(CHUNK)));
    assert_eq!(poll_fn(|context| chunks.poll_recv(context)).await, Some(Err(SinkClosed)));
}

#[tokio::test]
async fn a_finished_response_is_complete() {
    let (mut sink, _head_receiver, mut chunks) = response_channel();
    sink.head(head());
    sink.chunk(CHUNK).await.expect("the receiver is there");
    sink.finish();
    assert_eq!(poll_fn(|context| chunks.poll_recv(context)).await, Some(Ok(CHUNK)));
    assert_eq!(poll_fn(|context| chunks.poll_recv(context)).await, None);
}
