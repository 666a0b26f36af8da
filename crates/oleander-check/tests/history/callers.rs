//! Concurrent callers that send, resend, and write down each response.

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

use crate::call::{Call, Heard, Word};

const ENTRIES: usize = 3;
const RESEND_AFTER: Duration = Duration::from_millis(100);
const PAUSE_MS: u64 = 40;
/// Time without faults within which each call must be at its end.
const END_BOUND: Duration = Duration::from_secs(30);

/// What all callers share.
#[derive(Debug, Clone)]
pub(crate) struct Shared {
    /// The entries.
    pub(crate) caller: Caller,
    /// Set when all faults are healed.
    pub(crate) healed: Arc<AtomicBool>,
    /// All responses in order of their arrival.
    pub(crate) history: Arc<Mutex<Vec<Heard>>>,
}

/// Sends calls one after another until the faults are healed.
pub(crate) async fn run(shared: Shared, name: usize, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(name as u64));
    let mut number = 0;
    while !shared.healed.load(Ordering::Relaxed) {
        let call = Call::draw(format!("c{name}-{number}"), &mut rng);
        settle(&shared, &call, &mut rng).await;
        number += 1;
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..PAUSE_MS))).await;
    }
}

/// Sends a call again through other entries until it is at its end.
async fn settle(shared: &Shared, call: &Call, rng: &mut SmallRng) {
    let mut entry = rng.random_range(0..ENTRIES);
    let mut calm_since = None;
    loop {
        let copies = if rng.random_bool(0.25) { 2 } else { 1 };
        let sends = (0..copies).map(|n| send(shared, call, (entry + n) % ENTRIES));
        let words = join_all(sends).await;
        if words.iter().any(|word| call.is_final(word)) {
            return;
        }
        let refused = |word: &Word| matches!(word, Word::Refused(_, ran) if ran == "no");
        if call.impatient && words.iter().all(refused) {
            return;
        }
        if shared.healed.load(Ordering::Relaxed) {
            let since = *calm_since.get_or_insert_with(Instant::now);
            assert!(since.elapsed() < END_BOUND, "{} is not at its end: {words:?}", call.key);
        }
        entry = (entry + 1) % ENTRIES;
        tokio::time::sleep(RESEND_AFTER).await;
    }
}

async fn send(shared: &Shared, call: &Call, entry: usize) -> Word {
    let response = shared.caller.post(entry, call.path(), &call.key, &call.body()).await;
    let word = call.read(response);
    let heard = Heard { call: call.clone(), word: word.clone() };
    shared.history.lock().unwrap().push(heard);
    word
}
