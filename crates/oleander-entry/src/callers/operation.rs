//! `POST /v1/services/{service}/{operation}`.

use std::sync::Arc;

use axum::{
    Extension,
    body::Body,
    extract::{Path, State},
    http::HeaderMap,
    response::Response,
};
use bytes::Bytes;
use oleander_core::{ApiError, ErrorCode, ServiceId, hash};
use oleander_document::Workspace;
use oleander_host::clock;
use serde_json::Value;

use super::{
    admit, body, call_id, invalid_request, parse_deadline,
    response::{error_response, outcome_response, wait_outcome},
    start_call,
};
use crate::{
    app::App,
    call::{CallRequest, Work},
};

/// Serves an operation of a plain service.
pub(crate) async fn call(
    State(app): State<Arc<App>>,
    Extension(workspace): Extension<Workspace>,
    Path((service, operation)): Path<(String, String)>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let request = match parse_request(&app, &workspace, &headers, (service, operation), body).await
    {
        Ok(request) => request,
        Err(error) => return error_response(error),
    };
    let deadline = request.deadline;
    match start_call(&app, request) {
        Ok(run) => outcome_response(wait_outcome(&run, deadline).await),
        Err(error) => error_response(error),
    }
}

async fn parse_request(
    app: &App,
    workspace: &Workspace,
    headers: &HeaderMap,
    (service, operation): (String, String),
    body: Body,
) -> Result<CallRequest, ApiError> {
    let call = call_id(app, workspace, headers)?;
    let bytes = body::read(body).await?;
    let value: Value =
        serde_json::from_slice(&bytes).map_err(|e| invalid_request(&e.to_string()))?;
    admit(app, workspace, &service)?;
    let id: ServiceId = service.parse().map_err(|e| invalid_request(&format!("service: {e}")))?;
    let not_found = || {
        let text = format!("service {id} has no operation {operation}");
        ApiError::not_run(ErrorCode::NotFound, text)
    };
    let current = app.document.current().ok_or_else(not_found)?;
    let declared = current.document.service(id.as_str()).and_then(|s| s.operation(&operation));
    let declared = declared.ok_or_else(not_found)?;
    let pool = app.pools.get(&id).ok_or_else(not_found)?;
    let text = value.to_string();
    Ok(CallRequest {
        call,
        digest: hash::digest(format!("{id}/{operation} {text}").as_bytes()),
        deadline: parse_deadline(headers, pool.default_deadline(), clock::now())?,
        service: id.clone(),
        work: Work::Operation {
            path: declared.name.clone(),
            body: Bytes::from(text),
            repeatable: declared.repeatable,
        },
    })
}
