//! Upload of an input file, streamed into chunks.
//!
//! Memory is one piece, one line, one chunk and a hash of each `custom_id`. Nothing counts until
//! the record of the file is created. The rest of a refused body is read and dropped up to a bound:
//! closing a connection with unread bytes would destroy the answer on its way to the caller.

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
    CreateOutcome, DocumentSource, Intake, JobStore, error::ErrorResponse, view::FileView,
};

/// Longest wait for the next piece of a body.
const PIECE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a body must have come at [`MIN_RATE`] on average.
const RATE_GRACE: Duration = Duration::from_secs(30);
/// Slowest accepted body, in bytes a second.
const MIN_RATE: u64 = 4 << 10;
/// Most bytes of a refused body that are read, and the longest time for it.
const MAX_DROPPED_BYTES: usize = 16 << 20;
const DROP_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes that are checked without giving way to other tasks.
const SLICE_BYTES: usize = 32 << 10;
/// Time after which a caller may try an upload again.
const RETRY_BUSY: Span = Span::from_secs(5);

/// Bounds of a parser that takes nothing.
const NOTHING: ParseLimits = ParseLimits { bytes: Size(0), items: 0 };

/// Where the pieces of the file come from.
enum Source<'a> {
    Raw(BodyDataStream),
    Field(Box<Field<'a>>),
}

impl Source<'_> {
    async fn next(&mut self) -> Result<Option<Bytes>, ErrorResponse> {
        let piece = async {
            match self {
                Self::Raw(stream) => stream.next().await.transpose().map_err(|e| e.to_string()),
                Self::Field(field) => field.chunk().await.map_err(|e| e.to_string()),
            }
        };
        match time::timeout(PIECE_TIMEOUT, piece).await {
            Ok(piece) => piece.map_err(ErrorResponse::invalid),
            Err(_) => Err(too_slow()),
        }
    }

    /// Reads and drops what is left.
    async fn drop_rest(&mut self) {
        let read = async {
            let mut dropped = 0;
            while let Ok(Some(piece)) = self.next().await {
                dropped += piece.len();
                if dropped > MAX_DROPPED_BYTES {
                    return;
                }
            }
        };
        // A body that goes on longer is cut off with its connection.
        let _ = time::timeout(DROP_TIMEOUT, read).await;
    }
}

fn too_slow() -> ErrorResponse {
    let text = "the body did not arrive in time";
    ErrorResponse(ApiError::not_run(ErrorCode::RequestTimeout, text))
}

/// Takes in a file.
pub(crate) async fn upload<P: ObjectStore, D: DocumentSource>(
    State(intake): State<Intake<P, D>>,
    Extension(workspace): Extension<Workspace>,
    request: Request,
) -> Result<Json<FileView>, ErrorResponse> {
    if is_multipart(request.headers()) {
        let multipart = Multipart::from_request(request, &()).await;
        let multipart = multipart.map_err(|e| ErrorResponse::invalid(e.body_text()))?;
        return take_form(&intake, &workspace, multipart).await;
    }
    let length = check_length(request.headers(), &workspace);
    let body: Body = request.into_body();
    let mut source = Source::Raw(body.into_data_stream());
    let taken = match length {
        Ok(()) => take_file(&intake, &workspace, &mut source).await,
        Err(refusal) => Err(refusal),
    };
    if taken.is_err() {
        source.drop_rest().await;
    }
    taken
}

/// Takes the field `file` of a form.
async fn take_form<P: ObjectStore, D: DocumentSource>(
    intake: &Intake<P, D>,
    workspace: &Workspace,
    mut form: Multipart,
) -> Result<Json<FileView>, ErrorResponse> {
    loop {
        let field = time::timeout(PIECE_TIMEOUT, form.next_field()).await;
        let field = field.map_err(|_| too_slow())?;
        let field = field.map_err(|e| ErrorResponse::invalid(e.body_text()))?;
        let Some(field) = field else {
            return Err(ErrorResponse::invalid("the form has no field \"file\""));
        };
        match field.name() {
            Some("file") => {
                let mut source = Source::Field(Box::new(field));
                let taken = take_file(intake, workspace, &mut source).await;
                if taken.is_err() {
                    source.drop_rest().await;
                }
                return taken;
            }
            Some("purpose") => check_purpose(field).await?,
            _ => return Err(ErrorResponse::invalid("the form has an unknown field")),
        }
    }
}

