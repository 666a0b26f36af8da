//! Batch jobs whose results are listed in order, kept at the platform and run by the entries.
//!
//! A job is made by one create of its [`JobEntry`], after its items stand in parts; its results
//! are a log of named creates, so that a position never changes whoever writes. The entry names
//! the owner, which runs the items and answers reads from memory; ownership only saves work, and
//! two owners for a moment break nothing. All hosts follow the entries and so know of ends, of
//! owners that are gone, and of the tokens that wait on each route.
//!
//! [`Job`], [`JobIndex`] and [`Backlog`] decide; [`JobManager`] is the shell around them.

mod admission;
mod backlog;
mod index;
mod item;
mod job;
mod manager;
mod message;
mod ownership;
mod preemption;
mod reads;
mod record;
mod runner;
mod store;
mod submission;
mod sweep;

pub use backlog::{Backlog, BacklogFull};
pub use index::{EntryAction, JobIndex};
pub use item::{NewItem, RunOutcome};
pub use job::{Job, NextItem};
pub use manager::{JobManager, JobManagerConfig, StateUnknown};
pub use message::{JobAnswer, JobCall, Results};
pub use record::{ItemOutcome, ItemResult, JobEntry, JobPhase, Owner, Part, Segment};
pub use store::{ENTRY_PREFIX, JobStore};
pub use submission::{Submission, SubmitError};
pub use sweep::{sweep, sweep_once};
