//! Orders to engines: which models each engine has to hold, and who tells it.
//!
//! [`Orderer`] is a state machine without clock, input or output. It takes [`OrderEvent`]s and
//! returns [`OrderAction`]s. The live entry hosts share the targets by rendezvous, which decides
//! only who does the work. Safety rests on one object a target at the platform, the
//! [`OrderRecord`]: its revision is the fencing number of every order that carries it out, and
//! a record of an older document never replaces one of a newer document.

mod config;
mod event;
mod goal;
mod orderer;
mod placement;
mod record;
mod sweep;
mod task;

pub use config::OrdersConfig;
pub use event::{
    OrderAction, OrderEvent, Ordered, RecordRead, Stored, StoredKey, Ticket, WriteOutcome,
};
pub use goal::{Command, Goal, TargetGoal};
pub use orderer::Orderer;
pub use record::{ORDER_PREFIX, OrderRecord};
