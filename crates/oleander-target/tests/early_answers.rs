//! Answers without a length that end while the request is still being written.

#[path = "../../../platform/tests/support/answers.rs"]
mod answers;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use oleander_target::{ConnectionMode, TargetClient, TargetError, Timeouts};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::sleep,
};

use crate::answers::{Answer, Ending, reset, start_target};

const ANSWER: &str = "HTTP/1.1 200 OK\r\n\r\n{\"answer\": 42}";
/// Size of a request that does not fit in the buffers of a connection, in bytes.
const UPLOAD: usize = 12 << 20;

/// A target that reads the beginning of each request, answers, and ends and resets the connection.
async fn start_early() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 512];
            let _ = stream.read(&mut buffer).await;
            stream.write_all(ANSWER.as_bytes()).await.expect("sent");
            stream.shutdown().await.expect("open");
            sleep(Duration::from_millis(20)).await;
            reset(&stream);
        }
    });
    address
}

async fn call(address: SocketAddr, length: usize) -> Result<Bytes, TargetError> {
    let client = TargetClient::new(Timeouts::new());
    let (address, body) = (address.to_string(), Bytes::from(vec![b'x'; length]));
    let answer = client.call(&address, "v1/x", "r1", body, ConnectionMode::Dedicated).await;
    answer.map(|answer| answer.body)
}

/// Guards against a part of an answer that counts as all of it.
#[tokio::test]
async fn an_answer_that_ends_before_its_request_is_written_counts_as_interrupted() {
    let answered = call(start_early().await, UPLOAD).await;
    assert!(matches!(answered, Err(TargetError::Interrupted(_))), "{answered:?}");
}

#[tokio::test]
async fn an_answer_that_ends_with_its_connection_after_the_request_is_whole() {
    let answer = Answer::new(ANSWER, Ending::Closed);
    let answered = call(start_target(move |_| answer.clone()).await, 64 << 10).await;
    assert_eq!(answered.ok().as_deref(), Some(&b"{\"answer\": 42}"[..]));
}
