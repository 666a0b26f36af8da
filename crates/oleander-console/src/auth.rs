//! Who may use the console, and from which pages.
//!
//! A browser sends Basic credentials with every request, also with one that a foreign page makes
//! it send. Such a request carries the foreign page's `Origin`, so changes are accepted only with
//! the console's own. Bearer tokens are never sent by themselves and need no such check.

use std::sync::Arc;

use axum::{
    extract::{Request, State},
    middleware::Next,
    response::{IntoResponse, Response},
};
use base64::{Engine, engine::general_purpose::STANDARD};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use oleander_host::OperatorKey;

/// Makes browsers ask for the key.
const CHALLENGE: HeaderValue = HeaderValue::from_static("Basic realm=\"oleander console\"");
/// Lets the page load its own style sheet and post to itself, and nothing else.
const CONTENT_POLICY: HeaderValue = HeaderValue::from_static(
    "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none'; \
     frame-ancestors 'none'",
);

/// How a request proves the operator key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Proof {
    Basic,
    Bearer,
}

/// Lets requests with the operator key pass.
pub(crate) async fn check(
    State(key): State<Arc<OperatorKey>>,
    request: Request,
    next: Next,
) -> Response {
    let Some(proof) = prove(request.headers(), &key) else {
        let challenge = [(header::WWW_AUTHENTICATE, CHALLENGE)];
        return (StatusCode::UNAUTHORIZED, challenge, "operator key missing or wrong\n")
            .into_response();
    };
    let is_read = matches!(*request.method(), Method::GET | Method::HEAD);
    if !is_read && proof == Proof::Basic && !is_same_origin(request.headers()) {
        return (StatusCode::FORBIDDEN, "the request comes from another page\n").into_response();
    }
    next.run(request).await
}

fn prove(headers: &HeaderMap, key: &OperatorKey) -> Option<Proof> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    let token = token.trim();
    if scheme.eq_ignore_ascii_case("bearer") {
        return key.matches(token).then_some(Proof::Bearer);
    }
    if !scheme.eq_ignore_ascii_case("basic") {
        return None;
    }
    let pair = String::from_utf8(STANDARD.decode(token).ok()?).ok()?;
    let (_, password) = pair.split_once(':')?;
    key.matches(password).then_some(Proof::Basic)
}

/// Whether the page that sent the request is the console's own.
fn is_same_origin(headers: &HeaderMap) -> bool {
    let text = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    let (Some(origin), Some(host)) = (text(header::ORIGIN), text(header::HOST)) else {
        return false;
    };
    origin.split_once("://").is_some_and(|(_, authority)| authority.eq_ignore_ascii_case(host))
}

/// Adds the headers that keep pages out of caches and frames.
pub(crate) async fn protect(request: Request, next: Next) -> Response {
    let mut response = next.run(request).await;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_SECURITY_POLICY, CONTENT_POLICY);
    headers.insert(header::X_FRAME_OPTIONS, HeaderValue::from_static("DENY"));
    headers.insert(header::X_CONTENT_TYPE_OPTIONS, HeaderValue::from_static("nosniff"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    headers.insert(header::REFERRER_POLICY, HeaderValue::from_static("same-origin"));
    response
}
