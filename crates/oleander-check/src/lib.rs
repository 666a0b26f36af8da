//! Test support: seeded property tests, and small deployments of real processes.
//!
//! The system tests are in this crate's `tests` folder. They start the workspace's binaries from
//! the target folder of the test program; `scripts/test.sh` builds them first.

#![allow(clippy::expect_used, clippy::unwrap_used)]

mod caller;
mod client;
mod deployment;
mod options;
mod ports;
mod process;
mod properties;

pub use caller::{CALLER_KEY, Caller, chat_body};
pub use client::{Client, Response, eventually};
pub use deployment::{Deployment, OPERATOR_KEY};
pub use options::DeploymentOptions;
pub use ports::free_address;
pub use process::Process;
pub use properties::seeded_quickcheck;
