//! Job records that another writer has left.

use bytes::Bytes;
use oleander_core::{JobId, Span, Tokens};
use oleander_platform::{Created, MemoryPlatform, ObjectStore, encode_value};
use oleander_worklist::{JobRecord, JobStore};

use crate::fixture::{
    job, manager, route, submission, submission_of, wait_for_results, wait_until_ready,
};

/// Guards against a record that names another job, whose state it would replace.
#[tokio::test]
async fn a_record_under_the_key_of_another_job_is_ignored() {
    let store = MemoryPlatform::new();
    let manager = manager(store.clone());
    wait_until_ready(&manager).await;
    assert_eq!(manager.submit(submission(10), &route()).await, Ok(()));
    assert_eq!(wait_for_results(&manager).await, 3);
    let (_, record) =
        JobStore::new(store.clone()).record(&job()).await.expect("up").expect("a job");
    let odd = JobRecord { total: 99, owner: None, ..record };
    let body = encode_value(&odd).expect("encodable");
    assert!(matches!(store.create("joblist/job-2", body).await, Ok(Created::New(_))));
    assert!(store.create("joblist/job-3", Bytes::from_static(b"\xff")).await.is_ok());
    tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
    let read = manager.read_results(&job(), 0, Span::ZERO).await.expect("up").expect("a job");
    assert_eq!((read.total, read.results.len()), (3, 3));
}

/// Guards against an overflow of the sum of tokens, which a record or a caller may state at will.
#[tokio::test]
async fn tokens_without_end_fill_a_backlog() {
    let store = MemoryPlatform::new();
    let jobs = JobStore::new(store.clone());
    for name in ["large-1", "large-2"] {
        let id: JobId = name.parse().expect("name of a job");
        let record = submission_of(name, 1).record(oleander_core::Time(1), &route(), 0, None);
        assert_eq!(record.job, id);
        let record = JobRecord { tokens: Tokens(u64::MAX), ..record };
        jobs.accept(&record).await.expect("up").expect("a new job");
    }
    let manager = manager(store);
    wait_until_ready(&manager).await;
    assert!(manager.submit(submission(10), &route()).await.is_err(), "the backlog is full");
    assert_eq!(submission(u64::MAX).tokens(), Tokens(u64::MAX));
}
