//! Shared reads of job records, which go on though the readers that began them leave.

use std::{collections::HashMap, sync::Arc};

use oleander_core::JobId;
use oleander_platform::ObjectStore;
use oleander_relay::TargetTransport;
use tokio::{
    sync::watch,
    time::{self, Instant},
};

use crate::{
    manager::{JobManager, StateUnknown},
    record::JobRecord,
};

type LookupResult = Result<Option<JobRecord>, StateUnknown>;
type Answer = watch::Receiver<Option<LookupResult>>;

/// Records that are being read.
pub(crate) type Lookups = HashMap<JobId, Answer>;

impl<S: ObjectStore, T: TargetTransport> JobManager<S, T> {
    /// Record of a job for a reader, who gets an answer by the deadline.
    pub(crate) async fn find_record(
        self: &Arc<Self>,
        job: &JobId,
        deadline: Instant,
    ) -> LookupResult {
        loop {
            if let Some((_, record)) = self.indexed(job) {
                return Ok(Some(record));
            }
            let (mut answer, is_own) = self.look_up(job);
            let answered = time::timeout_at(deadline, answer.wait_for(Option::is_some)).await;
            let answered = match answered {
                Ok(Ok(answered)) => answered.clone(),
                Ok(Err(_)) => return Err(StateUnknown("the read of its record ended".to_owned())),
                Err(_) => return Err(StateUnknown("its record was not read in time".to_owned())),
            };
            match answered {
                Some(Ok(Some(record))) => return Ok(Some(record)),
                Some(answer) if is_own => return answer,
                // The job may have been accepted since that read began.
                _ => {}
            }
        }
    }

    /// Begins to read a record, or joins a read of it; whether it was begun now.
    fn look_up(self: &Arc<Self>, job: &JobId) -> (Answer, bool) {
        let mut lookups = self.reads.lookups.lock();
        if let Some(answer) = lookups.get(job) {
            return (answer.clone(), false);
        }
        let (sender, answer) = watch::channel(None);
        lookups.insert(job.clone(), answer.clone());
        let (manager, job) = (Arc::clone(self), job.clone());
        tokio::spawn(async move {
            let found = manager.record(&job).await;
            manager.reads.lookups.lock().remove(&job);
            sender.send_replace(Some(found.map(|found| found.map(|(_, record)| record))));
        });
        (answer, true)
    }
}
