//! Authentication, protection against cross-site requests, and security headers.
//!
//! Browsers attach cached Basic credentials to every request, including requests that another site
//! triggers. Such a request carries that site's `Origin`, so changes with Basic credentials are
//! accepted only if `Origin` matches the console. Browsers never attach Bearer tokens on their own,
//! so requests with a token skip this check.

use std::sync::Arc;

use axum::{
    extract::{Request, State},
    middleware::Next,
    response::{IntoResponse, Response},
};
use base64::{Engine, engine::general_purpose::STANDARD};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use oleander_host::OperatorKey;

/// `WWW-Authenticate` value that makes browsers prompt for the key.
const CHALLENGE: HeaderValue = HeaderValue::from_static("Basic realm=\"oleander console\"");
/// Allows only the console's own style sheet and form submissions to the console.
const CONTENT_SECURITY_POLICY: HeaderValue = HeaderValue::from_static(
    "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none'; \
     frame-ancestors 'none'",
);

/// HTTP authentication scheme that carried the operator key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AuthScheme {
    Basic,
    Bearer,
}

/// Rejects requests without the operator key, and cross-origin changes with Basic credentials.
pub(crate) async fn require_key(
    State(key): State<Arc<OperatorKey>>,
    request: Request,
    next: Next,
) -> Response {
    let Some(scheme) = authenticate(request.headers(), &key) else {
        let challenge = [(header::WWW_AUTHENTICATE, CHALLENGE)];
        return (StatusCode::UNAUTHORIZED, challenge, "operator key missing or wrong\n")
            .into_response();
    };
    let is_read = matches!(*request.method(), Method::GET | Method::HEAD);
    if !is_read && scheme == AuthScheme::Basic && !is_same_origin(request.headers()) {
        return (StatusCode::FORBIDDEN, "Origin is missing or differs from Host\n").into_response();
    }
    next.run(request).await
}

/// Scheme of a request with a valid operator key; Basic accepts any user name.
fn authenticate(headers: &HeaderMap, key: &OperatorKey) -> Option<AuthScheme> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    let token = token.trim();
    if scheme.eq_ignore_ascii_case("bearer") {
        return key.matches(token).then_some(AuthScheme::Bearer);
    }
    if !scheme.eq_ignore_ascii_case("basic") {
        return None;
    }
    let pair = String::from_utf8(STANDARD.decode(token).ok()?).ok()?;
    let (_, password) = pair.split_once(':')?;
    key.matches(password).then_some(AuthScheme::Basic)
}

/// Whether `Origin` is present and names the same authority as `Host`.
fn is_same_origin(headers: &HeaderMap) -> bool {
    let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    let (Some(origin), Some(host)) = (text(header::ORIGIN), text(header::HOST)) else {
        return false;
    };
    origin.split_once("://").is_some_and(|(_, authority)| authority.eq_ignore_ascii_case(host))
}

/// Adds headers that restrict caching, framing, loaded content and referrers.
pub(crate) async fn set_security_headers(request: Request, next: Next) -> Response {
    let mut response = next.run(request).await;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_SECURITY_POLICY, CONTENT_SECURITY_POLICY);
    headers.insert(header::X_FRAME_OPTIONS, HeaderValue::from_static("DENY"));
    headers.insert(header::X_CONTENT_TYPE_OPTIONS, HeaderValue::from_static("nosniff"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    headers.insert(header::REFERRER_POLICY, HeaderValue::from_static("same-origin"));
    response
}
