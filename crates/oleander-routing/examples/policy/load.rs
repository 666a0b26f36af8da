//! Online arrivals and the sizes of requests and items.

use oleander_core::{Span, Time};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Requests of a burst, and their spacing.
const BURST: usize = 40;
const BURST_STEP: Span = Span(250);

/// One online request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at: Time,
    pub(crate) host: usize,
    pub(crate) prompt: u32,
    pub(crate) length: u32,
    pub(crate) burst: bool,
}

/// Mean lengths, in tokens.
pub(crate) const ONLINE_LENGTH: u32 = 100;
pub(crate) const BATCH_LENGTH: u32 = 200;
pub(crate) const PROMPT: u32 = 400;

/// A length between half and one and a half of the mean.
pub(crate) fn around(rng: &mut Pcg64Mcg, mean: u32) -> u32 {
    rng.random_range(mean / 2..=mean * 3 / 2)
}

/// Poisson arrivals at `rate` a second until `end`, with a burst at one host every `every`.
pub(crate) fn arrivals(
    rng: &mut Pcg64Mcg,
    hosts: usize,
    rate: f64,
    every: Option<Span>,
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
    let mut start = every.map_or(end, |every| Time(0) + every);
    while start < end {
        let host = rng.random_range(0..hosts);
        for index in 0..BURST {
            let at = start + BURST_STEP * index as u64;
            all.push(arrival(rng, at, host, index == 0));
        }
        start = start + every.unwrap_or_default();
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn arrival(rng: &mut Pcg64Mcg, at: Time, host: usize, burst: bool) -> Arrival {
    let prompt = around(rng, PROMPT);
    let length = around(rng, ONLINE_LENGTH);
    Arrival { at, host, prompt, length, burst }
}
