//! Names of the platform's objects.
//!
//! Each name stands for one thing that may happen once. Chunks are named by their content, so
//! that a repeated upload writes nothing new. An `open` object announces a job before it is
//! committed; its key sorts by time, so that a host lists only what is new to it.

use oleander_core::{DigestId, FileId, JobId, LotIndex, Time, WorkspaceId, hash};

use crate::record::Counts;

/// Prefix of all announcements.
pub const ANNOUNCEMENT_PREFIX: &str = "open/";
/// Prefix of all job records.
pub const JOB_PREFIX: &str = "job/";
/// Characters of a digest that make an id.
const ID_DIGITS: usize = 40;
const OUTPUT_PREFIX: &str = "output-";

/// A job that an announcement names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The job.
    pub job: JobId,
    /// Number of its lots.
    pub lots: u32,
}

/// Object of a chunk.
#[must_use]
pub fn chunk(workspace: &WorkspaceId, digest: &DigestId) -> String {
    format!("file/{workspace}/chunk/{digest}")
}

/// Object of a file record.
#[must_use]
pub fn file(workspace: &WorkspaceId, file: &FileId) -> String {
    format!("file/{workspace}/record/{file}")
}

/// Object of a job record.
#[must_use]
pub fn job(job: &JobId) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// Object that lists a job in its workspace.
#[must_use]
pub fn workspace_job(workspace: &WorkspaceId, job: &JobId) -> String {
    format!("{}{job}", workspace_jobs_prefix(workspace))
}

/// Prefix of the jobs of a workspace.
#[must_use]
pub fn workspace_jobs_prefix(workspace: &WorkspaceId) -> String {
    format!("jobs/{workspace}/")
}

/// Object that announces a job.
#[must_use]
pub fn announcement(at: Time, lots: u32, job: &JobId) -> String {
    format!("{}{lots:06}/{job}", announcement_prefix(at))
}

/// Start of the announcements made at a time.
#[must_use]
pub fn announcement_prefix(at: Time) -> String {
    format!("{ANNOUNCEMENT_PREFIX}{:016}/", at.0)
}

/// Reads the name of an announcement.
#[must_use]
pub fn parse_announcement(key: &str) -> Option<Announcement> {
    let mut parts = key.strip_prefix(ANNOUNCEMENT_PREFIX)?.split('/').skip(1);
    let lots = parts.next()?.parse().ok()?;
    let job = parts.next()?.parse().ok()?;
    Some(Announcement { job, lots })
}

/// Prefix of the log of a lot.
#[must_use]
pub fn lot_prefix(job: &JobId, lot: LotIndex) -> String {
    format!("lot/{job}/{:06}/", lot.0)
}

/// Object of one segment of the log of a lot.
#[must_use]
pub fn segment(job: &JobId, lot_index: LotIndex, sequence: u64) -> String {
    format!("{}{sequence:010}", lot_prefix(job, lot_index))
}

/// Prefix of the closed lots of a job.
#[must_use]
pub fn closed_lots_prefix(job: &JobId) -> String {
    format!("closed/{job}/")
}

/// Object that marks a lot as closed; its name holds the counts, so that a listing sums them.
#[must_use]
pub fn closed_lot(job: &JobId, lot: LotIndex, counts: Counts) -> String {
    let Counts { completed, failed } = counts;
    format!("{}{:06}/{completed}/{failed}", closed_lots_prefix(job), lot.0)
}

/// Reads the name of a closed lot.
#[must_use]
pub fn parse_closed_lot(key: &str) -> Option<(LotIndex, Counts)> {
    let mut parts = key.split('/').skip(2);
    let lot = LotIndex(parts.next()?.parse().ok()?);
    let completed = parts.next()?.parse().ok()?;
    let failed = parts.next()?.parse().ok()?;
    Some((lot, Counts { completed, failed }))
}

/// The id of a file with these chunks.
#[must_use]
pub fn file_id(chunks: &[DigestId]) -> FileId {
    let text: String = chunks.iter().map(DigestId::as_str).collect();
    named(&format!("file-{}", short(&hash::digest(text.as_bytes()))))
}

/// The id of a job of a workspace, from its idempotency key or its content.
#[must_use]
pub fn job_id(workspace: &WorkspaceId, key: &str) -> JobId {
    let digest = hash::digest(format!("{workspace}\n{key}").as_bytes());
    named(&format!("batch-{}", short(&digest)))
}

/// The id of the output of a job.
#[must_use]
pub fn output_id(job: &JobId) -> FileId {
    named(&format!("{OUTPUT_PREFIX}{job}"))
}

/// The job whose output has this id; `None` for an input file.
#[must_use]
pub fn output_job(file: &FileId) -> Option<JobId> {
    file.as_str().strip_prefix(OUTPUT_PREFIX)?.parse().ok()
}

fn short(digest: &DigestId) -> &str {
    &digest.as_str()[..ID_DIGITS]
}

fn named<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| unreachable!("hex digests with a prefix are identifiers"))
}
