//! Arrivals drawn from a seed before the run begins.

use clap::Args;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MICROS_PER_SECOND: f64 = 1e6;

/// When requests arrive.
#[derive(Debug, Clone, PartialEq, Args)]
pub struct ArrivalSettings {
    /// Mean of the Poisson arrivals, in requests per second.
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Time from one burst to the next, in seconds; 0 for no bursts.
    #[arg(long, default_value_t = 0.0)]
    pub burst_every_s: f64,
    /// Requests that arrive at once in each burst.
    #[arg(long, default_value_t = 10)]
    pub burst_size: u32,
    /// Length of the run, in seconds.
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Most requests of the run.
    #[arg(long, default_value_t = 1_000_000)]
    pub requests: usize,
    /// Callers that the requests come from.
    #[arg(long, default_value_t = 16)]
    pub callers: u32,
    /// One of so many requests is sent twice at once, by two addresses; 0 for none.
    #[arg(long, default_value_t = 0)]
    pub twice_every: u64,
}

/// One request to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// When, in microseconds from the start.
    pub at_us: u64,
    /// Which caller sends it.
    pub caller: u32,
    /// Number that picks its shared prefix.
    pub prefix: u32,
    /// Its position in the run; a request that is sent twice has one.
    pub number: u64,
    /// Whether it is the second copy of a request that is sent twice.
    pub copy: bool,
}

/// Draws all arrivals of a run, in order of time.
#[must_use]
pub fn plan(settings: &ArrivalSettings, seed: u64) -> Vec<Arrival> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let end = (settings.seconds * MICROS_PER_SECOND) as u64;
    let mut times = poisson_times(settings, end, &mut rng);
    times.extend(burst_times(settings, end));
    times.sort_unstable();
    times.truncate(settings.requests);
    let numbered = times.into_iter().zip(0..);
    let arrivals = numbered.map(|(at_us, number)| Arrival {
        at_us,
        caller: rng.random_range(0..settings.callers.max(1)),
        prefix: rng.random(),
        number,
        copy: false,
    });
    arrivals.flat_map(|arrival| copies(settings, arrival)).collect()
}

fn copies(settings: &ArrivalSettings, arrival: Arrival) -> impl Iterator<Item = Arrival> {
    let every = settings.twice_every;
    let twice = every > 0 && (arrival.number + 1).is_multiple_of(every);
    [arrival].into_iter().chain(twice.then_some(Arrival { copy: true, ..arrival }))
}

fn poisson_times(settings: &ArrivalSettings, end: u64, rng: &mut Pcg64Mcg) -> Vec<u64> {
    let mut times = Vec::new();
    if settings.rate <= 0.0 {
        return times;
    }
    let mut at = 0.0;
    while times.len() < settings.requests {
        let uniform: f64 = rng.random();
        at -= (1.0 - uniform).ln() / settings.rate * MICROS_PER_SECOND;
        if at >= end as f64 {
            break;
        }
        times.push(at as u64);
    }
    times
}

fn burst_times(settings: &ArrivalSettings, end: u64) -> Vec<u64> {
    let every = (settings.burst_every_s * MICROS_PER_SECOND) as u64;
    if every == 0 {
        return Vec::new();
    }
    let starts = (1..).map(|count| count * every).take_while(|start| *start < end);
    let times = starts.flat_map(|start| (0..settings.burst_size).map(move |_| start));
    times.take(settings.requests).collect()
}
