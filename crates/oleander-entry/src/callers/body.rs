//! Bodies of online calls, bounded in size and time.

use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use oleander_core::{ApiError, ErrorCode};

const MAX_BODY_BYTES: usize = 1 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a whole body.
pub(crate) async fn read(body: Body) -> Result<Bytes, ApiError> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect();
    match tokio::time::timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let text = format!("the body exceeds {MAX_BODY_BYTES} bytes");
            Err(ApiError::not_run(ErrorCode::TooLarge, text))
        }
        Ok(Err(error)) => Err(ApiError::not_run(ErrorCode::InvalidRequest, error.to_string())),
        Err(_) => {
            let text = "the body did not arrive in time";
            Err(ApiError::not_run(ErrorCode::RequestTimeout, text))
        }
    }
}
