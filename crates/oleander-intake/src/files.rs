//! Reading of input and output files.

use axum::{
    Extension, Json,
    body::Body,
    extract::{Path, State},
    http::header,
    response::{IntoResponse, Response},
};
use futures_util::{Stream, StreamExt, stream};
use oleander_core::FileId;
use oleander_document::Workspace;
use oleander_jobs::{FileRecord, JobRecord, key};
use oleander_platform::ObjectStore;

use crate::{
    DocumentSource, Intake, JobStore, error::ErrorResponse, output::OutputReader, view::FileView,
};

const LINES_TYPE: &str = "application/jsonl";

/// A file that a caller names.
enum Named {
    Input(FileRecord),
    Output(JobRecord),
}

/// Describes a file.
pub(crate) async fn info<P: ObjectStore, D: DocumentSource>(
    State(intake): State<Intake<P, D>>,
    Extension(workspace): Extension<Workspace>,
    Path(id): Path<String>,
) -> Result<Json<FileView>, ErrorResponse> {
    match find(&intake.store, &workspace, &id).await? {
        Named::Input(file) => Ok(Json(FileView::from(&file))),
        Named::Output(job) => Ok(Json(FileView::output(&job))),
    }
}

/// Streams the content of a file.
pub(crate) async fn content<P: ObjectStore, D: DocumentSource>(
    State(intake): State<Intake<P, D>>,
    Extension(workspace): Extension<Workspace>,
    Path(id): Path<String>,
) -> Result<Response, ErrorResponse> {
    let store = intake.store;
    match find(&store, &workspace, &id).await? {
        Named::Input(file) => answer(chunks(store, file)).await,
        Named::Output(job) => {
            let input = store.file(&job.workspace, &job.file).await?;
            let input = input.ok_or_else(|| ErrorResponse::not_found("file"))?;
            answer(OutputReader::new(store, job, input).into_stream()).await
        }
    }
}

async fn find<P: ObjectStore>(
    store: &JobStore<P>,
    workspace: &Workspace,
    id: &str,
) -> Result<Named, ErrorResponse> {
    let id: FileId = id.parse().map_err(|_| ErrorResponse::not_found("file"))?;
    if let Some(job) = key::output_job(&id) {
        let found = store.job(&job).await?.map(|(_, record)| record);
        let own = found.filter(|record| record.workspace == workspace.name);
        return own.map(Named::Output).ok_or_else(|| ErrorResponse::not_found("file"));
    }
    let found = store.file(&workspace.name, &id).await?;
    found.map(Named::Input).ok_or_else(|| ErrorResponse::not_found("file"))
}

/// The chunks of an input file, one after another.
fn chunks<P: ObjectStore>(
    store: JobStore<P>,
    file: FileRecord,
) -> impl Stream<Item = Result<Vec<u8>, ErrorResponse>> + Send + 'static {
    let digests = file.chunks.into_iter().map(|chunk| chunk.digest);
    stream::iter(digests).then(move |digest| {
        let store = store.clone();
        let workspace = file.workspace.clone();
        async move { Ok(store.chunk(&workspace, &digest).await?.to_vec()) }
    })
}

/// Answers with a stream whose first page could be read.
///
/// A later page that can't be read cuts the connection, so that a part never passes as the whole.
async fn answer(
    pages: impl Stream<Item = Result<Vec<u8>, ErrorResponse>> + Send + 'static,
) -> Result<Response, ErrorResponse> {
    let mut pages = Box::pin(pages);
    let first = match pages.next().await {
        Some(Err(refusal)) => return Err(refusal),
        Some(Ok(page)) => page,
        None => Vec::new(),
    };
    let rest = pages.map(|page| page.map_err(|refusal| refusal.0));
    let body = Body::from_stream(stream::iter([Ok(first)]).chain(rest));
    Ok(([(header::CONTENT_TYPE, LINES_TYPE)], body).into_response())
}
