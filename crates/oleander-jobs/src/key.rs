//! Keys of the objects that are stored at the platform, and ids derived from content.
//!
//! Since an object is created only if its key is absent, a key makes its write take effect once.
//! The keys of chunks hold a digest of the content, so that a repeated upload stores nothing new.
//! An announcement (`open/...`) is created before the record of its job; its key starts with the
//! time, so that a host lists only the announcements that are new to it.

use oleander_core::{DigestId, FileId, JobId, LotIndex, Time, WorkspaceId, hash};

use crate::record::Counts;

/// Key prefix of all announcements.
pub const ANNOUNCEMENT_PREFIX: &str = "open/";
/// Key prefix of all job records.
pub const JOB_PREFIX: &str = "job/";
/// Number of a digest's hex digits in an id.
const ID_HEX_DIGITS: usize = 40;
const OUTPUT_PREFIX: &str = "output-";

/// What the key of an announcement states.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The job.
    pub job: JobId,
    /// Number of its lots.
    pub lots: u32,
}

/// Key of a chunk of an input file.
#[must_use]
pub fn chunk(workspace: &WorkspaceId, digest: &DigestId) -> String {
    format!("file/{workspace}/chunk/{digest}")
}

/// Key of a file record.
#[must_use]
pub fn file(workspace: &WorkspaceId, file: &FileId) -> String {
    format!("file/{workspace}/record/{file}")
}

/// Key of a job record.
#[must_use]
pub fn job(job: &JobId) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// Key of the object that lists a job in its workspace.
#[must_use]
pub fn workspace_job(workspace: &WorkspaceId, job: &JobId) -> String {
    format!("{}{job}", workspace_jobs_prefix(workspace))
}

/// Key prefix of the jobs of a workspace.
#[must_use]
pub fn workspace_jobs_prefix(workspace: &WorkspaceId) -> String {
    format!("jobs/{workspace}/")
}

/// Key of the announcement of a job with `lots` lots, made at `at`.
#[must_use]
pub fn announcement(at: Time, lots: u32, job: &JobId) -> String {
    format!("{}{lots:06}/{job}", announcement_prefix(at))
}

/// Key prefix of the announcements made at a time.
#[must_use]
pub fn announcement_prefix(at: Time) -> String {
    format!("{ANNOUNCEMENT_PREFIX}{:016}/", at.0)
}

/// Parses the key of an announcement; `None` if it is malformed.
#[must_use]
pub fn parse_announcement(key: &str) -> Option<Announcement> {
    let mut parts = key.strip_prefix(ANNOUNCEMENT_PREFIX)?.split('/').skip(1);
    let lots = parts.next()?.parse().ok()?;
    let job = parts.next()?.parse().ok()?;
    Some(Announcement { job, lots })
}

/// Key prefix of the log of a lot.
#[must_use]
pub fn lot_prefix(job: &JobId, lot: LotIndex) -> String {
    format!("lot/{job}/{:06}/", lot.0)
}

/// Key of one segment in the log of a lot.
#[must_use]
pub fn segment(job: &JobId, lot_index: LotIndex, sequence: u64) -> String {
    format!("{}{sequence:010}", lot_prefix(job, lot_index))
}

/// Key prefix of the closed lots of a job.
#[must_use]
pub fn closed_lots_prefix(job: &JobId) -> String {
    format!("closed/{job}/")
}

/// Key of the object that marks a lot as closed.
///
/// The key holds the counts, so that a listing gives the counts of the job without further reads.
#[must_use]
pub fn closed_lot(job: &JobId, lot: LotIndex, counts: Counts) -> String {
    let Counts { completed, failed } = counts;
    format!("{}{:06}/{completed}/{failed}", closed_lots_prefix(job), lot.0)
}

/// Parses the key of a closed lot; `None` if it is malformed.
#[must_use]
pub fn parse_closed_lot(key: &str) -> Option<(LotIndex, Counts)> {
    let mut parts = key.split('/').skip(2);
    let lot = LotIndex(parts.next()?.parse().ok()?);
    let completed = parts.next()?.parse().ok()?;
    let failed = parts.next()?.parse().ok()?;
    Some((lot, Counts { completed, failed }))
}

/// Id of the file that consists of these chunks.
#[must_use]
pub fn file_id(chunks: &[DigestId]) -> FileId {
    let text: String = chunks.iter().map(DigestId::as_str).collect();
    parse_id(&format!("file-{}", truncate(&hash::digest(text.as_bytes()))))
}

/// Id of a job of a workspace, derived from `key`: its idempotency key or its content.
#[must_use]
pub fn job_id(workspace: &WorkspaceId, key: &str) -> JobId {
    let digest = hash::digest(format!("{workspace}\n{key}").as_bytes());
    parse_id(&format!("batch-{}", truncate(&digest)))
}

/// Id of the output file of a job.
#[must_use]
pub fn output_id(job: &JobId) -> FileId {
    parse_id(&format!("{OUTPUT_PREFIX}{job}"))
}

/// Job whose output file has this id; `None` for an input file.
#[must_use]
pub fn output_job(file: &FileId) -> Option<JobId> {
    file.as_str().strip_prefix(OUTPUT_PREFIX)?.parse().ok()
}

fn truncate(digest: &DigestId) -> &str {
    &digest.as_str()[..ID_HEX_DIGITS]
}

fn parse_id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| unreachable!("hex digests with a prefix are identifiers"))
}
