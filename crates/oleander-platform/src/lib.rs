//! Access to the platform's object store.
//!
//! [`ObjectStore`] is the trait that other crates use; [`Platform`] adds the list of hosts, for
//! platforms that have one. [`Follower`] reports the objects below a prefix and their changes.
//! [`HttpPlatform`] implements both traits over HTTP. [`MemoryPlatform`] implements them in memory,
//! for tests, with faults.

mod client;
mod follow;
mod memory;
mod object;
mod platform;
mod value;

pub use client::HttpPlatform;
pub use follow::{FollowEvent, Follower, POLL_WAIT, SHORT_WAIT};
pub use memory::{MemoryFaults, MemoryPlatform};
pub use object::{
    Change, Changes, Created, Host, HostListing, HostState, Listing, Object, ObjectMeta, Page,
    Role, Updated,
};
pub use platform::{ObjectStore, Platform, PlatformError};
pub use value::{StoreError, decode_value, encode_value};
