//! Reads of consecutive objects from a platform that is quick, slow or failing.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use oleander_platform::{PlatformError, StoreError};
use oleander_worklist::{ReadWindow, SequenceReader};
use tokio::{sync::Semaphore, time};

const QUICK: Duration = Duration::from_millis(4);
const SLOW: Duration = Duration::from_millis(500);
/// Limit of what is read ahead that no test reaches.
const NO_LIMIT: usize = 1_000;

/// Objects 0 to `count`; each call takes `latency`, and one in `fail_every` is not answered.
struct Objects {
    count: u64,
    latency: Duration,
    fail_every: u64,
    calls: Arc<AtomicU64>,
}

impl Objects {
    fn new(count: u64, latency: Duration) -> Self {
        Self { count, latency, fail_every: u64::MAX, calls: Arc::default() }
    }

    fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    fn read(
        &self,
        index: u64,
    ) -> impl Future<Output = Result<Option<u64>, StoreError>> + Send + 'static {
        let call = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        let (count, latency) = (self.count, self.latency);
        let fails = call.is_multiple_of(self.fail_every);
        async move {
            time::sleep(latency).await;
            if fails {
                return Err(PlatformError::NoResponse("lost by the test".to_owned()).into());
            }
            Ok((index < count).then_some(index))
        }
    }
}

fn reader(ahead: usize) -> SequenceReader<u64> {
    let ahead = Arc::new(Semaphore::new(ahead));
    SequenceReader::new(ReadWindow::default(), ahead, 0, u64::MAX)
}

/// Reads all objects, and repeats what fails.
async fn read_all(reader: &mut SequenceReader<u64>, objects: &Objects) -> Vec<u64> {
    let mut all = Vec::new();
    loop {
        match reader.next(|index| objects.read(index)).await {
            Ok(Some(object)) => all.push(object),
            Ok(None) => return all,
            Err(_) => time::sleep(QUICK).await,
        }
    }
}

#[test]
fn the_window_stays_at_one_while_calls_are_quick_and_after_one_late_answer() {
    let mut window = ReadWindow::default();
    for _ in 0..10 {
        window.answered(QUICK);
        assert_eq!(window.size(), 1);
    }
    window.answered(SLOW * 3);
    window.answered(QUICK);
    assert_eq!(window.size(), 1);
}

#[test]
fn the_window_doubles_with_each_round_of_slow_calls_up_to_a_limit() {
    let mut window = ReadWindow::default();
    let sizes = [1, 2, 4, 8, 16, 32, 32].map(|_| {
        let size = window.size();
        (0..size).for_each(|_| window.answered(SLOW));
        size
    });
    assert_eq!(sizes, [1, 2, 4, 8, 16, 32, 32]);
}

#[test]
fn the_window_shrinks_once_calls_fail_or_are_quick_again() {
    let mut window = ReadWindow::default();
    (0..40).for_each(|_| window.answered(SLOW));
    assert_eq!(window.size(), 32);
    window.failed();
    assert_eq!(window.size(), 16);
    (0..20).for_each(|_| window.answered(QUICK));
    assert_eq!(window.size(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_quick_platform_is_called_once_for_each_object_and_its_end() {
    let objects = Objects::new(200, QUICK);
    let all = read_all(&mut reader(NO_LIMIT), &objects).await;
    assert_eq!(all, (0..200).collect::<Vec<_>>());
    assert_eq!(objects.calls(), 201);
}

#[tokio::test(start_paused = true)]
async fn two_hundred_objects_of_a_slow_platform_are_read_within_seconds() {
    let objects = Objects::new(200, SLOW);
    let start = time::Instant::now();
    assert_eq!(read_all(&mut reader(NO_LIMIT), &objects).await.len(), 200);
    // Five rounds up to the full window, and seven of 32.
    assert!(start.elapsed() <= SLOW * 13, "{:?}", start.elapsed());
    assert!(objects.calls() <= 200 + 32, "{} calls", objects.calls());
}

#[tokio::test(start_paused = true)]
async fn a_failed_call_is_repeated_and_no_other_call_is() {
    let objects = Objects { fail_every: 10, ..Objects::new(200, QUICK) };
    let all = read_all(&mut reader(NO_LIMIT), &objects).await;
    assert_eq!(all, (0..200).collect::<Vec<_>>());
    // Nine of ten calls succeed, and 201 have to.
    assert_eq!(objects.calls(), 223);
}

#[tokio::test(start_paused = true)]
async fn a_slow_platform_that_loses_answers_is_read_to_the_end() {
    let objects = Objects { fail_every: 7, ..Objects::new(200, SLOW) };
    let start = time::Instant::now();
    let all = read_all(&mut reader(NO_LIMIT), &objects).await;
    assert_eq!(all, (0..200).collect::<Vec<_>>());
    // Serial reads take 116 s.
    assert!(start.elapsed() < SLOW * 60, "{:?}", start.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_read_whose_caller_left_is_not_begun_anew() {
    let objects = Objects::new(3, SLOW);
    let mut reader = reader(NO_LIMIT);
    let left = time::timeout(SLOW / 2, reader.next(|index| objects.read(index))).await;
    assert!(left.is_err(), "the caller leaves before the answer");
    time::sleep(SLOW).await;
    let next = time::timeout(QUICK, reader.next(|index| objects.read(index))).await;
    assert_eq!(next, Ok(Ok(Some(0))));
    assert_eq!(objects.calls(), 1);
}

#[tokio::test(start_paused = true)]
async fn readers_that_share_a_limit_still_read_one_object_at_a_time_each() {
    let objects = Objects::new(20, SLOW);
    let start = time::Instant::now();
    assert_eq!(read_all(&mut reader(0), &objects).await.len(), 20);
    assert_eq!(objects.calls(), 21);
    assert_eq!(start.elapsed(), SLOW * 21);
}

#[tokio::test(start_paused = true)]
async fn an_object_that_was_missing_is_read_again() {
    let objects = Objects::new(0, QUICK);
    let mut reader = reader(NO_LIMIT);
    assert_eq!(reader.next(|index| objects.read(index)).await, Ok(None));
    let objects = Objects::new(1, QUICK);
    assert_eq!(reader.next(|index| objects.read(index)).await, Ok(Some(0)));
    assert_eq!(reader.position(), 1);
}
