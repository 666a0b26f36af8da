//! What became of a read of a job: its way, the time of its parts, and whether its caller left.
//!
//! A caller that leaves drops the read, which then can log nothing itself; the trace does so when it
//! is dropped with it.

use std::fmt;

use oleander_core::{JobId, Span, Time};
use oleander_host::clock;

/// Time beyond the wait that its caller asked for, from which an answered read is logged.
const SLOW_READ: Span = Span::from_millis(500);

/// Where the answer to a read came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadSource {
    /// The memory of this host.
    Memory,
    /// The owner of the job.
    Owner,
    /// The platform.
    Platform,
}

impl fmt::Display for ReadSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Memory => "memory",
            Self::Owner => "owner",
            Self::Platform => "platform",
        })
    }
}

/// How a read ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadEnd {
    /// It has not ended: its caller left.
    Abandoned,
    /// It was answered from there.
    Answered(ReadSource),
    /// The state of the job could not be determined.
    Unknown,
}

impl fmt::Display for ReadEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Abandoned => f.write_str("abandoned"),
            Self::Answered(source) => source.fmt(f),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}

/// One read of a job's results or of an item's body; logged and counted on drop.
#[derive(Debug)]
pub(crate) struct ReadTrace {
    job: JobId,
    began: Time,
    /// Wait that the caller asked for.
    wait: Span,
    /// Time spent on the job's record.
    record: Span,
    /// Time spent on the owner's answer.
    owner: Span,
    /// Segments of the job's log that were known to this read.
    segments: u64,
    end: ReadEnd,
}

impl ReadTrace {
    pub(crate) fn new(job: &JobId, wait: Span) -> Self {
        Self {
            job: job.clone(),
            began: clock::steady(),
            wait,
            record: Span::ZERO,
            owner: Span::ZERO,
            segments: 0,
            end: ReadEnd::Abandoned,
        }
    }

    /// Notes that the job's record is known.
    pub(crate) fn note_record(&mut self) {
        self.record = clock::steady().since(self.began);
    }

    /// Notes that the owner has answered, or that its answer is no longer waited for.
    pub(crate) fn note_owner(&mut self) {
        self.owner = clock::steady().since(self.began + self.record);
    }

    /// Notes how many segments of the job's log are known.
    pub(crate) fn note_segments(&mut self, segments: usize) {
        self.segments = segments as u64;
    }

    /// Ends the trace of a read that is answered.
    pub(crate) fn answered(&mut self, source: ReadSource) {
        self.end = ReadEnd::Answered(source);
    }

    /// Ends the trace of a read that can't be answered.
    pub(crate) fn failed(&mut self) {
        self.end = ReadEnd::Unknown;
    }
}

impl Drop for ReadTrace {
    fn drop(&mut self) {
        let took = clock::steady().since(self.began);
        metrics::counter!("job_reads_total", "end" => self.end.to_string()).increment(1);
        metrics::histogram!("job_read_seconds").record(took.as_secs_f64());
        if matches!(self.end, ReadEnd::Answered(_)) && took < self.wait + SLOW_READ {
            return;
        }
        log::info!(job:% = self.job, end:% = self.end, took_ms = took.as_millis(),
            record_ms = self.record.as_millis(), owner_ms = self.owner.as_millis(),
            segments = self.segments; "slow or unanswered read of a job");
    }
}
