//! Time per router call of one streamed request, by number of targets.

#![allow(clippy::print_stdout, reason = "prints its measurements")]

use std::time::Instant;

use oleander_core::{Span, Time, Tokens};
use oleander_routing::{Decision, Observation, Pick, Router, RouterConfig, Target};

const REQUESTS: u32 = 2_000;
const TOKENS_PER_REQUEST: u32 = 40;

fn main() {
    for targets in [3, 12, 20, 60, 200] {
        let config = RouterConfig::new("h".parse().expect("id"), "z".parse().expect("id"));
        let mut router = Router::new(config, 1);
        let target = |n| Target {
            name: format!("t{n}").parse().expect("id"),
            zone: "z".parse().expect("id"),
            limit: 16,
            reserve: 4,
        };
        router.set_targets((0..targets).map(target).collect());
        let mut now = Time(1_000_000_000);
        let (mut pick_nanos, mut observe_nanos) = (0, 0);
        for _ in 0..REQUESTS {
            now = now + Span::from_millis(1);
            let ticket = router.ticket();
            let start = Instant::now();
            let decision = router.pick(now, &Pick::online(ticket));
            pick_nanos += start.elapsed().as_nanos();
            let Decision::Send { lease, .. } = decision else { continue };
            let start = Instant::now();
            router.observe(now, lease, Observation::FirstOutput);
            for _ in 0..TOKENS_PER_REQUEST {
                now = now + Span::from_millis(10);
                router.observe(now, lease, Observation::Output { tokens: Tokens(1) });
            }
            router.observe(now, lease, Observation::Done);
            observe_nanos += start.elapsed().as_nanos();
        }
        let (requests, tokens) = (u128::from(REQUESTS), u128::from(REQUESTS * TOKENS_PER_REQUEST));
        let (pick, token) = (pick_nanos / requests, observe_nanos / tokens);
        println!("targets {targets:4}  pick {pick:6} ns  token {token:6} ns");
    }
}
