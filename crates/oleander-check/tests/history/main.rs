//! History checking: concurrent callers and a seeded schedule of faults on real processes.
//!
//! `CHECK_SEED` replaces the seeds, `CHECK_ROUNDS` the number of rounds of faults.

#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod call;
mod callers;
mod checker;
mod faults;

use std::{
    collections::BTreeMap,
    env, mem,
    sync::{Arc, Mutex, atomic::AtomicBool, atomic::Ordering},
    time::Duration,
};

use futures_util::future::join_all;
use oleander_check::{Caller, Deployment, DeploymentOptions, eventually};
use rand::{SeedableRng, rngs::SmallRng};

use call::Word;
use callers::Shared;
use checker::{Records, Story};

const SEEDS: [u64; 2] = [1, 2];
const ROUNDS: usize = 4;
const CALLERS: usize = 6;
/// Shorter than a paused entry stays silent, so that callers resend during the pause.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Long enough for faults to meet runs under way.
const SERVICE_WORK_MS: &str = "40";
const READ_BOUND: Duration = Duration::from_secs(30);

fn setting<T: std::str::FromStr>(name: &str) -> Option<T> {
    env::var(name).ok().and_then(|text| text.parse().ok())
}

#[tokio::test(flavor = "multi_thread")]
async fn histories_under_faults_hold_every_promise() {
    let seeds = setting("CHECK_SEED").map_or(SEEDS.to_vec(), |seed| vec![seed]);
    for seed in seeds {
        check(seed, setting("CHECK_ROUNDS").unwrap_or(ROUNDS)).await;
    }
}

async fn check(seed: u64, rounds: usize) {
    let shape = DeploymentOptions::new().service_args(&["--work-ms", SERVICE_WORK_MS]);
    let mut deployment = Deployment::start(&format!("history-{seed}"), &shape).await;
    let shared = Shared {
        caller: deployment.caller(CALL_TIMEOUT),
        healed: Arc::new(AtomicBool::new(false)),
        history: Arc::new(Mutex::new(Vec::new())),
    };
    let callers: Vec<_> =
        (0..CALLERS).map(|name| tokio::spawn(callers::run(shared.clone(), name, seed))).collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    let faults = faults::inject(&mut deployment, rounds, &mut rng).await;
    shared.healed.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
    let history = mem::take(&mut *shared.history.lock().unwrap());
    let mut stories = checker::stories(history);
    read_all(&shared.caller, &mut stories).await;
    let ended = records(&deployment).await;
    resend_all(&shared.caller, &mut stories).await;
    let mut violations = checker::violations(&stories, &ended);
    violations.extend(checker::ran_again(&ended, &records(&deployment).await));
    println!("seed {seed}: {} faults {faults:?}", faults.len());
    println!("seed {seed}: {}", checker::summary(&stories));
    assert!(violations.is_empty(), "seed {seed}, faults {faults:?}:\n{}", violations.join("\n"));
}

/// Reads each result from each entry.
async fn read_all(caller: &Caller, stories: &mut BTreeMap<String, Story>) {
    for story in stories.values_mut() {
        let reads = (0..3).map(|entry| read(caller, story, entry));
        story.reads = join_all(reads).await;
    }
}

/// Sends each call that is at its end once more; the responses count as reads.
async fn resend_all(caller: &Caller, stories: &mut BTreeMap<String, Story>) {
    for (n, story) in stories.values_mut().enumerate() {
        let call = &story.call;
        if story.reads.iter().all(|word| call.is_final(word)) {
            let response = caller.post(n % 3, call.path(), &call.key, &call.body()).await;
            story.reads.push(call.read(response));
        }
    }
}

/// The settled word of an entry about a call; a result that was answered must come.
async fn read(caller: &Caller, story: &Story, entry: usize) -> Word {
    let path = format!("v1/results/{}", story.call.key);
    let answered = story.responses.iter().any(|heard| story.call.is_final(&heard.word));
    eventually("the result is readable", READ_BOUND, || async {
        let word = story.call.read(caller.get(entry, &path).await);
        let settled = story.call.is_final(&word)
            || (!answered && matches!(&word, Word::Refused(code, _) if code == "not_found"));
        settled.then_some(word)
    })
    .await
}

async fn records(deployment: &Deployment) -> Records {
    let mut records = Records::default();
    for engine in 0..3 {
        for record in deployment.engine_records(engine).await {
            if record["event"] == "received" {
                records.count(record["request_id"].as_str().unwrap());
            }
        }
    }
    for (id, runs) in deployment.service_runs().await {
        records.count(&id);
        records.runs.insert(id, runs.as_u64().unwrap());
    }
    records
}
