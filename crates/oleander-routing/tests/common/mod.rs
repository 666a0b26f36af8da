//! Builders and a driver of random event sequences, shared by the tests.
#![allow(dead_code, clippy::unwrap_used)]

use oleander_core::{HostId, Span, TargetId, Time, ZoneId};
use oleander_routing::{
    Decision, Failure, LeaseId, Observation, Pick, Router, RouterConfig, Target,
};
use quickcheck::{Gen, QuickCheck};

/// Seed of the properties; `OLEANDER_SEED` replaces it.
const SEED: u64 = 1;
/// Largest size of generated values, as quickcheck defines it.
const SIZE: usize = 100;

/// Returns a checker with a fixed seed, so that all runs check the same cases.
pub(crate) fn checker() -> QuickCheck {
    let seed = std::env::var("OLEANDER_SEED").map_or(SEED, |text| text.parse().unwrap());
    QuickCheck::new().rng(Gen::from_size_and_seed(SIZE, seed))
}

/// Declares quickcheck properties that are checked with a fixed seed.
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

pub(crate) fn target_id(index: usize) -> TargetId {
    format!("engine-{index:02}").parse().unwrap()
}

/// Settings without an interval between the starts of batch items.
pub(crate) fn config(index: usize) -> RouterConfig {
    RouterConfig::new(host(index), zone()).start_interval(Span::ZERO)
}

pub(crate) fn targets(count: usize, limit: u32, reserve: u32) -> Vec<Target> {
    let target = |index| Target { name: target_id(index), zone: zone(), limit, reserve };
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

/// The target, lease and number of yields of a request that was sent.
pub(crate) fn sent(decision: Decision) -> Option<(TargetId, LeaseId, u32)> {
    match decision {
        Decision::Send { target, lease, yields } => Some((target, lease, yields)),
        Decision::Wait | Decision::Refuse { .. } => None,
    }
}

pub(crate) fn pick_online(router: &mut Router, now: Time) -> Decision {
    let ticket = router.ticket();
    router.pick(now, &Pick::online(ticket))
}

/// Starts batch items until no more fit and returns their leases.
pub(crate) fn fill_batch(router: &mut Router, now: Time) -> Vec<(TargetId, LeaseId)> {
    let mut leases = Vec::new();
    while let Some((target, lease, _)) = sent(router.pick(now, &Pick::batch())) {
        leases.push((target, lease));
    }
    leases
}

/// One random step, as plain numbers that quickcheck can generate.
pub(crate) type Step = (u8, u8, u16);

/// Applies random steps to a router and keeps its open leases.
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

    /// Applies one step; returns what was sent in it.
    pub(crate) fn step(
        &mut self,
        (kind, lease_index, elapsed_us): Step,
    ) -> Option<(Pick, TargetId, u32)> {
        self.now = self.now + Span(u64::from(elapsed_us));
        match kind % 8 {
            0..=2 => {
                let ticket = self.router.ticket();
                self.pick(Pick::online(ticket))
            }
            3..=4 => self.pick(Pick::batch()),
            5 => {
                self.end(lease_index, Observation::Done);
                None
            }
            6 => {
                self.end(lease_index, Observation::Failed(Failure::Connect));
                None
            }
            _ => {
                self.end(lease_index, Observation::Cancelled);
                None
            }
        }
    }

    fn pick(&mut self, pick: Pick) -> Option<(Pick, TargetId, u32)> {
        let (target, lease, yields) = sent(self.router.pick(self.now, &pick))?;
        self.open.push((target.clone(), lease));
        Some((pick, target, yields))
    }

    fn end(&mut self, lease_index: u8, outcome: Observation) {
        if self.open.is_empty() {
            return;
        }
        let (_, lease) = self.open.swap_remove(usize::from(lease_index) % self.open.len());
        self.router.observe(self.now, lease, outcome);
    }
}
