//! The port to the platform's object store, with its adapters.
//!
//! [`Platform`] is the seam. [`HttpPlatform`] speaks the platform's HTTP interface;
//! [`MemoryPlatform`] is the adapter of the tests, with faults.

mod client;
mod memory;
mod object;
mod platform;

pub use client::HttpPlatform;
pub use memory::{MemoryFaults, MemoryPlatform};
pub use object::{Created, Host, HostState, HostView, Listed, Listing, Object, Role, Updated};
pub use platform::{Platform, PlatformError};
