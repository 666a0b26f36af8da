//! Small stand-ins for what the system speaks to: the platform, model engines, plain services.
//!
//! Each stand-in is a library module with a thin binary, so that tests start them inside their
//! own process and demos as separate ones. They keep everything in memory.

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
