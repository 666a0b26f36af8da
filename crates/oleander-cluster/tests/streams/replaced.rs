//! Streams while targets crash and come back as another version, and some hosts don't learn of it.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use futures_util::future::join_all;
use oleander_core::Span;
use oleander_relay::{Request, TargetEntry};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    hosts::OLD,
    runs::{EVENTS, RunTargets},
    support::{CallerOf, Hosts, beginning, route, targets},
};

/// Seeds, unless `STREAM_SEEDS` names another number of them.
const SEEDS: u64 = 4;
const HOSTS: usize = 3;
/// The host whose list stands still from the begin of the trouble.
const OUTDATED: usize = 0;
/// Targets at first, and those that crash at each of two times.
const TARGETS: usize = 8;
const CRASHES: usize = 2;
/// Time between two streams, over all hosts.
const STREAM_INTERVAL: Duration = Duration::from_millis(8);
/// Tries of a caller.
const TRIES: usize = 4;
/// Pause of a caller that was refused.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Duration of one play.
const PLAY_TIME: Duration = Duration::from_secs(8);

/// How a play is disturbed.
#[derive(Debug, Clone, Copy)]
struct Trouble {
    /// Time for which a target is down.
    down: Duration,
    /// Time from the first crashes to the second ones.
    apart: Duration,
    /// Whether the host whose list is old can ask the platform.
    may_ask: bool,
}

impl Trouble {
    fn draw(random: &mut SmallRng) -> Self {
        Self {
            down: Duration::from_millis(random.random_range(100..=1_500)),
            apart: Duration::from_millis(random.random_range(2_000..=6_000)),
            may_ask: random.random_bool(0.5),
        }
    }
}

/// What a caller has got of its stream.
#[derive(Debug, Default)]
struct Received {
    versions: BTreeSet<String>,
    /// Id of the last event.
    last: u64,
    was_broken: bool,
    tries: Vec<String>,
}

/// Asks for a stream at a host, and goes on at the same host after each break.
async fn ask(caller: &CallerOf<RunTargets>, id: String) -> Received {
    let mut received = Received::default();
    for attempt in 0..TRIES {
        let begin = Request::clone(&beginning(&format!("{id}-{attempt}")));
        let resumes = (received.last > 0).then(|| format!("{id}-0"));
        let resume_after = (received.last > 0).then_some(received.last);
        let budget = Some(Span::from_secs(2));
        let request = Request { resumes, resume_after, budget, ..begin };
        let route = oleander_relay::Route { max_attempts: 2, ..route() };
        let (summary, text) = caller.forward(Arc::new(request), &route).await;
        let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
        for (version, number) in data.map(|line| line.split_once(' ').expect("two words")) {
            received.versions.insert(version.to_owned());
            let number: u64 = number.parse().expect("number");
            assert_eq!(number, received.last + 1, "{id}: {summary:?}");
            received.last = number;
        }
        received.was_broken |= summary.attempts.len() > 1 || attempt > 0;
        received.tries.push(format!("{summary:?}"));
        if received.last == EVENTS || (received.last == 0 && received.tries.len() > 1) {
            break;
        }
        sleep(RETRY_PAUSE).await;
    }
    received
}

/// Crashes some targets and starts them again as another version, and later crashes others.
async fn disturb(
    hosts: &mut Hosts<RunTargets>,
    run: &RunTargets,
    trouble: Trouble,
    mut listed: Vec<TargetEntry>,
    random: &mut SmallRng,
) {
    let mut order: Vec<usize> = (0..TARGETS).collect();
    order.shuffle(random);
    let (first, others) = order.split_at(CRASHES);
    sleep(Duration::from_millis(500)).await;
    hosts.host(OUTDATED).stand_still(true);
    hosts.host(OUTDATED).lose_list(!trouble.may_ask);
    first.iter().for_each(|index| run.crash(&listed[*index].id));
    sleep(trouble.down).await;
    let started = oleander_host::clock::now().0 / 1_000;
    for index in first {
        let entry = &mut listed[*index];
        run.start(&entry.id, "v2");
        entry.version = "v2".parse().expect("version");
        entry.started_at = Some(started);
    }
    hosts.set_listed(listed.clone());
    sleep(trouble.apart.saturating_sub(trouble.down)).await;
    others[..CRASHES].iter().for_each(|index| run.crash(&listed[*index].id));
}

