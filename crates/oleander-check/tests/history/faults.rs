//! Seeded schedule of faults.

use std::time::Duration;

use oleander_check::Deployment;
use rand::{Rng, rngs::SmallRng};
use serde_json::json;

const MIN_FAULT_MS: u64 = 500;
const MAX_FAULT_MS: u64 = 1_500;
/// Longer than any lease or heartbeat timeout.
const PAUSE_DURATION: Duration = Duration::from_secs(3);
/// Time between two rounds of faults.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);

/// Injected fault, with the index of the affected process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// An entry is killed and restarted.
    Kill(usize),
    /// An entry is paused with SIGSTOP for longer than any lease.
    Pause(usize),
    /// The platform refuses all requests.
    PlatformDown,
    /// The platform does not respond.
    PlatformSilent,
    /// The platform responds late.
    PlatformSlow,
    /// The platform carries out writes but does not respond to them.
    SilentWrite,
    /// An engine cuts its streams.
    CutStreams(usize),
    /// An engine responds with the tokens of another request.
    MixUp(usize),
    /// An engine generates no tokens.
    Freeze(usize),
    /// An engine responds with status 500.
    Fail(usize),
    /// The plain service runs calls and then cuts the connection.
    DropResponses,
}

impl Fault {
    fn random(rng: &mut SmallRng) -> Self {
        let index = rng.random_range(0..3);
        match rng.random_range(0..11) {
            0 => Self::Kill(index),
            1 => Self::Pause(index),
            2 => Self::PlatformDown,
            3 => Self::PlatformSilent,
            4 => Self::PlatformSlow,
            5 => Self::SilentWrite,
            6 => Self::CutStreams(index),
            7 => Self::MixUp(index),
            8 => Self::Freeze(index),
            9 => Self::Fail(index),
            _ => Self::DropResponses,
        }
    }

    /// Process that the fault affects; simultaneous faults must affect different ones.
    fn affected_process(self) -> String {
        match self {
            Self::Kill(n) | Self::Pause(n) => format!("entry {n}"),
            Self::CutStreams(n) | Self::MixUp(n) | Self::Freeze(n) | Self::Fail(n) => {
                format!("engine {n}")
            }
            Self::DropResponses => "service".to_owned(),
            _ => "platform".to_owned(),
        }
    }

    async fn start(self, deployment: &mut Deployment) {
        match self {
            Self::Kill(n) => deployment.entries[n].kill().await,
            Self::Pause(n) => deployment.entries[n].signal("STOP").await,
            Self::PlatformDown => deployment.set_platform_faults(&json!({"down": true})).await,
            Self::PlatformSilent => deployment.set_platform_faults(&json!({"silent": true})).await,
            Self::PlatformSlow => deployment.set_platform_faults(&json!({"delay_ms": 300})).await,
            Self::SilentWrite => deployment.set_platform_faults(&json!({"lose_answers": 10})).await,
            Self::CutStreams(n) => {
                deployment.set_engine_faults(n, &json!({"break_after_tokens": 5})).await;
            }
            Self::MixUp(n) => deployment.set_engine_faults(n, &json!({"cross_ids": true})).await,
            Self::Freeze(n) => deployment.set_engine_faults(n, &json!({"freeze": true})).await,
            Self::Fail(n) => deployment.set_engine_faults(n, &json!({"fail_status": 500})).await,
            Self::DropResponses => deployment.set_service_faults(&json!({"drop_answer": 5})).await,
        }
    }

    async fn end(self, deployment: &mut Deployment) {
        match self {
            Self::Kill(n) => deployment.entries[n].restart(),
            Self::Pause(n) => deployment.entries[n].signal("CONT").await,
            Self::CutStreams(n) | Self::MixUp(n) | Self::Freeze(n) | Self::Fail(n) => {
                deployment.set_engine_faults(n, &json!({})).await;
            }
            Self::DropResponses => deployment.set_service_faults(&json!({})).await,
            _ => deployment.set_platform_faults(&json!({})).await,
        }
    }
}

/// Injects `rounds` rounds of one or two simultaneous faults; ends each round before the next.
pub(crate) async fn inject(
    deployment: &mut Deployment,
    rounds: usize,
    rng: &mut SmallRng,
) -> Vec<Fault> {
    let mut injected = Vec::new();
    for _ in 0..rounds {
        let faults = random_round(rng);
        let mut length = Duration::from_millis(rng.random_range(MIN_FAULT_MS..MAX_FAULT_MS));
        if faults.iter().any(|fault| matches!(fault, Fault::Pause(_))) {
            length = PAUSE_DURATION;
        }
        for fault in &faults {
            fault.start(deployment).await;
        }
        tokio::time::sleep(length).await;
        for fault in &faults {
            fault.end(deployment).await;
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
        injected.extend(faults);
    }
    injected
}

fn random_round(rng: &mut SmallRng) -> Vec<Fault> {
    let mut faults = vec![Fault::random(rng)];
    while faults.len() < 2 && rng.random_bool(0.6) {
        let second = Fault::random(rng);
        if second.affected_process() != faults[0].affected_process() {
            faults.push(second);
        }
    }
    faults
}
