//! Batch jobs with ordered results, stored at the platform and run by the entry hosts.
//!
//! A job is accepted by creating its [`JobRecord`], after its items were written in parts. Its
//! results form a log of segments, each created under its index, so that the position of a result
//! never changes, whichever host writes. The record names the owner: the process that runs the
//! items and answers reads from memory. Ownership only avoids duplicate work; two simultaneous
//! owners do no harm, since each starts items only under a [`StartLease`] that a read of the record
//! renews. All entry hosts follow the records, and so learn of cancelled jobs, of jobs
//! whose owner is gone, and of the tokens that are queued on each route.
//!
//! [`Job`], [`JobIndex`], [`Backlog`] and [`UnmetNeeds`] make the decisions, without I/O; [`JobManager`] carries
//! them out.

mod admission;
mod backlog;
mod backoff;
mod bodies;
mod changes;
mod commit;
mod dispatch;
mod ending;
mod ends;
mod guard;
mod handover;
mod index;
mod item;
mod job;
mod lease;
mod loading;
mod lookup;
mod manager;
mod message;
mod output;
mod owner_calls;
mod placement;
mod preemption;
mod read_choice;
mod read_state;
mod read_trace;
mod reads;
mod record;
mod removal;
mod renewal;
mod row;
mod row_reader;
mod rows;
mod runner;
mod size;
mod store;
mod submission;
mod sweep;
mod takeover;
mod unrouted;
mod waits;
mod window;

pub use backlog::{Backlog, BacklogFull};
pub use index::{JobAction, JobIndex};
pub use item::{NewItem, RunOutcome};
pub use job::{Job, NextItem};
pub use lease::StartLease;
pub use manager::{JobManager, JobManagerConfig, StateUnknown};
pub use message::{JobRequest, JobResponse, Results};
pub use placement::{AVOID_WAIT, Avoidance, SlotNeed, UnmetNeeds};
pub use read_state::ReadMemory;
pub use record::{ItemOutcome, ItemRecord, ItemResult, JobPhase, JobRecord, Owner, Part, Segment};
pub use size::{ResultLimits, escaped_len};
pub use store::{JOB_PREFIX, JobStore};
pub use submission::{Submission, SubmitError};
pub use sweep::{sweep, sweep_once};
pub use window::{ReadWindow, SequenceReader};
