//! Load balancing and admission control for online requests and batch items.
//!
//! The crate is deterministic and does no I/O: functions that decide something take the current
//! time, and a [`Router`] takes the seed of its random generator. The entry process and the batch
//! process use the same [`Router`]; they send the requests, exchange in-flight counts with their
//! peers and cancel the batch items that must yield to online requests.

mod budget;
mod choice;
mod config;
mod eject;
mod hedge;
mod history;
mod latency;
mod limit;
mod load;
mod outcome;
mod pick;
mod preferred;
mod prefix;
mod queue;
mod rate;
mod router;
mod share;
mod size;
mod target;
mod workspace;

pub use budget::RetryBudget;
pub use choice::{Candidate, Chooser};
pub use config::{Policy, RouterConfig};
pub use eject::{EjectionConfig, EjectionState, Ejector};
pub use hedge::{HedgeConfig, Hedger};
pub use latency::LatencyWindow;
pub use limit::{LimitConfig, LimitController};
pub use load::{BatchExcess, LoadReport, PeerCount};
pub use outcome::{Failure, Observation};
pub use pick::{Class, Decision, LeaseId, Pick, TicketId};
pub use preferred::preferred_targets;
pub use prefix::PrefixIndex;
pub use queue::WaitQueue;
pub use rate::{ParseRateError, RequestRate};
pub use router::{RateShare, Router};
pub use share::{cap_level, even_share, floor_level};
pub use target::{Target, TargetState, TargetStatus};
pub use workspace::WorkspaceLimiter;
