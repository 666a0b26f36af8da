//! Reads of request bodies: from memory, from the owner or from the platform.

use std::sync::Arc;

use bytes::Bytes;
use oleander_core::{JobId, Span};
use oleander_platform::ObjectStore;
use oleander_relay::TargetTransport;
use tokio::time::{self, Instant};

use crate::{
    item::NewItem,
    manager::{JobManager, StateUnknown},
    message::{JobRequest, JobResponse},
    owner_calls::OwnerCall,
    read_choice::{Choice, ReadTimes, choose_body},
    read_trace::{ReadSource, ReadTrace},
    record::{ItemResult, JobRecord},
    row::{Found, Row},
    rows::{Asked, Need},
};

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
    /// Reads the request body of an item; `None` if its result is committed, or if there is no such
    /// job or item.
    ///
    /// # Errors
    ///
    /// Returns [`StateUnknown`] if neither the owner nor the platform answers.
    pub async fn read_body(
        self: &Arc<Self>,
        job: &JobId,
        item: &str,
    ) -> Result<Option<Bytes>, StateUnknown> {
        let mut trace = ReadTrace::new(job, Span::ZERO);
        let body = self.find_body(job, item, &mut trace).await;
        if body.is_err() {
            trace.failed();
        }
        body
    }

    async fn find_body(
        self: &Arc<Self>,
        job: &JobId,
        item: &str,
        trace: &mut ReadTrace,
    ) -> Result<Option<Bytes>, StateUnknown> {
        let times = ReadTimes::new(Instant::now(), Span::ZERO);
        let record = self.find_record(job, times.deadline()).await?;
        trace.note_record();
        let Some(record) = record else {
            trace.answered(ReadSource::Platform);
            return Ok(None);
        };
        if let Some(loaded) = self.loaded.lock().get(job).cloned() {
            trace.answered(ReadSource::Memory);
            return Ok(loaded.job.lock().body(item));
        }
        let request = JobRequest::Body { job: job.clone(), item: item.to_owned() };
        let mut owner = self.ask_owner(&record, request, times);
        let first = owner.first_answer().await;
        trace.note_owner();
        if let Some(JobResponse::Body(body)) = first {
            trace.answered(ReadSource::Owner);
            return Ok(body);
        }
        self.read_stored_body(&record, item, times, owner, trace).await
    }

    /// The body of an item at the platform, or what the owner answers meanwhile.
    async fn read_stored_body(
        self: &Arc<Self>,
        record: &JobRecord,
        item: &str,
        times: ReadTimes,
        mut owner: OwnerCall,
        trace: &mut ReadTrace,
    ) -> Result<Option<Bytes>, StateUnknown> {
        // All results and items may have to be known.
        let need = Need { arrived: times.arrived, position: usize::MAX };
        loop {
            let now = Instant::now();
            let mut listed = self.ask_row(record, need, |row: &mut Row<ItemResult>| {
                if row.contains(item) { Found::Here(()) } else { Found::Unknown }
            });
            let look = |row: &mut Row<NewItem>| row.entry(now, item);
            let Asked { seen: stored, changed: mut more, .. } = self.ask_row(record, need, look);
            let known = self.reads.results.lock().state(&record.job);
            trace.note_segments(known.objects);
            let wait_end = match choose_body(now, times, &listed.seen, stored) {
                Choice::Answer(item) => {
                    trace.answered(ReadSource::Platform);
                    return Ok(Some(item.body.clone()));
                }
                Choice::Nothing => {
                    trace.answered(ReadSource::Platform);
                    return Ok(None);
                }
                Choice::Unknown => return Err(StateUnknown::not_read(known.fault)),
                Choice::Wait(until) => until,
            };
            tokio::select! {
                answer = owner.end() => {
                    trace.note_owner();
                    if let Some(JobResponse::Body(body)) = answer {
                        trace.answered(ReadSource::Owner);
                        return Ok(body);
                    }
                }
                _ = listed.changed.changed() => {}
                _ = more.changed() => {}
                () = time::sleep_until(wait_end) => {}
            }
        }
    }
}
