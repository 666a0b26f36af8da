//! Permission to start items of jobs.

use oleander_core::{JobId, Span, Time};
use oleander_jobs::{START_LEASE, StartLeases};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 5;
const CASES: u64 = 2_000;
const MAX_READS: usize = 20;
/// Longest time since a read in a case.
const MAX_AGE: Span = Span::from_secs(40);
const NOW: Time = Time(1_000_000_000);

fn job() -> JobId {
    "job-1".parse().expect("a valid id")
}

/// Items start only while some read that found the job open began a short time ago, in whatever
/// order the reads return.
#[test]
fn items_start_only_a_short_time_after_the_begin_of_a_read() {
    fn check(ages: Vec<u32>) -> bool {
        let ages: Vec<Span> =
            ages.into_iter().map(|age| Span(u64::from(age) % MAX_AGE.0)).collect();
        let mut leases = StartLeases::default();
        ages.iter().for_each(|age| leases.renew(&job(), NOW - *age));
        leases.allows(&job(), NOW) == ages.iter().any(|age| *age < START_LEASE)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_READS, SEED))
        .tests(CASES)
        .quickcheck(check as fn(Vec<u32>) -> bool);
}

#[test]
fn no_item_of_a_removed_or_unknown_job_starts() {
    let mut leases = StartLeases::default();
    assert!(!leases.allows(&job(), NOW));
    leases.renew(&job(), NOW);
    assert!(leases.allows(&job(), NOW));
    leases.remove(&job());
    assert!(!leases.allows(&job(), NOW));
}
