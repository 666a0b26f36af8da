//! Upload of an input file, which is validated and stored in chunks while it is received.
//!
//! An upload holds one piece of the body, one line, one chunk and a hash of each `custom_id` in
//! memory. Its chunks have no effect until the record of the file is created. The rest of a
//! rejected body is read and discarded up to a limit, since closing a connection with unread bytes
//! would destroy the response on its way to the caller.

use std::{mem, time::Duration};

use axum::{
    Extension, Json,
    body::{Body, BodyDataStream},
    extract::{FromRequest, Multipart, Request, State, multipart::Field},
    http::{HeaderMap, header},
};
use bytes::Bytes;
use futures_util::StreamExt;
use oleander_core::{ApiError, Bytes as Size, ErrorCode, Span, hash};
use oleander_document::Workspace;
use oleander_host::clock;
use oleander_jobs::{
    BatchParser, ChunkRecord, FileRecord, ParseError, ParseLimits, ParsedChunk, ParsedFile, key,
};
use oleander_platform::ObjectStore;
use tokio::{
    task,
    time::{self, Instant},
};

use crate::{
    ApiState, CreateOutcome, DocumentSource, JobStore, error::ErrorResponse, view::FileView,
};

/// Maximum wait for the next piece of a body.
const PIECE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which the average rate of a body must be at least [`MIN_BYTES_PER_SEC`].
const RATE_GRACE_PERIOD: Duration = Duration::from_secs(30);
const MIN_BYTES_PER_SEC: u64 = 4 << 10;
/// Maximum number of bytes of a rejected body that are read and discarded.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// Maximum time for which a rejected body is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of bytes that are parsed between two yields to other tasks.
const SLICE_BYTES: usize = 32 << 10;
/// `Retry-After` while the maximum number of uploads is in progress.
const OVERLOADED_RETRY_AFTER: Span = Span::from_secs(5);

/// Limits of the parser that takes the place of a finished one; it accepts no input.
const PLACEHOLDER_LIMITS: ParseLimits = ParseLimits { bytes: Size(0), items: 0 };

/// Source of the pieces of a file: the request body or a form field.
enum BodySource<'a> {
    Raw(BodyDataStream),
    Field(Box<Field<'a>>),
}

impl BodySource<'_> {
    async fn next_piece(&mut self) -> Result<Option<Bytes>, ErrorResponse> {
        let piece = async {
            match self {
                Self::Raw(stream) => stream.next().await.transpose().map_err(|e| e.to_string()),
                Self::Field(field) => field.chunk().await.map_err(|e| e.to_string()),
            }
        };
        match time::timeout(PIECE_TIMEOUT, piece).await {
            Ok(piece) => piece.map_err(ErrorResponse::invalid),
            Err(_) => Err(body_timeout()),
        }
    }

    /// Reads and discards the rest, up to [`MAX_DISCARDED_BYTES`] and [`DISCARD_TIMEOUT`].
    async fn discard_rest(&mut self) {
        let read = async {
            let mut discarded = 0;
            while let Ok(Some(piece)) = self.next_piece().await {
                discarded += piece.len();
                if discarded > MAX_DISCARDED_BYTES {
                    return;
                }
            }
        };
        // A body that goes on after these limits is cut off by closing the connection.
        let _ = time::timeout(DISCARD_TIMEOUT, read).await;
    }
}

fn body_timeout() -> ErrorResponse {
    let text = "the body did not arrive in time";
    ErrorResponse(ApiError::not_run(ErrorCode::RequestTimeout, text))
}

/// Stores an uploaded file.
pub(crate) async fn upload<P: ObjectStore, D: DocumentSource>(
    State(state): State<ApiState<P, D>>,
    Extension(workspace): Extension<Workspace>,
    request: Request,
) -> Result<Json<FileView>, ErrorResponse> {
    if is_multipart(request.headers()) {
        let multipart = Multipart::from_request(request, &()).await;
        let multipart = multipart.map_err(|e| ErrorResponse::invalid(e.body_text()))?;
        return upload_form(&state, &workspace, multipart).await;
    }
    let length = check_length(request.headers(), &workspace);
    let body: Body = request.into_body();
    let mut source = BodySource::Raw(body.into_data_stream());
    let result = match length {
        Ok(()) => upload_file(&state, &workspace, &mut source).await,
        Err(error) => Err(error),
    };
    if result.is_err() {
        source.discard_rest().await;
    }
    result
}

/// Stores the field `file` of a form.
async fn upload_form<P: ObjectStore, D: DocumentSource>(
    state: &ApiState<P, D>,
    workspace: &Workspace,
    mut form: Multipart,
) -> Result<Json<FileView>, ErrorResponse> {
    loop {
        let field = time::timeout(PIECE_TIMEOUT, form.next_field()).await;
        let field = field.map_err(|_| body_timeout())?;
        let field = field.map_err(|e| ErrorResponse::invalid(e.body_text()))?;
        let Some(field) = field else {
            return Err(ErrorResponse::invalid("the form has no field \"file\""));
        };
        match field.name() {
            Some("file") => {
                let mut source = BodySource::Field(Box::new(field));
                let result = upload_file(state, workspace, &mut source).await;
                if result.is_err() {
                    source.discard_rest().await;
                }
                return result;
            }
            Some("purpose") => check_purpose(field).await?,
            _ => return Err(ErrorResponse::invalid("the form has an unknown field")),
        }
    }
}

