//! Items and results of a loaded job, the job index and the backlog.

use std::collections::BTreeMap;

use bytes::Bytes;
use http::HeaderName;
use oleander_core::Revision;
use oleander_core::{JobId, Span, TargetId, Time, Tokens};
use oleander_relay::EventReader;
use oleander_worklist::{
    Backlog, ItemOutcome, ItemResult, Job, JobAction, JobIndex, JobPhase, JobRecord, NewItem,
    Owner, RunOutcome, Segment, escaped_len,
};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 32;

const NOW: Time = Time(1_000_000_000);

fn record(job: &str, items: u32) -> JobRecord {
    JobRecord {
        job: job.parse::<JobId>().expect("name of a job"),
        route: "route".to_owned(),
        host: "a.example".to_owned(),
        total: items,
        tokens: Tokens(1_000),
        parts: 1,
        accepted: NOW,
        due: Span::from_secs(18),
        retention: Span::from_secs(60),
        attempts: 3,
        owner: None,
        phase: JobPhase::Open,
    }
}

fn job(items: u32) -> Job {
    let new = (0..items).map(|number| NewItem {
        id: format!("item-{number}"),
        path: "/a/b".to_owned(),
        headers: BTreeMap::new(),
        body: Bytes::from(format!("body {number}")),
        tokens: 100,
    });
    Job::new(record("job-1", items), new.collect(), &HeaderName::from_static("x-id"))
}

fn target() -> TargetId {
    "engine-1".parse().expect("name of a target")
}

fn run(job: &mut Job, now: Time, outcome: &RunOutcome) -> String {
    let mut next = job.start_next(now).expect("an item waits");
    next.progress.output.extend_from_slice(b"text");
    let id = next.request.id.clone();
    job.finish_run(now, next.index, outcome, next.progress, target());
    id
}

fn result(item: &str) -> ItemResult {
    let output = "from elsewhere".to_owned();
    ItemResult { item: item.to_owned(), state: ItemOutcome::Completed, output }
}

fn segment(results: Vec<ItemResult>) -> Segment {
    Segment { writer: "writer".to_owned(), results }
}

#[test]
fn a_result_committed_first_by_another_host_wins() {
    let mut job = job(3);
    let item = run(&mut job, NOW, &RunOutcome::Completed);
    assert_eq!(job.pending_results().len(), 1);
    job.apply(segment(vec![result(&item)]));
    assert!(job.pending_results().is_empty(), "the pending result of the same item is dropped");
    job.apply(segment(vec![result(&item)]));
    let results = job.results(0);
    assert_eq!(results.len(), 1, "an item has one position");
    assert_eq!(results[0].output, "from elsewhere");
}

#[test]
fn a_run_that_ends_after_its_item_was_committed_changes_nothing() {
    let mut job = job(1);
    let next = job.start_next(NOW).expect("an item waits");
    job.apply(segment(vec![result(&next.request.id)]));
    job.finish_run(NOW, next.index, &RunOutcome::Interrupted, next.progress, target());
    assert!(job.is_complete());
    assert!(!job.has_waiting());
}

#[test]
fn an_item_fails_for_good_after_its_attempts() {
    let mut job = job(1);
    let mut now = NOW;
    for attempt in 0..3 {
        assert!(job.pending_results().is_empty(), "attempt {attempt}");
        run(&mut job, now, &RunOutcome::Failed);
        now = now + Span::from_secs(1);
    }
    assert_eq!(job.pending_results()[0].state, ItemOutcome::Failed);
    assert!(job.start_next(now).is_none());
}

#[test]
fn interruptions_count_as_no_attempt_and_keep_the_output() {
    let mut job = job(1);
    let mut now = NOW;
    for _ in 0..10 {
        let mut next = job.start_next(now).expect("the item waits");
        next.progress.events.push(b"");
        next.progress.output.extend_from_slice(b"x");
        job.finish_run(now, next.index, &RunOutcome::Interrupted, next.progress, target());
        now = now + Span::from_secs(1);
    }
    let next = job.start_next(now).expect("the item waits");
    assert_eq!(next.progress.output, b"xxxxxxxxxx");
    assert_eq!(next.progress.events.last_id(), EventReader::default().last_id());
}

/// Guards against items that are given up before their retention is over, by a host whose clock is
/// ahead of the accepting host's.
#[test]
fn waiting_items_fail_only_after_the_retention_by_any_clock() {
    let mut job = job(2);
    job.expire(NOW + Span::from_millis(64_999));
    assert!(job.pending_results().is_empty());
    job.expire(NOW + Span::from_secs(65));
    assert_eq!(job.pending_results().len(), 2);
}

#[test]
fn a_body_can_be_read_until_its_item_is_committed() {
    let mut job = job(1);
    assert_eq!(job.body("item-0").expect("not committed"), "body 0");
    job.apply(segment(vec![result("item-0")]));
    assert!(job.body("item-0").is_none());
}

fn owner(host: &str, started: u64) -> Owner {
    Owner { host: host.parse().expect("name of a host"), started: Time(started) }
}

#[test]
fn an_older_record_never_replaces_a_newer_one() {
    let local = owner("entry-1", 5);
    let mut index = JobIndex::default();
    let owned = JobRecord { owner: Some(local.clone()), ..record("job-1", 1) };
    let cancelled = JobRecord { phase: JobPhase::Cancelled, ..owned.clone() };
    assert_eq!(index.put(Revision(7), owned.clone(), &local), JobAction::Load);
    assert_eq!(index.put(Revision(9), cancelled, &local), JobAction::Stop);
    assert_eq!(index.put(Revision(7), owned, &local), JobAction::None);
    assert_eq!(index.records().next().map(|record| record.phase), Some(JobPhase::Cancelled));
}

