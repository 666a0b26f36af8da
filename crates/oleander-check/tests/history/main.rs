//! History checking: concurrent callers record what they observe while a seeded schedule of faults
//! runs against real processes, and the observations are checked against the system's guarantees.
//!
//! The environment variable `CHECK_SEED` replaces the seeds, `CHECK_ROUNDS` the number of rounds of
//! faults.

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

use call::Outcome;
use callers::Shared;
use checker::{CallHistory, Records};

const SEEDS: [u64; 2] = [1, 2];
const ROUNDS: usize = 4;
const CALLERS: usize = 6;
/// Shorter than the pause of an entry, so that callers resend during the pause.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Long enough for runs to be in progress when a fault starts.
const SERVICE_WORK_MS: &str = "40";
const READ_TIMEOUT: Duration = Duration::from_secs(30);

fn env_value<T: std::str::FromStr>(name: &str) -> Option<T> {
    env::var(name).ok().and_then(|text| text.parse().ok())
}

#[tokio::test(flavor = "multi_thread")]
async fn observations_under_faults_match_the_guarantees() {
    let seeds = env_value("CHECK_SEED").map_or(SEEDS.to_vec(), |seed| vec![seed]);
    for seed in seeds {
        run_seed(seed, env_value("CHECK_ROUNDS").unwrap_or(ROUNDS)).await;
    }
}

async fn run_seed(seed: u64, rounds: usize) {
    let options = DeploymentOptions::new().service_args(&["--work-ms", SERVICE_WORK_MS]);
    let mut deployment = Deployment::start(&format!("history-{seed}"), &options).await;
    let shared = Shared {
        caller: deployment.caller(CALL_TIMEOUT),
        faults_ended: Arc::new(AtomicBool::new(false)),
        observations: Arc::new(Mutex::new(Vec::new())),
    };
    let callers: Vec<_> =
        (0..CALLERS).map(|name| tokio::spawn(callers::run(shared.clone(), name, seed))).collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    let faults = faults::inject(&mut deployment, rounds, &mut rng).await;
    shared.faults_ended.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
    let observations = mem::take(&mut *shared.observations.lock().unwrap());
    let mut histories = checker::group_by_call(observations);
    read_all(&shared.caller, &mut histories).await;
    let records_before = read_records(&deployment).await;
    resend_all(&shared.caller, &mut histories).await;
    let mut violations = checker::violations(&histories, &records_before);
    violations.extend(checker::ran_again(&records_before, &read_records(&deployment).await));
    println!("seed {seed}: {} faults {faults:?}", faults.len());
    println!("seed {seed}: {}", checker::summary(&histories));
    assert!(violations.is_empty(), "seed {seed}, faults {faults:?}:\n{}", violations.join("\n"));
}

/// Reads the result of each call through each entry.
async fn read_all(caller: &Caller, histories: &mut BTreeMap<String, CallHistory>) {
    for history in histories.values_mut() {
        let reads = (0..3).map(|entry| read(caller, history, entry));
        history.reads = join_all(reads).await;
    }
}

/// Resends each call whose reads are all final; adds the outcomes to the reads.
async fn resend_all(caller: &Caller, histories: &mut BTreeMap<String, CallHistory>) {
    for (n, history) in histories.values_mut().enumerate() {
        let call = &history.call;
        if history.reads.iter().all(|outcome| call.is_final(outcome)) {
            let response = caller.post(n % 3, call.path(), &call.key, &call.body()).await;
            history.reads.push(call.parse_response(response));
        }
    }
}

/// Waits for a final outcome of a call at an entry. `not_found` counts as final unless the caller
/// has observed a final outcome.
async fn read(caller: &Caller, history: &CallHistory, entry: usize) -> Outcome {
    let path = format!("v1/results/{}", history.call.key);
    let observed =
        history.responses.iter().any(|observation| history.call.is_final(&observation.outcome));
    eventually("the result is readable", READ_TIMEOUT, || async {
        let outcome = history.call.parse_response(caller.get(entry, &path).await);
        let is_final = history.call.is_final(&outcome)
            || (!observed && matches!(&outcome, Outcome::Error(code, _) if code == "not_found"));
        is_final.then_some(outcome)
    })
    .await
}

async fn read_records(deployment: &Deployment) -> Records {
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
