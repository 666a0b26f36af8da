//! Decisions about where online and batch work goes, and when.
//!
//! Nothing here reads a clock, performs input or output or draws unseeded randomness: each
//! deciding function takes the present time, and a [`Router`] takes a seed. The entry process and
//! the batch process drive the same [`Router`]; the shells around it send the requests, exchange
//! the in-flight counts with their peers and cancel what the router says has to make room.

mod budget;
mod choice;
mod config;
mod eject;
mod hedge;
mod history;
mod home;
mod latency;
mod limit;
mod load;
mod outcome;
mod pick;
mod prefix;
mod queue;
mod router;
mod share;
mod target;
mod workspace;

pub use budget::RetryBudget;
pub use choice::{Candidate, Chooser};
pub use config::{Policy, RouterConfig};
pub use eject::{EjectionConfig, EjectionState, Ejector};
pub use hedge::{HedgeConfig, Hedger};
pub use home::homes;
pub use latency::LatencyWindow;
pub use limit::{LimitConfig, LimitController};
pub use load::{BatchExcess, LoadReport, PeerCount};
pub use outcome::{Failure, Observation};
pub use pick::{Class, Decision, LeaseId, Pick, TicketId};
pub use prefix::PrefixIndex;
pub use queue::WaitQueue;
pub use router::Router;
pub use share::{fair_part, fill_level, raise_level};
pub use target::{Target, TargetState, TargetStatus};
pub use workspace::WorkspaceLimiter;
