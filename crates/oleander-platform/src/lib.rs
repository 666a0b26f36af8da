//! The port to the platform's object store, with its adapters.
//!
//! [`ObjectStore`] is the seam; [`Platform`] adds the list of hosts, where there is one. [`Follower`]
//! keeps a copy of all objects below a prefix. [`HttpPlatform`] speaks the platform's HTTP interface;
//! [`MemoryPlatform`] is the adapter of the tests, with faults.

mod client;
mod follow;
mod memory;
mod object;
mod platform;
mod value;

pub use client::HttpPlatform;
pub use follow::{FollowEvent, Follower, PROMPT_WAIT};
pub use memory::{MemoryFaults, MemoryPlatform};
pub use object::{
    Change, Changes, Created, Host, HostListing, HostState, Listing, Object, ObjectMeta, Page,
    Role, Updated,
};
pub use platform::{ObjectStore, Platform, PlatformError};
pub use value::{StoreError, decode_value, encode_value};
