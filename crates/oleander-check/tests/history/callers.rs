//! Concurrent callers that send and resend calls and record each observation.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use oleander_check::Caller;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::call::{Call, Observation, Outcome};

const ENTRIES: usize = 3;
const RESEND_INTERVAL: Duration = Duration::from_millis(100);
const MAX_PAUSE_MS: u64 = 40;
/// Maximum time until each call has a final outcome once all faults have ended.
const FINAL_TIMEOUT: Duration = Duration::from_secs(30);

/// State shared by all callers.
#[derive(Debug, Clone)]
pub(crate) struct Shared {
    /// Client of the entries.
    pub(crate) caller: Caller,
    /// Set when all faults have ended.
    pub(crate) faults_ended: Arc<AtomicBool>,
    /// All observations in order of arrival.
    pub(crate) observations: Arc<Mutex<Vec<Observation>>>,
}

/// Sends calls one after another until all faults have ended.
pub(crate) async fn run(shared: Shared, name: usize, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(name as u64));
    let mut number = 0;
    while !shared.faults_ended.load(Ordering::Relaxed) {
        let call = Call::random(format!("c{name}-{number}"), &mut rng);
        send_until_final(&shared, &call, &mut rng).await;
        number += 1;
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
    }
}

/// Sends a call to one entry after another until its outcome is final or its caller gives up.
async fn send_until_final(shared: &Shared, call: &Call, rng: &mut SmallRng) {
    let mut entry = rng.random_range(0..ENTRIES);
    let mut ended_at = None;
    loop {
        let copies = if rng.random_bool(0.25) { 2 } else { 1 };
        let sends = (0..copies).map(|n| send(shared, call, (entry + n) % ENTRIES));
        let outcomes = join_all(sends).await;
        if outcomes.iter().any(|outcome| call.is_final(outcome)) {
            return;
        }
        let refused = |outcome: &Outcome| matches!(outcome, Outcome::Error(_, ran) if ran == "no");
        if call.gives_up && outcomes.iter().all(refused) {
            return;
        }
        if shared.faults_ended.load(Ordering::Relaxed) {
            let ended_at = *ended_at.get_or_insert_with(Instant::now);
            assert!(
                ended_at.elapsed() < FINAL_TIMEOUT,
                "{} has no final outcome: {outcomes:?}",
                call.key
            );
        }
        entry = (entry + 1) % ENTRIES;
        tokio::time::sleep(RESEND_INTERVAL).await;
    }
}

async fn send(shared: &Shared, call: &Call, entry: usize) -> Outcome {
    let response = shared.caller.post(entry, call.path(), &call.key, &call.body()).await;
    let outcome = call.parse_response(response);
    let observation = Observation { call: call.clone(), outcome: outcome.clone() };
    shared.observations.lock().unwrap().push(observation);
    outcome
}
