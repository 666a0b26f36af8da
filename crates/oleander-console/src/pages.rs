//! HTTP routes and handlers.

use std::{fmt::Display, sync::Arc};

use axum::{
    Router,
    extract::{DefaultBodyLimit, Form, Query, State, rejection::FormRejection},
    middleware,
    response::{IntoResponse, Redirect, Response},
    routing::get,
};
use http::{StatusCode, header};
use oleander_core::Revision;
use oleander_document::{Document, Fault};
use oleander_host::OperatorKey;
use oleanderctl::{
    Fleet,
    admin::CurrentDocument,
    apply::{self, Apply, Conflict, Outcome},
};
use serde::Deserialize;

use crate::{
    Draft, auth,
    submission::{Action, Submission},
    view::{self, Notice, Page},
};

/// Maximum size of a submitted form.
const MAX_FORM_BYTES: usize = 16 << 20;
const STYLESHEET: &str = include_str!("style.css");

/// State of the request handlers.
#[derive(Debug, Clone)]
pub struct Console {
    /// Admin listeners that documents are read from and applied through.
    fleet: Arc<Fleet>,
    /// Key that requests must carry.
    key: Arc<OperatorKey>,
}

impl Console {
    /// A console that applies documents through `fleet`.
    #[must_use]
    pub fn new(fleet: Fleet, key: OperatorKey) -> Self {
        Self { fleet: Arc::new(fleet), key: Arc::new(key) }
    }
}

/// The console's routes; all but `/health` require the operator key.
pub fn router(console: Console) -> Router {
    let require_key = middleware::from_fn_with_state(Arc::clone(&console.key), auth::require_key);
    Router::new()
        .route("/", get(show_form).post(submit))
        .route("/style.css", get(stylesheet))
        .layer(DefaultBodyLimit::max(MAX_FORM_BYTES))
        .layer(require_key)
        .route("/health", get(health))
        .layer(middleware::from_fn(auth::set_security_headers))
        .with_state(console)
}

/// Query parameters of the form page.
#[derive(Debug, Deserialize)]
struct FormQuery {
    /// Revision that was just applied; set by the redirect after an apply.
    applied: Option<Revision>,
}

async fn health() -> &'static str {
    "ok\n"
}

async fn stylesheet() -> impl IntoResponse {
    ([(header::CONTENT_TYPE, "text/css; charset=utf-8")], STYLESHEET)
}

/// Shows the form with the document in force.
async fn show_form(State(console): State<Console>, Query(query): Query<FormQuery>) -> Response {
    match console.fleet.document().await {
        Ok(current) => {
            let notice = query.applied.map(Notice::Applied);
            let draft = Draft::from(&current.document.clone().unwrap_or_default());
            view::render(&Page { notice, ..Page::new(current, draft) }).into_response()
        }
        Err(error) => error_response(StatusCode::BAD_GATEWAY, &error),
    }
}

/// Handles a submitted form.
async fn submit(
    State(console): State<Console>,
    form: Result<Form<Vec<(String, String)>>, FormRejection>,
) -> Response {
    let fields = match form {
        Ok(Form(fields)) => fields,
        Err(rejection) => return error_response(rejection.status(), &rejection),
    };
    let submission = match Submission::try_from(fields.as_slice()) {
        Ok(submission) => submission,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &error),
    };
    let Submission { action, base, draft } = submission;
    match action {
        Action::Add(path) => edit(base, draft, |draft| draft.add(&path)),
        Action::Remove(path) => edit(base, draft, |draft| draft.remove(&path)),
        Action::Check => check(base, draft),
        Action::Preview => preview(&console, base, draft).await,
        Action::Apply => apply(&console, base, draft).await,
    }
}

/// Changes the draft and shows the form again.
fn edit(
    base: CurrentDocument,
    mut draft: Draft,
    change: impl FnOnce(&mut Draft) -> Result<(), crate::DraftError>,
) -> Response {
    match change(&mut draft) {
        Ok(()) => view::render(&Page::new(base, draft)).into_response(),
        Err(error) => error_response(StatusCode::BAD_REQUEST, &error),
    }
}

fn check(base: CurrentDocument, draft: Draft) -> Response {
    match draft.check() {
        Ok(_) => {
            let notice = Some(Notice::NoFaults);
            view::render(&Page { notice, ..Page::new(base, draft) }).into_response()
        }
        Err(faults) => fault_response(base, draft, faults),
    }
}

fn fault_response(base: CurrentDocument, draft: Draft, faults: Vec<Fault>) -> Response {
    let page = Page { faults, ..Page::new(base, draft) };
    (StatusCode::UNPROCESSABLE_ENTITY, view::render(&page)).into_response()
}

async fn preview(console: &Console, base: CurrentDocument, draft: Draft) -> Response {
    let document = match draft.check() {
        Ok(document) => document,
        Err(faults) => return fault_response(base, draft, faults),
    };
    let notice = match console.fleet.document().await {
        Ok(current) if current.revision == base.revision => None,
        Ok(current) => Some(Notice::Conflict(conflict_between(&base, &current))),
        Err(error) => Some(Notice::Failed(error.to_string())),
    };
    let changes = Some(apply::changes(base.document.as_ref(), Some(&document)));
    view::render(&Page { notice, changes, ..Page::new(base, draft) }).into_response()
}

/// Conflict between the document that was read and a newer one in force.
fn conflict_between(base: &CurrentDocument, current: &CurrentDocument) -> Conflict {
    Conflict {
        base: base.revision,
        revision: current.revision,
        changes: apply::changes(base.document.as_ref(), current.document.as_ref()),
        response_lost: false,
    }
}

async fn apply(console: &Console, base: CurrentDocument, draft: Draft) -> Response {
    match draft.check() {
        Ok(document) => apply_document(console, base, draft, document).await,
        Err(faults) => fault_response(base, draft, faults),
    }
}

async fn apply_document(
    console: &Console,
    base: CurrentDocument,
    draft: Draft,
    document: Document,
) -> Response {
    let outcome = apply::apply(&console.fleet, Apply::against(document, base.clone())).await;
    let (status, notice) = match outcome {
        Outcome::Applied(applied) => {
            let revision = applied.revision.unwrap_or_default();
            log::info!("revision {revision} applied, {} changes", applied.changes.len());
            return Redirect::to(&format!("/?applied={revision}")).into_response();
        }
        Outcome::Rejected(faults) => return fault_response(base, draft, faults),
        Outcome::Conflict(conflict) => (StatusCode::CONFLICT, Notice::Conflict(conflict)),
        Outcome::Unknown(error) => (StatusCode::BAD_GATEWAY, Notice::Unknown(error.to_string())),
        Outcome::Failed(error) => (StatusCode::BAD_GATEWAY, Notice::Failed(error.to_string())),
    };
    let page = Page { notice: Some(notice), ..Page::new(base, draft) };
    (status, view::render(&page)).into_response()
}

fn error_response(status: StatusCode, error: &impl Display) -> Response {
    (status, view::error_page(&error.to_string())).into_response()
}
