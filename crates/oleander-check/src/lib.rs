//! Support of the tests: seeded properties, and small deployments of real processes.
//!
//! The whole-system tests are in this crate's `tests` folder. They start the workspace's binaries
//! from the folder that holds the test program; `scripts/test.sh` builds them first.

#![allow(clippy::expect_used, clippy::unwrap_used)]

mod client;
mod deployment;
mod process;
mod properties;

pub use client::{Answer, Client, eventually};
pub use deployment::{
    CALLER_KEY, Caller, Deployment, OPERATOR_KEY, Shape, chat_body, free_address,
};
pub use process::Process;
pub use properties::seeded;
