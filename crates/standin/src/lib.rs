//! Stand-ins for the components that the system calls: the platform, model engines and services.
//!
//! Each stand-in is a library module with a thin binary, so that tests can start it inside their
//! own process and demos as a separate one. All state is kept in memory. The crate also has a TCP
//! relay that injects network faults, and a load tool.

pub mod client;
pub mod engine;
pub mod load;
pub mod platform;
pub mod process;
pub mod record;
pub mod relay;
pub mod response;
pub mod server;
pub mod service;
