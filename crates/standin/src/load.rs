//! The load tool: seeded open-loop arrivals, verified responses, latency reports.
//!
//! Arrivals don't wait for responses, so a slow system is offered the same load as a fast one.
//! Each response is compared with the text that the engine stand-in generates for that prompt.

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
pub use call::{Destination, LoadClient};
pub use compare::{Comparison, compare};
pub use outcome::{CallResult, Failure, FailureKind, Outcome, Refusal, Timing};
pub use prompts::{PromptSettings, Shape};
pub use report::{FailureCount, LatencySummary, RefusalCount, Report, SecondCounts};
pub use run::{RunSettings, run};
pub use schedule::{Arrival, ArrivalSettings, plan_arrivals};
pub use tally::LatencyObjectives;
