//! Small stand-ins for what the system speaks to: the platform, model engines, plain services.
//!
//! Each stand-in is a library module with a thin binary, so that tests start them inside their
//! own process and demos as separate ones. They keep everything in memory.

pub mod answer;
pub mod client;
pub mod engine;
pub mod load;
pub mod platform;
pub mod record;
pub mod relay;
pub mod server;
pub mod service;
pub mod shell;
