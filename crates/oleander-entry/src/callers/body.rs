//! Request bodies of online calls, limited in size and time.
//!
//! The rest of an oversized body is read and discarded up to a limit: closing a connection with
//! unread bytes resets it, and the caller would lose the error response.

use std::time::Duration;

use axum::body::Body;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use oleander_core::{ApiError, ErrorCode};

const MAX_BODY_BYTES: usize = 1 << 20;
const MAX_DISCARDED_BYTES: usize = 16 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a body to its end.
///
/// # Errors
///
/// Fails if the body is too large, does not arrive in time, or the connection breaks.
pub(crate) async fn read(body: Body) -> Result<Bytes, ApiError> {
    match tokio::time::timeout(BODY_TIMEOUT, collect(body)).await {
        Ok(result) => result,
        Err(_) => {
            let text = "the body did not arrive in time";
            Err(ApiError::not_run(ErrorCode::RequestTimeout, text))
        }
    }
}

async fn collect(mut body: Body) -> Result<Bytes, ApiError> {
    let mut content = BytesMut::new();
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|e| ApiError::not_run(ErrorCode::InvalidRequest, e.to_string()))?;
        let data = frame.data_ref().map_or(&[][..], |data| &data[..]);
        size += data.len();
        if size <= MAX_BODY_BYTES {
            content.extend_from_slice(data);
        } else if size > MAX_DISCARDED_BYTES {
            break;
        }
    }
    if size > MAX_BODY_BYTES {
        let text = format!("the body exceeds {MAX_BODY_BYTES} bytes");
        return Err(ApiError::not_run(ErrorCode::TooLarge, text));
    }
    Ok(content.freeze())
}
