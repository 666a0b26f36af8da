//! Decides which models each engine loads and unloads, and which host sends the orders.
//!
//! [`Reconciler`] is a state machine without clock, input or output. It takes [`OrderEvent`]s and
//! returns [`OrderAction`]s. Rendezvous hashing assigns each target to one live entry host; this
//! only decides who does the work, and safety does not depend on it. Safety rests on one object
//! per target at the platform, the [`OrderRecord`]: its revision is the fencing number of every
//! order that carries it out, and a record of an older document never replaces one of a newer
//! document.

mod config;
mod event;
mod goal;
mod placement;
mod reconciler;
mod record;
mod sweep;
mod task;

pub use config::OrdersConfig;
pub use event::{
    ActionId, ListedRecord, OrderAction, OrderEvent, ReadOutcome, SendOutcome, StoredRecord,
    WriteOutcome,
};
pub use goal::{Command, Goal, TargetGoal};
pub use reconciler::Reconciler;
pub use record::{ORDER_PREFIX, OrderRecord};
