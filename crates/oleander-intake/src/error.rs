//! Error responses.

use axum::{
    Json,
    http::{HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
};
use oleander_core::{ApiError, ErrorCode, Span, api::ErrorBody};

use crate::store::StoreError;

/// `Retry-After` while the platform does not answer.
const PLATFORM_RETRY_AFTER: Span = Span::from_secs(2);

/// Error as a JSON response, with a `Retry-After` header if the error states a delay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorResponse(pub ApiError);

impl ErrorResponse {
    pub(crate) fn invalid(message: impl Into<String>) -> Self {
        Self(ApiError::not_run(ErrorCode::InvalidRequest, message))
    }

    pub(crate) fn not_found(what: &str) -> Self {
        Self(ApiError::not_run(ErrorCode::NotFound, format!("no such {what}")))
    }

    pub(crate) fn conflict(message: &str) -> Self {
        Self(ApiError::not_run(ErrorCode::Conflict, message))
    }

    pub(crate) fn unavailable(message: &str) -> Self {
        let error = ApiError::not_run(ErrorCode::Unavailable, message);
        Self(error.retry_after(PLATFORM_RETRY_AFTER))
    }
}

impl From<StoreError> for ErrorResponse {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Platform { may_have_written: false, .. } => {
                Self::unavailable("the platform does not answer")
            }
            StoreError::Platform { may_have_written: true, .. } => {
                let text = "the platform does not answer; the change may have taken effect";
                let error = ApiError::may_have_run(ErrorCode::Unavailable, text);
                Self(error.retry_after(PLATFORM_RETRY_AFTER))
            }
            StoreError::Record(_) | StoreError::Missing(_) => {
                log::error!("stored data can't be read: {error}");
                Self(ApiError::not_run(ErrorCode::Internal, "stored data can't be read"))
            }
        }
    }
}

impl IntoResponse for ErrorResponse {
    fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.0.code.http_status());
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let retry_after =
            self.0.retry_after_ms.map(|millis| Span::from_millis(millis).as_secs_ceil());
        let mut response = (status, Json(ErrorBody { error: self.0 })).into_response();
        if let Some(secs) = retry_after {
            response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(secs));
        }
        response
    }
}
