//! Descriptions and content of input and output files.

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
    ApiState, DocumentSource, JobStore, error::ErrorResponse, output::OutputReader, view::FileView,
};

const JSONL_CONTENT_TYPE: &str = "application/jsonl";

/// A file of the caller's workspace.
enum FoundFile {
    Input(FileRecord),
    /// Output file of this job.
    Output(JobRecord),
}

/// Returns the description of a file.
pub(crate) async fn info<P: ObjectStore, D: DocumentSource>(
    State(state): State<ApiState<P, D>>,
    Extension(workspace): Extension<Workspace>,
    Path(id): Path<String>,
) -> Result<Json<FileView>, ErrorResponse> {
    match find(&state.store, &workspace, &id).await? {
        FoundFile::Input(file) => Ok(Json(FileView::from(&file))),
        FoundFile::Output(job) => Ok(Json(FileView::output(&job))),
    }
}

/// Streams the content of a file.
pub(crate) async fn content<P: ObjectStore, D: DocumentSource>(
    State(state): State<ApiState<P, D>>,
    Extension(workspace): Extension<Workspace>,
    Path(id): Path<String>,
) -> Result<Response, ErrorResponse> {
    let store = state.store;
    match find(&store, &workspace, &id).await? {
        FoundFile::Input(file) => stream_response(chunk_stream(store, file)).await,
        FoundFile::Output(job) => {
            let input = store.file(&job.workspace, &job.file).await?;
            let input = input.ok_or_else(|| ErrorResponse::not_found("file"))?;
            stream_response(OutputReader::new(store, job, input).into_stream()).await
        }
    }
}

async fn find<P: ObjectStore>(
    store: &JobStore<P>,
    workspace: &Workspace,
    id: &str,
) -> Result<FoundFile, ErrorResponse> {
    let id: FileId = id.parse().map_err(|_| ErrorResponse::not_found("file"))?;
    if let Some(job) = key::output_job(&id) {
        let found = store.job(&job).await?.map(|(_, record)| record);
        let own = found.filter(|record| record.workspace == workspace.name);
        return own.map(FoundFile::Output).ok_or_else(|| ErrorResponse::not_found("file"));
    }
    let found = store.file(&workspace.name, &id).await?;
    found.map(FoundFile::Input).ok_or_else(|| ErrorResponse::not_found("file"))
}

/// Streams the chunks of an input file in order.
fn chunk_stream<P: ObjectStore>(
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

/// Responds with a stream of blocks, or with an error if the first block can't be read.
///
/// If a later block can't be read, the connection is aborted, so that the caller can't take the
/// partial content for the whole file.
async fn stream_response(
    blocks: impl Stream<Item = Result<Vec<u8>, ErrorResponse>> + Send + 'static,
) -> Result<Response, ErrorResponse> {
    let mut blocks = Box::pin(blocks);
    let first = match blocks.next().await {
        Some(Err(error)) => return Err(error),
        Some(Ok(block)) => block,
        None => Vec::new(),
    };
    let rest = blocks.map(|block| block.map_err(|error| error.0));
    let body = Body::from_stream(stream::iter([Ok(first)]).chain(rest));
    Ok(([(header::CONTENT_TYPE, JSONL_CONTENT_TYPE)], body).into_response())
}
