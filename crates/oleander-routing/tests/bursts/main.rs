//! Simulation of many hosts that share targets with a few slots each, while online load bursts
//! every few seconds and batch uses the remaining slots. The users' large sites have such a load.

#![allow(clippy::unwrap_used)]

mod simulation;

use oleander_core::Span;

use simulation::{BURST, FIRST_OUTPUT_OBJECTIVE, Load, SLOTS, STEP};

#[test]
fn a_burst_within_the_capacity_is_served_in_time() {
    for seed in 1..=3 {
        let outcome = Load::new(17, 18, 0.85).run(seed);
        assert!(outcome.share_within_objective() >= 0.95, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn batch_uses_most_of_the_remaining_slots() {
    for seed in 1..=3 {
        let outcome = Load::new(17, 18, 0.85).run(seed);
        let slots = (18 * SLOTS) as f64;
        let remaining = slots * (1.0 - 0.85 / BURST.1);
        assert!(outcome.batch_slots >= remaining * 0.7, "seed {seed}: {outcome:?} of {remaining}");
    }
}

/// The slots that a reserve keeps free stand idle in and between bursts; online requests are in time
/// without it, since items yield to them at once.
#[test]
fn batch_without_a_reserve_uses_the_slots_that_online_leaves() {
    for seed in 1..=3 {
        let load = Load::new(9, 18, 0.85);
        let reserved = Load { reserve: 1, ..load }.run(seed);
        let outcome = load.run(seed);
        assert!(outcome.share_within_objective() >= 0.95, "seed {seed}: {outcome:?}");
        let gained = outcome.batch_slots - reserved.batch_slots;
        assert!(gained >= 0.7 * 18.0, "seed {seed}: {outcome:?}, with a reserve {reserved:?}");
    }
}

/// The bursts exceed the capacity of all slots. Requests that can't be served are refused early,
/// and most callers that retry after the given time are served.
#[test]
fn a_burst_beyond_the_capacity_is_refused_early_with_a_valid_retry_time() {
    for seed in 1..=3 {
        let outcome = Load::new(17, 18, 1.3).run(seed);
        assert!(outcome.refused > 0, "seed {seed}: {outcome:?}");
        assert!(
            outcome.max_refused_wait <= FIRST_OUTPUT_OBJECTIVE + STEP,
            "seed {seed}: {outcome:?}"
        );
        let refusals = f64::from(outcome.refused + outcome.retries_refused);
        assert!(f64::from(outcome.refused_early) >= 0.7 * refusals, "seed {seed}: {outcome:?}");
        let refused_again = f64::from(outcome.retries_refused) / f64::from(outcome.retries);
        assert!(refused_again <= 0.5, "seed {seed}: {outcome:?}");
    }
}

/// The bursts exceed the capacity of all slots, and callers wait for longer than the objective.
/// Nearly all are served, most of them in time: those that are late wait until the burst is over,
/// so that they don't make the ones behind them late too.
#[test]
fn a_burst_beyond_the_capacity_is_served_late_rather_than_refused() {
    for seed in 1..=3 {
        let load = Load { patience: Span::from_millis(2_900), ..Load::new(9, 18, 1.3) };
        let outcome = load.run(seed);
        // The last ones still wait when the simulation ends.
        let served = f64::from(outcome.served) / f64::from(outcome.requests);
        let refused = f64::from(outcome.refused) / f64::from(outcome.requests);
        assert!(served >= 0.95 && refused <= 0.01, "seed {seed}: {outcome:?}");
        let refusing = Load::new(9, 18, 1.3).run(seed);
        let share = outcome.share_within_objective();
        assert!(
            share >= refusing.share_within_objective() - 0.05,
            "seed {seed}: {outcome:?}, with refusals {refusing:?}"
        );
        let in_order = Load { late_last: false, ..load }.run(seed);
        assert!(
            share >= in_order.share_within_objective() + 0.05,
            "seed {seed}: {outcome:?}, in order of arrival {in_order:?}"
        );
    }
}

/// Callers can't wait for as long as a queue that grows without end would take. Those that can't be
/// served are refused when they arrive, not when their time is over.
#[test]
fn requests_that_can_not_be_served_are_refused_at_once() {
    for seed in 1..=3 {
        let load = Load { patience: Span::from_millis(1_000), ..Load::new(9, 18, 4.0) };
        let outcome = load.run(seed);
        let refusals = f64::from(outcome.refused + outcome.retries_refused);
        assert!(outcome.refused > 0, "seed {seed}: {outcome:?}");
        assert!(f64::from(outcome.refused_early) >= 0.7 * refusals, "seed {seed}: {outcome:?}");
    }
}
