//! Answers of targets that end too early, after any of their bytes.

#[path = "../../../platform/tests/support/answers.rs"]
mod answers;

use bytes::Bytes;
use oleander_target::{ChatEvent, ConnectionMode, TargetClient, TargetError, Timeouts};

use crate::answers::{Answer, Ending, start_target};

const JSON: &str = r#"{"answer": 42}"#;
const CHAT: &str = concat!(
    "data: {\"id\":\"r1\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n",
    "data: {\"id\":\"r1\",\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n",
    "data: [DONE]\n\n",
);

/// The same body with a length and in chunks.
fn framed(body: &str) -> [String; 2] {
    let length = body.len();
    [
        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"),
        format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"
        ),
    ]
}

/// An answer that ends after each of its bytes before `end`.
fn cuts(bytes: &str, end: usize) -> impl Iterator<Item = Answer> {
    let endings = [Ending::Closed, Ending::Reset];
    (0..end).flat_map(move |at| endings.map(|ending| Answer::new(&bytes.as_bytes()[..at], ending)))
}

async fn call(answer: Answer) -> Result<Bytes, TargetError> {
    let address = start_target(move |_| answer.clone()).await.to_string();
    let client = TargetClient::new(Timeouts::new());
    let body = Bytes::from_static(b"{}");
    let answer = client.call(&address, "v1/x", "r1", body, ConnectionMode::Dedicated).await;
    answer.map(|answer| answer.body)
}

/// The text of a chat completion that was read to its end.
async fn chat(answer: Answer) -> Result<String, TargetError> {
    let address = start_target(move |_| answer.clone()).await.to_string();
    let client = TargetClient::new(Timeouts::new());
    let mut stream = client.chat(&address, "r1", Bytes::from_static(b"{}"), 0).await?;
    let mut text = String::new();
    loop {
        match stream.next().await? {
            ChatEvent::Token(token) => text.push_str(&token),
            ChatEvent::End { .. } => return Ok(text),
        }
    }
}

/// Guards against a part of an answer that counts as all of it.
#[tokio::test]
async fn an_answer_that_is_cut_anywhere_is_an_error() {
    for bytes in framed(JSON) {
        let whole = call(Answer::new(bytes.as_bytes(), Ending::Kept)).await;
        assert_eq!(whole.expect("whole"), JSON);
        for cut in cuts(&bytes, bytes.len()) {
            let result = call(cut.clone()).await;
            assert!(matches!(result, Err(TargetError::Interrupted(_))), "{cut:?}: {result:?}");
        }
    }
}

#[tokio::test]
async fn a_chat_that_is_cut_before_its_end_marker_is_an_error() {
    for bytes in framed(CHAT) {
        let whole = chat(Answer::new(bytes.as_bytes(), Ending::Kept)).await;
        assert_eq!(whole.expect("whole"), "a");
        let end = bytes.find("[DONE]").expect("an end marker");
        for cut in cuts(&bytes, end) {
            let result = chat(cut.clone()).await;
            assert!(matches!(result, Err(TargetError::Interrupted(_))), "{cut:?}: {result:?}");
        }
    }
}
