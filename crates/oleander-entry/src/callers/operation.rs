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
    admit, body, call_id, deadline, invalid, open,
    response::{error_answer, outcome_answer, wait_end},
};
use crate::{
    app::App,
    call::{CallRequest, Work},
};

/// Answers an operation of a plain service.
pub(crate) async fn call(
    State(app): State<Arc<App>>,
    Extension(workspace): Extension<Workspace>,
    Path((service, operation)): Path<(String, String)>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let request = match read(&app, &workspace, &headers, (service, operation), body).await {
        Ok(request) => request,
        Err(error) => return error_answer(error),
    };
    let deadline = request.deadline;
    match open(&app, request) {
        Ok(flight) => outcome_answer(wait_end(&flight, deadline).await),
        Err(error) => error_answer(error),
    }
}

async fn read(
    app: &App,
    workspace: &Workspace,
    headers: &HeaderMap,
    (service, operation): (String, String),
    body: Body,
) -> Result<CallRequest, ApiError> {
    let call = call_id(app, workspace, headers)?;
    let bytes = body::read(body).await?;
    let value: Value = serde_json::from_slice(&bytes).map_err(|e| invalid(&e.to_string()))?;
    admit(app, workspace, &service)?;
    let id: ServiceId = service.parse().map_err(|e| invalid(&format!("service: {e}")))?;
    let not_declared = || {
        let text = format!("service {id} has no operation {operation}");
        ApiError::not_run(ErrorCode::NotFound, text)
    };
    let current = app.documents.current().ok_or_else(not_declared)?;
    let declared = current.document.service(id.as_str()).and_then(|s| s.operation(&operation));
    let declared = declared.ok_or_else(not_declared)?;
    let pool = app.pools.get(&id).ok_or_else(not_declared)?;
    let text = value.to_string();
    Ok(CallRequest {
        call,
        digest: hash::digest(format!("{id}/{operation} {text}").as_bytes()),
        deadline: deadline(headers, pool.deadline(), clock::now())?,
        service: id.clone(),
        work: Work::Operation {
            path: declared.name.clone(),
            body: Bytes::from(text),
            repeatable: declared.repeatable,
        },
    })
}
