//! Answers of the platform that end too early, after any of their bytes.

#[path = "../../../platform/tests/support/answers.rs"]
mod answers;

use oleander_platform::{HttpPlatform, Object, ObjectStore, PlatformError};

use crate::answers::{Answer, Ending, start_target};

const VALUE: &str = r#"{"document": "whole"}"#;

async fn get(answer: Answer) -> Result<Option<Object>, PlatformError> {
    let address = start_target(move |_| answer.clone()).await;
    HttpPlatform::new(&address.to_string()).get("config/document").await
}

/// Guards against a part of an object that counts as all of it.
#[tokio::test]
async fn an_object_that_is_cut_anywhere_is_not_read() {
    let length = VALUE.len();
    let head = "HTTP/1.1 200 OK\r\nx-revision: 3\r\n";
    let framed = [
        format!("{head}content-length: {length}\r\n\r\n{VALUE}"),
        format!("{head}transfer-encoding: chunked\r\n\r\n{length:x}\r\n{VALUE}\r\n0\r\n\r\n"),
    ];
    for bytes in framed {
        let whole = get(Answer::new(bytes.as_bytes(), Ending::Kept)).await;
        let object = whole.expect("whole").expect("an object");
        assert_eq!(object.body, VALUE);
        for at in 0..bytes.len() {
            for ending in [Ending::Closed, Ending::Reset] {
                let result = get(Answer::new(&bytes.as_bytes()[..at], ending)).await;
                let is_lost = matches!(result, Err(PlatformError::NoResponse(_)));
                assert!(is_lost, "{ending:?} after {:?}: {result:?}", &bytes[..at]);
            }
        }
    }
}
