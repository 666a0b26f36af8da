//! Runs a plan of arrivals and adds up what came back.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    time::{Instant, sleep_until},
};

use crate::load::{
    call::Caller,
    report::Report,
    schedule::{Arrival, ArrivalSettings, plan},
    tally::{Ended, Tally, Targets},
};

/// What a run does.
#[derive(Debug)]
pub struct RunSettings {
    /// Name of the run in its report.
    pub label: String,
    /// When requests arrive.
    pub arrivals: ArrivalSettings,
    /// Latencies that a good answer keeps.
    pub targets: Targets,
    /// Most calls open at once; arrivals beyond are skipped.
    pub max_open: usize,
}

/// What happened to one arrival.
#[derive(Debug)]
enum Progress {
    Skipped,
    Ended(Ended),
}

/// A run in progress.
#[derive(Debug)]
struct Run {
    caller: Arc<Caller>,
    start: Instant,
    open: Arc<Semaphore>,
    progress: mpsc::UnboundedSender<Progress>,
}

/// Sends all planned calls and waits for their answers.
pub async fn run(settings: RunSettings, caller: Caller) -> Report {
    let arrivals = plan(&settings.arrivals, caller.seed);
    let report = Report {
        label: settings.label,
        seed: caller.seed,
        run_id: caller.run_id.clone(),
        window_us: window(&settings.arrivals, &arrivals),
        planned: arrivals.len() as u64,
        ..Report::default()
    };
    let mut tally = Tally::new(settings.targets, report);
    let (progress, mut received) = mpsc::unbounded_channel();
    let run = Run {
        caller: Arc::new(caller),
        start: Instant::now(),
        open: Arc::new(Semaphore::new(settings.max_open)),
        progress,
    };
    let collected = async {
        while let Some(progress) = received.recv().await {
            match progress {
                Progress::Skipped => tally.skip(),
                Progress::Ended(ended) => tally.add(ended),
            }
        }
    };
    tokio::join!(run.send_all(arrivals), collected);
    tally.report()
}

/// The planned length, or the last arrival if the number of requests ends the run before.
fn window(settings: &ArrivalSettings, arrivals: &[Arrival]) -> u64 {
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
            match self.open.clone().try_acquire_owned() {
                Ok(permit) => self.spawn_call(arrival, permit),
                Err(_) => self.tell(Progress::Skipped),
            }
        }
    }

    fn spawn_call(&self, arrival: Arrival, permit: OwnedSemaphorePermit) {
        let (caller, progress, start) = (self.caller.clone(), self.progress.clone(), self.start);
        tokio::spawn(async move {
            let sent_us = micros_since(start);
            let answer = caller.call(arrival).await;
            drop(permit);
            let ended_us = micros_since(start);
            let ended = Ended { planned_us: arrival.at_us, sent_us, ended_us, answer };
            // The receiver lives until the last sender is gone.
            let _ = progress.send(Progress::Ended(ended));
        });
    }

    fn tell(&self, progress: Progress) {
        // The receiver lives until the last sender is gone.
        let _ = self.progress.send(progress);
    }
}

fn micros_since(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}