async fn upload_file<P: ObjectStore, D: DocumentSource>(
    state: &ApiState<P, D>,
    workspace: &Workspace,
    source: &mut BodySource<'_>,
) -> Result<Json<FileView>, ErrorResponse> {
    let Ok(_permit) = state.upload_permits.try_acquire() else {
        let error = ApiError::not_run(ErrorCode::Overloaded, "too many concurrent uploads");
        return Err(ErrorResponse(error.retry_after(OVERLOADED_RETRY_AFTER)));
    };
    let mut upload = FileUpload::new(&state.store, workspace);
    upload.receive(source).await?;
    let record = upload.finish().await?;
    Ok(Json(FileView::from(&record)))
}

fn is_multipart(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|content_type| content_type.starts_with("multipart/form-data"))
}

fn check_length(headers: &HeaderMap, workspace: &Workspace) -> Result<(), ErrorResponse> {
    let length = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let length: Option<u64> = length.and_then(|text| text.parse().ok());
    let limit = workspace.limits.file_bytes;
    if length.is_some_and(|length| length > limit.0) {
        return Err(ParseError::TooLarge(limit).into());
    }
    Ok(())
}

/// An upload in progress: validates the pieces of a file and stores its chunks.
struct FileUpload<'a, P> {
    store: &'a JobStore<P>,
    workspace: &'a Workspace,
    parser: BatchParser,
    chunks: Vec<ChunkRecord>,
}

impl<'a, P: ObjectStore> FileUpload<'a, P> {
    fn new(store: &'a JobStore<P>, workspace: &'a Workspace) -> Self {
        let limits =
            ParseLimits { bytes: workspace.limits.file_bytes, items: workspace.limits.job_items };
        Self { store, workspace, parser: BatchParser::new(limits), chunks: Vec::new() }
    }

    async fn receive(&mut self, source: &mut BodySource<'_>) -> Result<(), ErrorResponse> {
        let started = Instant::now();
        let mut bytes = 0;
        while let Some(piece) = source.next_piece().await? {
            bytes += piece.len() as u64;
            let elapsed = started.elapsed();
            if elapsed > RATE_GRACE_PERIOD && bytes < MIN_BYTES_PER_SEC * elapsed.as_secs() {
                return Err(body_timeout());
            }
            for slice in piece.chunks(SLICE_BYTES) {
                let chunks = self.parser.push(slice)?;
                self.store_chunks(chunks).await?;
                task::yield_now().await;
            }
        }
        Ok(())
    }

    async fn store_chunks(&mut self, chunks: Vec<ParsedChunk>) -> Result<(), ErrorResponse> {
        for chunk in chunks {
            let digest = hash::digest(&chunk.content);
            let key = key::chunk(&self.workspace.name, &digest);
            self.store.create(&key, Bytes::from(chunk.content)).await.map_err(upload_error)?;
            self.chunks.push(ChunkRecord { digest, items: chunk.items });
        }
        Ok(())
    }

    async fn finish(mut self) -> Result<FileRecord, ErrorResponse> {
        let parser = mem::replace(&mut self.parser, BatchParser::new(PLACEHOLDER_LIMITS));
        let mut parsed = parser.finish()?;
        let last = mem::take(&mut parsed.last_chunks);
        self.store_chunks(last).await?;
        let record = self.file_record(&parsed)?;
        let key = key::file(&record.workspace, &record.file);
        match self.store.create_record(&key, &record).await.map_err(upload_error)? {
            CreateOutcome::New => Ok(record),
            CreateOutcome::Exists => {
                let found = self.store.file(&record.workspace, &record.file).await?;
                Ok(found.unwrap_or(record))
            }
        }
    }

    fn file_record(&self, parsed: &ParsedFile) -> Result<FileRecord, ErrorResponse> {
        let service = parsed.model.parse().ok();
        let service = service.filter(|service| self.workspace.services.contains(service));
        let Some(service) = service else {
            let text = format!("model {:?} is not a service of this workspace", parsed.model);
            return Err(ErrorResponse::invalid(text));
        };
        let digests: Vec<_> = self.chunks.iter().map(|chunk| chunk.digest.clone()).collect();
        Ok(FileRecord {
            workspace: self.workspace.name.clone(),
            file: key::file_id(&digests),
            service,
            bytes: parsed.bytes,
            items: parsed.items,
            created: clock::now(),
            chunks: self.chunks.clone(),
        })
    }
}

/// Error response of a failed upload; whatever was written has no effect, and nothing runs.
fn upload_error(error: crate::StoreError) -> ErrorResponse {
    log::warn!("upload failed: {error}");
    ErrorResponse::unavailable("the platform does not answer")
}

async fn check_purpose(field: Field<'_>) -> Result<(), ErrorResponse> {
    let purpose = time::timeout(PIECE_TIMEOUT, field.text()).await;
    match purpose {
        Ok(Ok(purpose)) if purpose == "batch" => Ok(()),
        Ok(Err(error)) => Err(ErrorResponse::invalid(error.body_text())),
        _ => Err(ErrorResponse::invalid("field \"purpose\" must be \"batch\"")),
    }
}

impl From<ParseError> for ErrorResponse {
    fn from(error: ParseError) -> Self {
        let code = match &error {
            ParseError::TooLarge(_) => ErrorCode::TooLarge,
            ParseError::TooManyItems(_) | ParseError::Empty | ParseError::InvalidLines(_) => {
                ErrorCode::InvalidRequest
            }
        };
        Self(ApiError::not_run(code, error.to_string()))
    }
}
