//! Arrivals of online requests, and the lengths of requests and batch items.

use oleander_core::{Span, Time};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Number of requests in a burst.
const BURST_REQUESTS: usize = 40;
/// Time between two requests of a burst.
const BURST_SPACING: Span = Span(250);

/// Arrival of one online request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at: Time,
    pub(crate) host: usize,
    pub(crate) prompt: u32,
    pub(crate) length: u32,
    /// Whether this is the first request of a burst.
    pub(crate) starts_burst: bool,
}

/// Mean output length of an online request, in tokens.
pub(crate) const ONLINE_LENGTH: u32 = 100;
/// Mean output length of a batch item, in tokens.
pub(crate) const BATCH_LENGTH: u32 = 200;
/// Mean prompt length, in tokens.
pub(crate) const PROMPT_LENGTH: u32 = 400;

/// A random length between half and one and a half times the mean.
pub(crate) fn random_length(rng: &mut Pcg64Mcg, mean: u32) -> u32 {
    rng.random_range(mean / 2..=mean * 3 / 2)
}

/// Poisson arrivals at `rate` per second until `end`, with a burst at one host every
/// `burst_interval`.
pub(crate) fn arrivals(
    rng: &mut Pcg64Mcg,
    hosts: usize,
    rate: f64,
    burst_interval: Option<Span>,
    end: Time,
) -> Vec<Arrival> {
    let mut all = Vec::new();
    let mut at = Time(0);
    while rate > 0.0 && at < end {
        let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
        at = at + Span((gap * 1e6) as u64);
        let host = rng.random_range(0..hosts);
        all.push(arrival(rng, at, host, false));
    }
    let mut start = burst_interval.map_or(end, |interval| Time(0) + interval);
    while start < end {
        let host = rng.random_range(0..hosts);
        for index in 0..BURST_REQUESTS {
            let at = start + BURST_SPACING * index as u64;
            all.push(arrival(rng, at, host, index == 0));
        }
        start = start + burst_interval.unwrap_or_default();
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn arrival(rng: &mut Pcg64Mcg, at: Time, host: usize, starts_burst: bool) -> Arrival {
    let prompt = random_length(rng, PROMPT_LENGTH);
    let length = random_length(rng, ONLINE_LENGTH);
    Arrival { at, host, prompt, length, starts_burst }
}
