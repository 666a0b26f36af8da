//! Cost of the router's calls for one streamed request, as the number of targets grows.

#![allow(clippy::print_stdout, reason = "prints its figures")]

use std::time::Instant;

use oleander_core::{Span, Time, Tokens};
use oleander_routing::{Decision, Observation, Pick, Router, RouterConfig, Target};

const REQUESTS: u32 = 2_000;
const TOKENS: u32 = 40;

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
        let (mut pick_time, mut token_time) = (0, 0);
        for _ in 0..REQUESTS {
            now = now + Span::from_millis(1);
            let ticket = router.ticket();
            let start = Instant::now();
            let decision = router.pick(now, &Pick::online(ticket));
            pick_time += start.elapsed().as_nanos();
            let Decision::Send { lease, .. } = decision else { continue };
            let start = Instant::now();
            router.observe(now, lease, Observation::FirstOutput);
            for _ in 0..TOKENS {
                now = now + Span::from_millis(10);
                router.observe(now, lease, Observation::Output { tokens: Tokens(1) });
            }
            router.observe(now, lease, Observation::Done);
            token_time += start.elapsed().as_nanos();
        }
        let (requests, tokens) = (u128::from(REQUESTS), u128::from(REQUESTS * TOKENS));
        let (pick, token) = (pick_time / requests, token_time / tokens);
        println!("targets {targets:4}  pick {pick:6} ns  token {token:6} ns");
    }
}
