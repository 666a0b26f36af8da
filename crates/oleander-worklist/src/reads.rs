//! Reads of results: from memory, from the owner or from the platform.
//!
//! Each read is answered by a time that its arrival sets. What it reads at the platform goes on without it and is shared, see
//! [`rows`](crate::rows), so that a reader who comes again finds more.

use std::sync::Arc;

use oleander_cluster::Handler;
use oleander_core::{HostId, JobId, Span};
use oleander_platform::ObjectStore;
use oleander_relay::TargetTransport;
use tokio::time::{self, Instant};

use crate::{
    manager::{JobManager, StateUnknown},
    message::{JobRequest, JobResponse, Results},
    owner_calls::OwnerCall,
    read_choice::{Choice, ReadTimes, choose_page},
    read_trace::{ReadSource, ReadTrace},
    record::{ItemResult, JobPhase, JobRecord},
    row::Row,
    rows::{Asked, Need},
};

/// Maximum wait of one read.
pub(crate) const MAX_READ_WAIT: Span = Span::from_secs(1);

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
    /// Reads a page of results from position `after` on, and waits up to `wait` if there are none
    /// yet; `None` if there is no such job.
    ///
    /// # Errors
    ///
    /// Returns [`StateUnknown`] if neither the owner nor the platform answers.
    pub async fn read_results(
        self: &Arc<Self>,
        job: &JobId,
        after: usize,
        wait: Span,
    ) -> Result<Option<Results>, StateUnknown> {
        let wait = wait.min(MAX_READ_WAIT);
        let mut trace = ReadTrace::new(job, wait);
        let results = self.find_results(job, after, wait, &mut trace).await;
        if results.is_err() {
            trace.failed();
        }
        results
    }

    async fn find_results(
        self: &Arc<Self>,
        job: &JobId,
        after: usize,
        wait: Span,
        trace: &mut ReadTrace,
    ) -> Result<Option<Results>, StateUnknown> {
        let times = ReadTimes::new(Instant::now(), wait);
        let record = self.find_record(job, times.deadline()).await?;
        trace.note_record();
        let Some(record) = record else {
            trace.answered(ReadSource::Platform);
            return Ok(None);
        };
        let wait = Span::from(times.rest(Instant::now()));
        if let Some(results) = self.read_loaded(job, after, wait).await {
            trace.answered(ReadSource::Memory);
            return Ok(Some(results));
        }
        let request = JobRequest::Read { job: job.clone(), after, wait };
        let mut owner = self.ask_owner(&record, request, times);
        let first = owner.first_answer().await;
        trace.note_owner();
        if let Some(JobResponse::Results(results)) = first {
            trace.answered(ReadSource::Owner);
            return Ok(Some(results));
        }
        let need = Need { arrived: times.arrived, position: after };
        self.read_stored(&record, need, times, owner, trace).await.map(Some)
    }

    /// A page of the results at the platform, or what the owner answers meanwhile.
    async fn read_stored(
        self: &Arc<Self>,
        record: &JobRecord,
        need: Need,
        times: ReadTimes,
        mut owner: OwnerCall,
        trace: &mut ReadTrace,
    ) -> Result<Results, StateUnknown> {
        if need.position >= record.total as usize {
            return Ok(answer_stored(record, &[], trace));
        }
        let asked_at = Instant::now();
        loop {
            let now = Instant::now();
            let look = |row: &mut Row<ItemResult>| row.page(now, need.position);
            let Asked { seen, mut changed, .. } = self.ask_row(record, need, look);
            let known = self.reads.results.lock().state(&record.job);
            trace.note_segments(known.objects);
            let wait_end = match choose_page(now, times, asked_at, seen, owner.is_pending()) {
                Choice::Answer(page) => return Ok(answer_stored(record, &page.entries, trace)),
                Choice::Nothing => return Ok(answer_stored(record, &[], trace)),
                Choice::Unknown => return Err(StateUnknown::not_read(known.fault)),
                Choice::Wait(until) => until,
            };
            tokio::select! {
                answer = owner.end() => {
                    trace.note_owner();
                    if let Some(JobResponse::Results(results)) = answer {
                        return Ok(self.prefer_known(record, need, results, trace));
                    }
                }
                _ = changed.changed() => {}
                () = time::sleep_until(wait_end) => {}
            }
        }
    }

    /// What the owner answered, unless that is empty and the platform has returned results.
    fn prefer_known(
        self: &Arc<Self>,
        record: &JobRecord,
        need: Need,
        answer: Results,
        trace: &mut ReadTrace,
    ) -> Results {
        let look = |row: &mut Row<ItemResult>| row.page(Instant::now(), need.position);
        match self.ask_row(record, need, look).seen.found {
            Some(page) if answer.results.is_empty() => answer_stored(record, &page.entries, trace),
            _ => {
                trace.answered(ReadSource::Owner);
                answer
            }
        }
    }

    async fn read_loaded(&self, job: &JobId, after: usize, wait: Span) -> Option<Results> {
        let loaded = self.loaded.lock().get(job).cloned()?;
        let deadline = time::Instant::now() + wait.to_duration();
        loop {
            let committed = loaded.committed.notified();
            tokio::pin!(committed);
            committed.as_mut().enable();
            let (total, results, open) = {
                let job = loaded.job.lock();
                let open = job.record.phase == JobPhase::Open && !job.is_complete();
                (job.record.total, job.results(after), open)
            };
            let timed_out = time::Instant::now() >= deadline;
            if !results.is_empty() || !open || timed_out {
                let results = results.iter().map(|result| ItemResult::clone(result)).collect();
                return Some(Results { total, results });
            }
            // The loop checks the deadline itself.
            let _ = time::timeout_at(deadline, committed).await;
        }
    }
}

/// A page that was read at the platform.
fn answer_stored(
    record: &JobRecord,
    results: &[Arc<ItemResult>],
    trace: &mut ReadTrace,
) -> Results {
    trace.answered(ReadSource::Platform);
    let results = results.iter().map(|result| ItemResult::clone(result)).collect();
    Results { total: record.total, results }
}

impl<S: ObjectStore, T: TargetTransport> Handler<JobRequest, JobResponse> for JobManager<S, T> {
    async fn handle(self: Arc<Self>, _: HostId, request: JobRequest) -> JobResponse {
        match request {
            JobRequest::Read { job, after, wait } => {
                let (_permit, wait) = self.peer_waits.grant(wait.min(MAX_READ_WAIT));
                let results = self.read_loaded(&job, after, wait).await;
                results.map_or(JobResponse::NotHere, JobResponse::Results)
            }
            JobRequest::Yield { target, count, pass_on } => {
                let rest = count - self.preempt(&target, count);
                if pass_on && rest > 0 {
                    self.call_zone_hosts(&target, rest);
                }
                JobResponse::Yielded
            }
            JobRequest::Changed { job } => {
                if self.read_changed(job).await {
                    JobResponse::Noted
                } else {
                    JobResponse::NotHere
                }
            }
            JobRequest::Body { job, item } => {
                let loaded = self.loaded.lock().get(&job).cloned();
                loaded.map_or(JobResponse::NotHere, |loaded| {
                    JobResponse::Body(loaded.job.lock().body(&item))
                })
            }
        }
    }
}
