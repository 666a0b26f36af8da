//! The seeded schedule of faults.

use std::time::Duration;

use oleander_check::Deployment;
use rand::{Rng, rngs::SmallRng};
use serde_json::json;

const SHORTEST_FAULT_MS: u64 = 500;
const LONGEST_FAULT_MS: u64 = 1_500;
/// Longer than any lease or time without a heartbeat.
const PAUSE: Duration = Duration::from_secs(3);
/// Time between two faults.
const CALM: Duration = Duration::from_millis(400);

/// One fault; numbers name the process it befalls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// An entry is killed and started again.
    Kill(usize),
    /// An entry is stopped by SIGSTOP past each lease.
    Pause(usize),
    /// The platform refuses everything.
    PlatformDown,
    /// The platform does not respond.
    PlatformSilent,
    /// The platform responds late.
    PlatformSlow,
    /// Writes take effect and their responses are lost.
    LostAnswers,
    /// An engine cuts its streams.
    Break(usize),
    /// An engine responds with the tokens of another request.
    Cross(usize),
    /// An engine makes no steps.
    Freeze(usize),
    /// An engine responds with status 500.
    Status(usize),
    /// The plain service runs calls and cuts the connection.
    DropAnswers,
}

impl Fault {
    fn draw(rng: &mut SmallRng) -> Self {
        let which = rng.random_range(0..3);
        match rng.random_range(0..11) {
            0 => Self::Kill(which),
            1 => Self::Pause(which),
            2 => Self::PlatformDown,
            3 => Self::PlatformSilent,
            4 => Self::PlatformSlow,
            5 => Self::LostAnswers,
            6 => Self::Break(which),
            7 => Self::Cross(which),
            8 => Self::Freeze(which),
            9 => Self::Status(which),
            _ => Self::DropAnswers,
        }
    }

    /// Which process it befalls; two faults at once need two.
    fn place(self) -> String {
        match self {
            Self::Kill(n) | Self::Pause(n) => format!("entry {n}"),
            Self::Break(n) | Self::Cross(n) | Self::Freeze(n) | Self::Status(n) => {
                format!("engine {n}")
            }
            Self::DropAnswers => "service".to_owned(),
            _ => "platform".to_owned(),
        }
    }

    async fn begin(self, deployment: &mut Deployment) {
        match self {
            Self::Kill(n) => deployment.entries[n].kill().await,
            Self::Pause(n) => deployment.entries[n].signal("STOP").await,
            Self::PlatformDown => deployment.set_platform_faults(&json!({"down": true})).await,
            Self::PlatformSilent => deployment.set_platform_faults(&json!({"silent": true})).await,
            Self::PlatformSlow => deployment.set_platform_faults(&json!({"delay_ms": 300})).await,
            Self::LostAnswers => deployment.set_platform_faults(&json!({"lose_answers": 10})).await,
            Self::Break(n) => {
                deployment.set_engine_faults(n, &json!({"break_after_tokens": 5})).await
            }
            Self::Cross(n) => deployment.set_engine_faults(n, &json!({"cross_ids": true})).await,
            Self::Freeze(n) => deployment.set_engine_faults(n, &json!({"freeze": true})).await,
            Self::Status(n) => deployment.set_engine_faults(n, &json!({"fail_status": 500})).await,
            Self::DropAnswers => deployment.set_service_faults(&json!({"drop_answer": 5})).await,
        }
    }

    async fn end(self, deployment: &mut Deployment) {
        match self {
            Self::Kill(n) => deployment.entries[n].restart(),
            Self::Pause(n) => deployment.entries[n].signal("CONT").await,
            Self::Break(n) | Self::Cross(n) | Self::Freeze(n) | Self::Status(n) => {
                deployment.set_engine_faults(n, &json!({})).await;
            }
            Self::DropAnswers => deployment.set_service_faults(&json!({})).await,
            _ => deployment.set_platform_faults(&json!({})).await,
        }
    }
}

/// Lets `rounds` faults and pairs of faults happen one after another; all are healed at the end.
pub(crate) async fn inject(
    deployment: &mut Deployment,
    rounds: usize,
    rng: &mut SmallRng,
) -> Vec<Fault> {
    let mut injected = Vec::new();
    for _ in 0..rounds {
        let faults = draw_round(rng);
        let mut length =
            Duration::from_millis(rng.random_range(SHORTEST_FAULT_MS..LONGEST_FAULT_MS));
        if faults.iter().any(|fault| matches!(fault, Fault::Pause(_))) {
            length = PAUSE;
        }
        for fault in &faults {
            fault.begin(deployment).await;
        }
        tokio::time::sleep(length).await;
        for fault in &faults {
            fault.end(deployment).await;
        }
        tokio::time::sleep(CALM).await;
        injected.extend(faults);
    }
    injected
}

fn draw_round(rng: &mut SmallRng) -> Vec<Fault> {
    let mut faults = vec![Fault::draw(rng)];
    while faults.len() < 2 && rng.random_bool(0.6) {
        let second = Fault::draw(rng);
        if second.place() != faults[0].place() {
            faults.push(second);
        }
    }
    faults
}