/// Plays one seed; returns how many streams that were broken were received whole at hosts whose
/// list is young, and their number.
async fn play(seed: u64) -> (usize, usize) {
    let mut random = SmallRng::seed_from_u64(seed);
    let trouble = Trouble::draw(&mut random);
    let listed = targets(&["v1"; TARGETS], OLD);
    let run = RunTargets::of(&listed);
    let mut hosts = Hosts::start_following(Arc::clone(&run), HOSTS, listed.clone()).await;
    let callers: Vec<_> = (0..HOSTS).map(|index| hosts.caller(index)).collect();
    let start = Instant::now();
    let count = PLAY_TIME.as_millis() / STREAM_INTERVAL.as_millis();
    let one = |number: u32| {
        let at = number as usize % HOSTS;
        let caller = &callers[at];
        async move {
            sleep_until(start + STREAM_INTERVAL * number).await;
            (at, ask(caller, format!("s{seed}-{number}")).await)
        }
    };
    let streams = join_all((0..count as u32).map(one));
    let (streams, ()) =
        tokio::join!(streams, disturb(&mut hosts, &run, trouble, listed, &mut random));
    for (at, stream) in &streams {
        assert!(stream.versions.len() <= 1, "seed {seed}, {trouble:?}, host {at}: {stream:?}");
    }
    let broken = streams.iter().filter(|(at, stream)| *at != OUTDATED && stream.was_broken);
    let broken: Vec<&Received> = broken.map(|(_, stream)| stream).collect();
    (broken.iter().filter(|stream| stream.last == EVENTS).count(), broken.len())
}

/// Guards against a stream that goes on at a target which has started again as another version,
/// since the list of the host still has the run that crashed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_stream_goes_on_at_a_run_of_which_the_host_has_no_list() {
    let seeds = std::env::var("STREAM_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let plays = join_all((0..seeds.unwrap_or(SEEDS)).map(play)).await;
    for (seed, (whole, broken)) in plays.into_iter().enumerate() {
        println!("seed {seed}: {whole} of {broken} broken streams went on");
        assert!(broken >= 8 && whole * 10 >= broken * 9, "seed {seed}: {whole} of {broken}");
    }
}

/// Time after which a target that has crashed gets requests again.
const USED_AGAIN: Duration = Duration::from_millis(3_300);

/// Guards against a stream that begins while no list tells the present run of any target, and goes on
/// at another target of the version that was listed last.
#[tokio::test]
async fn a_stream_of_an_unknown_version_goes_on_at_no_other_target() {
    let listed = targets(&["v1", "v1"], OLD);
    let run = RunTargets::of(&listed);
    let hosts = Hosts::start_following(Arc::clone(&run), 1, listed.clone()).await;
    let caller = hosts.caller(OUTDATED);
    hosts.host(OUTDATED).stand_still(true);
    hosts.host(OUTDATED).lose_list(true);
    let streams = (0..4).map(|number| ask(&caller, format!("before-{number}")));
    let crash = async {
        sleep(Duration::from_millis(100)).await;
        listed.iter().for_each(|entry| run.crash(&entry.id));
        sleep(Duration::from_millis(200)).await;
        run.start(&listed[0].id, "v2");
        run.start(&listed[1].id, "v3");
        sleep(USED_AGAIN).await;
    };
    let (before, ()) = tokio::join!(join_all(streams), crash);
    let streams = (0..8).map(|number| ask(&caller, format!("after-{number}")));
    let crash = async {
        sleep(Duration::from_millis(100)).await;
        run.crash(&listed[0].id);
    };
    let (after, ()) = tokio::join!(join_all(streams), crash);
    for stream in before.iter().chain(&after) {
        assert!(stream.versions.len() <= 1, "{stream:?}");
    }
    assert!(after.iter().any(|stream| stream.last == EVENTS), "new streams begin: {after:?}");
    assert!(after.iter().any(|stream| stream.was_broken), "some break off: {after:?}");
}