async fn take_file<P: ObjectStore, D: DocumentSource>(
    intake: &Intake<P, D>,
    workspace: &Workspace,
    source: &mut Source<'_>,
) -> Result<Json<FileView>, ErrorResponse> {
    let Ok(_permit) = intake.uploads.try_acquire() else {
        let error = ApiError::not_run(ErrorCode::Overloaded, "too many uploads at once");
        return Err(ErrorResponse(error.retry_after(RETRY_BUSY)));
    };
    let mut taker = Taker::new(&intake.store, workspace);
    taker.take(source).await?;
    let record = taker.finish().await?;
    Ok(Json(FileView::from(&record)))
}

fn is_multipart(headers: &HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("multipart/form-data"))
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

/// Checks the pieces of one file and stores its chunks.
struct Taker<'a, P> {
    store: &'a JobStore<P>,
    workspace: &'a Workspace,
    parser: BatchParser,
    chunks: Vec<ChunkRecord>,
}

impl<'a, P: ObjectStore> Taker<'a, P> {
    fn new(store: &'a JobStore<P>, workspace: &'a Workspace) -> Self {
        let limits =
            ParseLimits { bytes: workspace.limits.file_bytes, items: workspace.limits.job_items };
        Self { store, workspace, parser: BatchParser::new(limits), chunks: Vec::new() }
    }

    async fn take(&mut self, source: &mut Source<'_>) -> Result<(), ErrorResponse> {
        let started = Instant::now();
        let mut bytes = 0;
        while let Some(piece) = source.next().await? {
            bytes += piece.len() as u64;
            let elapsed = started.elapsed();
            if elapsed > RATE_GRACE && bytes < MIN_RATE * elapsed.as_secs() {
                return Err(too_slow());
            }
            for slice in piece.chunks(SLICE_BYTES) {
                let chunks = self.parser.push(slice)?;
                self.keep(chunks).await?;
                task::yield_now().await;
            }
        }
        Ok(())
    }

    async fn keep(&mut self, chunks: Vec<ParsedChunk>) -> Result<(), ErrorResponse> {
        for chunk in chunks {
            let digest = hash::digest(&chunk.content);
            let key = key::chunk(&self.workspace.name, &digest);
            self.store.create(&key, Bytes::from(chunk.content)).await.map_err(not_counted)?;
            self.chunks.push(ChunkRecord { digest, items: chunk.items });
        }
        Ok(())
    }

    async fn finish(mut self) -> Result<FileRecord, ErrorResponse> {
        let parser = mem::replace(&mut self.parser, BatchParser::new(NOTHING));
        let mut parsed = parser.finish()?;
        let last = mem::take(&mut parsed.last_chunks);
        self.keep(last).await?;
        let record = self.record(&parsed)?;
        let key = key::file(&record.workspace, &record.file);
        match self.store.create_record(&key, &record).await.map_err(not_counted)? {
            CreateOutcome::New => Ok(record),
            CreateOutcome::Exists => {
                let found = self.store.file(&record.workspace, &record.file).await?;
                Ok(found.unwrap_or(record))
            }
        }
    }

    fn record(&self, parsed: &ParsedFile) -> Result<FileRecord, ErrorResponse> {
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

/// A refusal of an upload: whatever was written counts for nothing and runs nothing.
fn not_counted(error: crate::StoreError) -> ErrorResponse {
    log::warn!("upload: {error}");
    ErrorResponse::unavailable("the platform does not answer")
}

async fn check_purpose(field: Field<'_>) -> Result<(), ErrorResponse> {
    let purpose = time::timeout(PIECE_TIMEOUT, field.text()).await;
    match purpose {
        Ok(Ok(purpose)) if purpose == "batch" => Ok(()),
        Ok(Err(error)) => Err(ErrorResponse::invalid(error.body_text())),
        _ => Err(ErrorResponse::invalid("purpose must be batch")),
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
