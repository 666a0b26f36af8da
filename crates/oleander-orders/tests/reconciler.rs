//! Properties of the reconcilers under pauses, lost responses, late orders and concurrent changes
//! of the document.

#![allow(clippy::unwrap_used)]

mod simulation;

use oleander_check::properties;
use oleander_core::Span;
use oleander_orders::OrdersConfig;
use simulation::{Faults, MAX_ORDER_DELAY, Simulation, TARGETS, target};

const FAULT_TIME: Span = Span::from_secs(60);
/// Maximum time from the last late order until the engines match the document: a sweep, a recheck
/// with its jitter, the delay of a new record's first order, and retries at their maximum delay.
const SETTLE_TIME: Span = Span::from_secs(120);
/// Time for which the engines have to keep matching the document.
const STABLE_TIME: Span = Span::from_secs(40);

const ALL_FAULTS: Faults = Faults { late_orders: true, restarts: true };

properties! {
    /// In the end every engine has the model of the last document loaded, and keeps it.
    fn the_last_document_wins(seed: u64) -> bool {
        let mut simulation = Simulation::new(seed, OrdersConfig::new(), ALL_FAULTS);
        simulation.run(FAULT_TIME);
        simulation.stop_faults();
        simulation.run(MAX_ORDER_DELAY);
        simulation.run(SETTLE_TIME);
        let settled = simulation.is_settled();
        simulation.run(STABLE_TIME);
        settled && simulation.is_settled()
    }

    /// A record never replaces one of a newer document, and a target has at most one write for each
    /// document.
    fn records_never_revert_and_writes_are_bounded(seed: u64) -> bool {
        let mut simulation = Simulation::new(seed, OrdersConfig::new(), ALL_FAULTS);
        simulation.run(FAULT_TIME);
        simulation.stop_faults();
        simulation.run(MAX_ORDER_DELAY);
        simulation.run(SETTLE_TIME);
        let bounded = (0..TARGETS).all(|i| {
            let writes = simulation.writes.get(&target(i)).copied().unwrap_or(0);
            writes <= simulation.documents
        });
        bounded && simulation.reverted == 0
    }

    /// While calls end within their timeout, no order takes effect after one with a higher fencing
    /// number, even at engines that do not check fencing numbers.
    fn orders_keep_their_order_at_engines_that_check_nothing(seed: u64) -> bool {
        let faults = Faults { late_orders: false, restarts: false };
        let mut simulation = Simulation::new(seed, OrdersConfig::new(), faults);
        simulation.run(FAULT_TIME);
        simulation.stop_faults();
        simulation.run(MAX_ORDER_DELAY);
        simulation.out_of_order == 0
    }
}
