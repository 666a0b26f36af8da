//! Arrival times, drawn from a seeded generator before the run starts.

use clap::Args;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MICROS_PER_SECOND: f64 = 1e6;

/// Arrival process.
#[derive(Debug, Clone, PartialEq, Args)]
pub struct ArrivalSettings {
    /// Mean rate of the Poisson arrivals, in requests per second.
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Interval between bursts, in seconds; 0 for no bursts.
    #[arg(long, default_value_t = 0.0)]
    pub burst_every_s: f64,
    /// Simultaneous requests per burst.
    #[arg(long, default_value_t = 10)]
    pub burst_size: u32,
    /// Length of the run, in seconds.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Maximum number of requests.
    #[arg(long, default_value_t = 1_000_000)]
    pub requests: usize,
    /// Number of callers that the requests are spread over.
    #[arg(long, default_value_t = 16)]
    pub callers: u32,
    /// Every n-th request is sent twice at the same time, to two addresses; 0 for none.
    #[arg(long, default_value_t = 0)]
    pub twice_every: u64,
}

/// A planned request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Planned time, in microseconds from the start of the run.
    pub at_us: u64,
    /// Index of the caller.
    pub caller: u32,
    /// Random number that selects the shared prefix.
    pub prefix: u32,
    /// Position in the run; a duplicate has the number of the original.
    pub number: u64,
    /// Whether it is the duplicate of a request that is sent twice.
    pub duplicate: bool,
}

/// Draws all arrivals of a run, ordered by time.
#[must_use]
pub fn plan_arrivals(settings: &ArrivalSettings, seed: u64) -> Vec<Arrival> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let end_us = (settings.seconds * MICROS_PER_SECOND) as u64;
    let mut times = poisson_times(settings, end_us, &mut rng);
    times.extend(burst_times(settings, end_us));
    times.sort_unstable();
    times.truncate(settings.requests);
    let numbered = times.into_iter().zip(0..);
    let arrivals = numbered.map(|(at_us, number)| Arrival {
        at_us,
        caller: rng.random_range(0..settings.callers.max(1)),
        prefix: rng.random(),
        number,
        duplicate: false,
    });
    arrivals.flat_map(|arrival| with_duplicate(settings, arrival)).collect()
}

fn with_duplicate(settings: &ArrivalSettings, arrival: Arrival) -> impl Iterator<Item = Arrival> {
    let every = settings.twice_every;
    let is_duplicated = every > 0 && (arrival.number + 1).is_multiple_of(every);
    [arrival].into_iter().chain(is_duplicated.then_some(Arrival { duplicate: true, ..arrival }))
}

fn poisson_times(settings: &ArrivalSettings, end_us: u64, rng: &mut Pcg64Mcg) -> Vec<u64> {
    let mut times = Vec::new();
    if settings.rate <= 0.0 {
        return times;
    }
    let mut at_us = 0.0;
    while times.len() < settings.requests {
        let uniform: f64 = rng.random();
        at_us -= (1.0 - uniform).ln() / settings.rate * MICROS_PER_SECOND;
        if at_us >= end_us as f64 {
            break;
        }
        times.push(at_us as u64);
    }
    times
}

fn burst_times(settings: &ArrivalSettings, end_us: u64) -> Vec<u64> {
    let interval_us = (settings.burst_every_s * MICROS_PER_SECOND) as u64;
    if interval_us == 0 {
        return Vec::new();
    }
    let starts = (1..).map(|count| count * interval_us).take_while(|start| *start < end_us);
    let times = starts.flat_map(|start| (0..settings.burst_size).map(move |_| start));
    times.take(settings.requests).collect()
}
