//! Batch jobs whose results are listed in order, kept at the platform and run by the entries.
//!
//! A job is made by one create of its [`JobEntry`], after its items stand in parts; its results
//! are a log of named creates, so that a position never changes whoever writes. The entry names
//! the owner, which runs the items and answers reads from memory; ownership only saves work, and
//! two owners for a moment break nothing. All hosts follow the entries and so know of ends, of
//! owners that are gone, and of the tokens that wait on each route.
//!
//! [`Job`], [`Index`] and [`Backlog`] decide; [`Desk`] is the shell around them.

mod backlog;
mod desk;
mod index;
mod intake;
mod item;
mod job;
mod message;
mod reading;
mod record;
mod room;
mod runner;
mod store;
mod submission;
mod sweep;
mod takeover;

pub use backlog::{Backlog, BacklogFull};
pub use desk::{Desk, DeskConfig, Unsure};
pub use index::{Change, Index};
pub use item::{ItemEnd, NewItem};
pub use job::{Job, NextItem};
pub use message::{JobAnswer, JobCall, Results};
pub use record::{ItemResult, ItemState, JobEntry, JobPhase, Owner, Part, Segment};
pub use store::{ENTRY_PREFIX, JobStore};
pub use submission::{Submission, SubmitError};
pub use sweep::{sweep, sweep_once};
