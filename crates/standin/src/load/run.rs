//! Sends the planned arrivals and collects their results.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    time::{Instant, sleep_until},
};

use crate::load::{
    call::LoadClient,
    report::Report,
    schedule::{Arrival, ArrivalSettings, plan_arrivals},
    tally::{FinishedCall, LatencyObjectives, Tally},
};

/// Settings of a run.
#[derive(Debug)]
pub struct RunSettings {
    /// Name of the run in its report.
    pub label: String,
    /// Arrival process.
    pub arrivals: ArrivalSettings,
    /// Latency objectives of a good response.
    pub objectives: LatencyObjectives,
    /// Maximum open calls; arrivals beyond it are skipped.
    pub max_open: usize,
}

/// Result of one arrival.
#[derive(Debug)]
enum RunEvent {
    Skipped,
    Finished(FinishedCall),
}

/// A run in progress.
#[derive(Debug)]
struct Run {
    client: Arc<LoadClient>,
    start: Instant,
    open_calls: Arc<Semaphore>,
    events: mpsc::UnboundedSender<RunEvent>,
}

/// Sends all planned calls and waits until each has ended.
pub async fn run(settings: RunSettings, client: LoadClient) -> Report {
    let arrivals = plan_arrivals(&settings.arrivals, client.seed);
    let report = Report {
        label: settings.label,
        seed: client.seed,
        run_id: client.run_id.clone(),
        window_us: window_us(&settings.arrivals, &arrivals),
        planned: arrivals.len() as u64,
        ..Report::default()
    };
    let mut tally = Tally::new(settings.objectives, report);
    let (events, mut receiver) = mpsc::unbounded_channel();
    let run = Run {
        client: Arc::new(client),
        start: Instant::now(),
        open_calls: Arc::new(Semaphore::new(settings.max_open)),
        events,
    };
    let collect = async {
        while let Some(event) = receiver.recv().await {
            match event {
                RunEvent::Skipped => tally.record_skipped(),
                RunEvent::Finished(call) => tally.record_call(call),
            }
        }
    };
    tokio::join!(run.send_all(arrivals), collect);
    tally.report()
}

/// The configured length, or the last arrival if the request limit ends the run earlier.
fn window_us(settings: &ArrivalSettings, arrivals: &[Arrival]) -> u64 {
    let planned = u64::try_from(Duration::from_secs_f64(settings.seconds).as_micros());
    let planned = planned.unwrap_or(u64::MAX);
    if arrivals.len() < settings.requests {
        return planned;
    }
    arrivals.last().map_or(planned, |last| last.at_us)
}

impl Run {
    async fn send_all(self, arrivals: Vec<Arrival>) {
        for arrival in arrivals {
            sleep_until(self.start + Duration::from_micros(arrival.at_us)).await;
            match self.open_calls.clone().try_acquire_owned() {
                Ok(permit) => self.spawn_call(arrival, permit),
                Err(_) => self.send_event(RunEvent::Skipped),
            }
        }
    }

    fn spawn_call(&self, arrival: Arrival, permit: OwnedSemaphorePermit) {
        let (client, events, start) = (self.client.clone(), self.events.clone(), self.start);
        tokio::spawn(async move {
            let sent_us = micros_since(start);
            let result = client.call(arrival).await;
            drop(permit);
            let ended_us = micros_since(start);
            let call = FinishedCall { planned_us: arrival.at_us, sent_us, ended_us, result };
            // The receiver outlives all senders.
            let _ = events.send(RunEvent::Finished(call));
        });
    }

    fn send_event(&self, event: RunEvent) {
        // The receiver outlives all senders.
        let _ = self.events.send(event);
    }
}

fn micros_since(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}
