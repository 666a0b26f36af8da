//! What must hold for orders over pauses, lost answers, late orders and racing documents.

#![allow(clippy::unwrap_used)]

mod world;

use oleander_check::properties;
use oleander_core::Span;
use oleander_orders::OrdersConfig;
use world::{Faults, LATEST, TARGETS, World, target};

const DISTURBED: Span = Span::from_secs(60);
/// Longest time from the last late order to the state that the document wants: a sweep, a recheck
/// with its jitter, the wait for the former holder, and retries at their longest delay.
const SETTLED: Span = Span::from_secs(120);
/// Time for which the state has to stay.
const STAYS: Span = Span::from_secs(40);

const ALL: Faults = Faults { late_orders: true, restarts: true };

properties! {
    /// In the end every engine holds what the last document wants, and keeps it.
    fn the_last_document_wins(seed: u64) -> bool {
        let mut world = World::new(seed, OrdersConfig::new(), ALL);
        world.run(DISTURBED);
        world.stop_faults();
        world.run(LATEST);
        world.run(SETTLED);
        let settled = world.is_settled();
        world.run(STAYS);
        settled && world.is_settled()
    }

    /// A record never comes from an older document, and each write carries a newer one.
    fn records_never_revert_and_writes_are_bounded(seed: u64) -> bool {
        let mut world = World::new(seed, OrdersConfig::new(), ALL);
        world.run(DISTURBED);
        world.stop_faults();
        world.run(LATEST);
        world.run(SETTLED);
        let bounded = (0..TARGETS).all(|i| {
            let writes = world.writes.get(&target(i)).copied().unwrap_or(0);
            writes <= world.documents
        });
        bounded && world.reverted == 0
    }

    /// While calls keep their bound, no engine sees an order after one of a higher number, whether
    /// it checks or not.
    fn orders_keep_their_order_at_engines_that_check_nothing(seed: u64) -> bool {
        let faults = Faults { late_orders: false, restarts: false };
        let mut world = World::new(seed, OrdersConfig::new(), faults);
        world.run(DISTURBED);
        world.stop_faults();
        world.run(LATEST);
        world.overtaken == 0
    }
}
