//! The load tool: seeded open-loop arrivals, checked answers, latency reports.
//!
//! Arrivals don't wait for answers, so that a slow system meets the same load as a fast one.
//! Each answer is compared with what the engine stand-in must generate for that prompt.

mod addresses;
mod batch_file;
mod call;
mod compare;
mod outcome;
mod prompts;
mod report;
mod run;
mod schedule;
mod stream;
mod table;
mod tally;

pub use addresses::AddressBook;
pub use batch_file::{BatchCheck, BatchError, BatchSettings, check_batch, write_batch};
pub use call::{Caller, Route};
pub use compare::{Comparison, compare};
pub use outcome::{CallAnswer, Failure, FailureKind, Outcome, Refusal, Timing};
pub use prompts::{PromptSettings, Shape};
pub use report::{CountOf, RefusalCount, Report, SecondCounts, Summary};
pub use run::{RunSettings, run};
pub use schedule::{Arrival, ArrivalSettings, plan};
pub use tally::Targets;
