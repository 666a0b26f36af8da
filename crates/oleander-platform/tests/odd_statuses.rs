//! Responses of the platform whose status is none: only 200 to 599 ends an exchange.

#[path = "../../../platform/tests/support/answers.rs"]
mod answers;

use bytes::Bytes;
use oleander_core::Revision;
use oleander_platform::{HttpPlatform, ObjectStore};

use crate::answers::{Answer, Ending, start_target};

/// Statuses that are none, and two that this protocol does not use.
const ODD: [&str; 10] = ["000", "099", "101", "600", "999", "20", "2000", "abc", "301", "418"];

/// Guards against such a response that counts as a read, or as a change that was carried out.
#[tokio::test]
async fn a_response_whose_status_is_none_is_an_error() {
    for status in ODD {
        let head = format!("HTTP/1.1 {status} OK\r\ncontent-length: 2\r\nx-revision: 7");
        let answer = Answer::new(format!("{head}\r\n\r\n{{}}"), Ending::Kept);
        let platform = HttpPlatform::new(&start_target(move |_| answer.clone()).await.to_string());
        let body = Bytes::from_static(b"{}");
        assert!(platform.get("a").await.is_err(), "read, {status:?}");
        assert!(platform.create("a", body.clone()).await.is_err(), "create, {status:?}");
        assert!(platform.update("a", body, Revision(7)).await.is_err(), "update, {status:?}");
        assert!(platform.remove("a", Revision(7)).await.is_err(), "remove, {status:?}");
    }
}
