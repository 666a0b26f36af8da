//! Builders and a driver of random event sequences for the tests.
#![allow(dead_code, clippy::unwrap_used)]

use oleander_core::{HostId, Span, TargetId, Time, ZoneId};
use oleander_routing::{
    Decision, Failure, LeaseId, Observation, Pick, Router, RouterConfig, Target,
};
use quickcheck::{Gen, QuickCheck};

/// Seed of the properties unless `OLEANDER_SEED` names another.
const SEED: u64 = 1;
/// Size of the drawn values.
const SIZE: usize = 100;

/// Draws from a fixed seed, so that each run has the same verdict.
pub(crate) fn checker() -> QuickCheck {
    let seed = std::env::var("OLEANDER_SEED").map_or(SEED, |text| text.parse().unwrap());
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, seed))
}

/// Declares quickcheck properties that draw from a fixed seed.
macro_rules! properties {
    ($($(#[$meta:meta])* fn $name:ident($($arg:ident: $type:ty),* $(,)?) -> bool $body:block)+) => {
        $(
            #[test]
            $(#[$meta])*
            fn $name() {
                fn property($($arg: $type),*) -> bool $body
                common::checker().quickcheck(property as fn($($type),*) -> bool);
            }
        )+
    };
}
pub(crate) use properties;

pub(crate) fn zone() -> ZoneId {
    "junin".parse().unwrap()
}

pub(crate) fn host(index: usize) -> HostId {
    format!("host-{index}").parse().unwrap()
}

pub(crate) fn name(index: usize) -> TargetId {
    format!("engine-{index:02}").parse().unwrap()
}

/// Settings that let a host start any number of batch items at once.
pub(crate) fn config(index: usize) -> RouterConfig {
    RouterConfig::new(host(index), zone()).start_interval(Span::ZERO)
}

pub(crate) fn targets(count: usize, limit: u32, reserve: u32) -> Vec<Target> {
    let target = |index| Target { name: name(index), zone: zone(), limit, reserve };
    (0..count).map(target).collect()
}

pub(crate) fn router(index: usize, count: usize, limit: u32, reserve: u32) -> Router {
    let mut router = Router::new(config(index), index as u64);
    router.set_targets(targets(count, limit, reserve));
    router
}

pub(crate) const fn millis(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1_000)
}

pub(crate) fn send(decision: Decision) -> Option<(TargetId, LeaseId, u32)> {
    match decision {
        Decision::Send { target, lease, yields } => Some((target, lease, yields)),
        Decision::Wait | Decision::Refuse { .. } => None,
    }
}

pub(crate) fn online(router: &mut Router, now: Time) -> Decision {
    let ticket = router.ticket();
    router.pick(now, &Pick::online(ticket))
}

/// Fills all room for batch and returns the leases.
pub(crate) fn fill_batch(router: &mut Router, now: Time) -> Vec<(TargetId, LeaseId)> {
    let mut leases = Vec::new();
    while let Some((target, lease, _)) = send(router.pick(now, &Pick::batch())) {
        leases.push((target, lease));
    }
    leases
}

/// One random step; drawn by quickcheck as plain numbers.
pub(crate) type Step = (u8, u8, u16);

/// A router driven by random steps, with its open leases.
pub(crate) struct Driver {
    pub(crate) router: Router,
    pub(crate) now: Time,
    pub(crate) open: Vec<(TargetId, LeaseId)>,
    pub(crate) sent: Vec<(Pick, TargetId, u32)>,
}

impl Driver {
    pub(crate) fn new(router: Router) -> Self {
        Self { router, now: millis(0), open: Vec::new(), sent: Vec::new() }
    }

    /// Takes one step; returns what was sent in it.
    pub(crate) fn step(&mut self, (kind, which, amount): Step) -> Option<(Pick, TargetId, u32)> {
        self.now = self.now + Span(u64::from(amount));
        match kind % 8 {
            0..=2 => {
                let ticket = self.router.ticket();
                self.pick(Pick::online(ticket))
            }
            3..=4 => self.pick(Pick::batch()),
            5 => {
                self.end(which, Observation::Done);
                None
            }
            6 => {
                self.end(which, Observation::Failed(Failure::Connect));
                None
            }
            _ => {
                self.end(which, Observation::Cancelled);
                None
            }
        }
    }

    fn pick(&mut self, pick: Pick) -> Option<(Pick, TargetId, u32)> {
        let (target, lease, yields) = send(self.router.pick(self.now, &pick))?;
        self.open.push((target.clone(), lease));
        Some((pick, target, yields))
    }

    fn end(&mut self, which: u8, outcome: Observation) {
        if self.open.is_empty() {
            return;
        }
        let (_, lease) = self.open.swap_remove(usize::from(which) % self.open.len());
        self.router.observe(self.now, lease, outcome);
    }
}
