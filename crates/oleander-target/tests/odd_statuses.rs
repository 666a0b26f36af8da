//! Answers of targets whose status is none: only 200 to 599 ends an exchange.

#[path = "../../../platform/tests/support/answers.rs"]
mod answers;

use bytes::Bytes;
use oleander_target::{ConnectionMode, TargetClient, TargetError, Timeouts};

use crate::answers::{Answer, Ending, start_target};

const JSON: &str = r#"{"answer": 42}"#;
const ODD: [&str; 8] = ["000", "099", "101", "600", "999", "20", "2000", "abc"];

/// Guards against such an answer that counts as a result, or as an error of the target's own.
#[tokio::test]
async fn an_answer_whose_status_is_none_counts_as_interrupted() {
    for status in ODD {
        let head = format!("HTTP/1.1 {status} OK\r\ncontent-length: {}\r\n\r\n", JSON.len());
        let answer = Answer::new(format!("{head}{JSON}"), Ending::Kept);
        let address = start_target(move |_| answer.clone()).await.to_string();
        let client = TargetClient::new(Timeouts::new());
        let body = Bytes::from_static(b"{}");
        let called =
            client.call(&address, "v1/x", "r1", body.clone(), ConnectionMode::Dedicated).await;
        assert!(matches!(called, Err(TargetError::Interrupted(_))), "{status:?}: {called:?}");
        let streamed = client.chat(&address, "r1", body, 0).await.err();
        assert!(matches!(streamed, Some(TargetError::Interrupted(_))), "{status:?}: {streamed:?}");
    }
}