#[test]
fn exactly_one_host_takes_over_each_job_without_a_running_owner() {
    let hosts: Vec<String> = (1..=4).map(|number| format!("entry-{number}")).collect();
    let gone = owner("entry-9", 1);
    let mut takeovers = 0;
    for host in &hosts {
        let local = owner(host, 5);
        let mut index = JobIndex::default();
        let orphaned = JobRecord { owner: Some(gone.clone()), ..record("job-1", 1) };
        let released = JobRecord { owner: None, ..record("job-2", 1) };
        let owned = JobRecord { owner: Some(owner("entry-1", 5)), ..record("job-3", 1) };
        let done =
            JobRecord { owner: Some(gone.clone()), phase: JobPhase::Done, ..record("job-4", 1) };
        for (revision, record) in [orphaned, released, owned, done].into_iter().enumerate() {
            index.put(Revision(revision as u64), record, &local);
        }
        let orphans = index.orphans(&local, &hosts, |owner| *owner == gone);
        takeovers += orphans.count();
    }
    assert_eq!(takeovers, 2, "each of the two jobs goes to one host");
}

#[test]
fn a_backlog_counts_open_jobs_of_its_route_only() {
    let local = owner("entry-1", 5);
    let mut index = JobIndex::default();
    let other = JobRecord { route: "other".to_owned(), ..record("job-2", 1) };
    let cancelled = JobRecord { phase: JobPhase::Cancelled, ..record("job-3", 1) };
    for (revision, record) in [record("job-1", 1), other, cancelled].into_iter().enumerate() {
        index.put(Revision(revision as u64), record, &local);
    }
    let backlog = Backlog::of(&index, "route", Tokens(400));
    assert_eq!(backlog.waiting, Tokens(600));
    assert!(backlog.admit(Tokens(400), Some(Tokens(1_000))).is_ok());
    assert!(backlog.admit(Tokens(401), Some(Tokens(1_000))).is_err());
    assert!(backlog.admit(Tokens(u64::MAX), None).is_ok());
}

#[test]
fn an_item_under_which_targets_crash_is_run_again_after_four_seconds_at_most() {
    let mut job = job(1);
    let mut now = NOW;
    let mut delays = Vec::new();
    let mut ended = now;
    for _ in 0..40 {
        let next = loop {
            if let Some(next) = job.start_next(now) {
                break next;
            }
            now = now + Span::from_millis(50);
        };
        delays.push(now.since(ended));
        ended = now;
        job.finish_run(now, next.index, &RunOutcome::Crashed, next.progress, target());
    }
    assert!(delays.iter().all(|delay| *delay <= Span::from_secs(4)), "{delays:?}");
    assert!(delays[1] < delays[2] && delays[2] < delays[3], "{delays:?}");
}

/// Finishes the next item with this output.
fn finish(job: &mut Job, output: &str) {
    let mut next = job.start_next(NOW).expect("an item waits");
    next.progress.output.extend_from_slice(output.as_bytes());
    job.finish_run(NOW, next.index, &RunOutcome::Completed, next.progress, target());
}

/// Guards against sound results that wait behind one that the platform rejects.
#[test]
fn results_behind_a_rejected_one_are_committed() {
    let mut job = job(3);
    for _ in 0..3 {
        finish(&mut job, "text");
    }
    let mut writes = 0;
    while job.results(0).len() < 2 {
        writes += 1;
        assert!(writes < 10, "sound results are held up");
        let results = job.pending_results();
        if results.iter().any(|result| result.item == "item-0") {
            job.reject(&results);
        } else {
            job.apply(segment(results));
        }
    }
    for _ in 0..3 {
        let results = job.pending_results();
        job.reject(&results);
    }
    assert!(!job.has_pending(), "the rejected result is written again and again");
    assert_eq!(job.start_next(NOW + Span::from_secs(1)).expect("runs again").index, 0);
}

/// Guards against an item that runs for good, as its output can be stored from no target.
#[test]
fn an_item_fails_once_several_targets_have_sent_too_much() {
    let mut job = job(1);
    let mut now = NOW;
    for number in [1, 2, 2, 2, 3] {
        now = now + Span::from_secs(1);
        let next = job.start_next(now).expect("the item waits");
        assert!(next.progress.output.is_empty(), "it starts from nothing");
        let target = format!("engine-{number}").parse().expect("name of a target");
        job.finish_run(now, 0, &RunOutcome::Oversized, next.progress, target);
    }
    let results = job.pending_results();
    assert_eq!(results.len(), 1, "it waits after three targets");
    assert_eq!(results[0].state, ItemOutcome::Failed);
}

/// Guards against a limit on sizes that the written bytes exceed.
#[test]
fn sizes_are_those_of_the_json() {
    fn property(item: String, output: String) -> bool {
        let result = ItemResult { item, state: ItemOutcome::Completed, output };
        let written = serde_json::to_vec(&result).expect("encodable").len();
        let text = serde_json::to_vec(&result.output).expect("encodable").len();
        written <= result.json_len() && text == escaped_len(&result.output) + 2
    }
    checker().quickcheck(property as fn(String, String) -> bool);
}

#[test]
fn segments_fit_into_objects() {
    fn property(lengths: Vec<u16>) -> bool {
        let object_bytes = 64 << 10;
        let mut job = job(lengths.len() as u32).object_bytes(object_bytes);
        for length in &lengths {
            finish(&mut job, &"\u{1}".repeat(usize::from(*length) / 8));
        }
        while job.has_pending() {
            let segment = segment(job.pending_results());
            let written = serde_json::to_vec(&segment).expect("encodable").len();
            if written > object_bytes {
                return false;
            }
            job.apply(segment);
        }
        true
    }
    checker().quickcheck(property as fn(Vec<u16>) -> bool);
}

fn checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED))
}
