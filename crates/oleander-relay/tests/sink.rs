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

#[tokio::test]
async fn a_caller_that_does_not_read_is_queued_a_bounded_number_of_bytes() {
    const EVENT_BYTES: usize = 1 << 20;
    const MAX_QUEUED_BYTES: usize = 64 << 10;
    let (mut sink, _head_receiver, mut chunks) = response_channel();
    let event = Bytes::from(vec![b'x'; EVENT_BYTES]);
    let sending = tokio::spawn(async move {
        for _ in 0..4 {
            sink.chunk(event.clone()).await.expect("the receiver is there");
        }
        sink.finish();
    });
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    let mut queued = 0;
    poll_fn(|context| {
        while let std::task::Poll::Ready(Some(Ok(chunk))) = chunks.poll_recv(context) {
            queued += chunk.len();
        }
        std::task::Poll::Ready(())
    })
    .await;
    assert!(queued <= MAX_QUEUED_BYTES, "{queued} bytes");
    let mut read = queued;
    while let Some(chunk) = poll_fn(|context| chunks.poll_recv(context)).await {
        read += chunk.expect("a chunk").len();
    }
    assert_eq!(read, 4 * EVENT_BYTES);
    sending.await.expect("sent");
}
