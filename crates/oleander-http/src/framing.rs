//! How the end of a response's body is told.

use http::{HeaderMap, header};

/// Whether a length or chunks tell the end of a body, and not the end of the connection.
#[must_use]
pub fn is_framed(fields: &HeaderMap) -> bool {
    fields.contains_key(header::CONTENT_LENGTH) || fields.contains_key(header::TRANSFER_ENCODING)
}
