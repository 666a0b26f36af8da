//! How the end of a response's body is told.

use http::{HeaderMap, StatusCode, header};

/// Whether a status, a length or chunks tell the end of a body, and not the end of the connection.
#[must_use]
pub fn is_framed(status: StatusCode, fields: &HeaderMap) -> bool {
    let has_body = !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    !has_body
        || fields.contains_key(header::CONTENT_LENGTH)
        || fields.contains_key(header::TRANSFER_ENCODING)
}
