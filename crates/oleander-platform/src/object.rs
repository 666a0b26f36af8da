//! Objects, listings and hosts as the platform reports them.

use std::fmt;

use bytes::Bytes;
use oleander_core::{Revision, value};
use serde::{Deserialize, Serialize};

/// A stored object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Revision of its last change.
    pub revision: Revision,
    /// Its value.
    pub body: Bytes,
}

/// Outcome of a create-if-absent that was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Created {
    /// The object was created at this revision.
    New(Revision),
    /// An object with this key stood already.
    Exists,
}

/// Outcome of an update-if-revision that was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Updated {
    /// The object was replaced at this revision.
    Done(Revision),
    /// The object has another revision, or is gone.
    Stale(Option<Revision>),
}

/// A page of objects, ordered by key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Keys and objects.
    pub objects: Vec<(String, Object)>,
    /// Revision of the store when it was made.
    pub revision: Revision,
    /// Whether more objects follow the last one.
    pub more: bool,
}

/// A change of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Key of the object.
    pub key: String,
    /// The object as it is now; `None` if it was removed.
    pub object: Option<Object>,
}

impl From<(String, Object)> for Change {
    fn from((key, object): (String, Object)) -> Self {
        Self { key, object: Some(object) }
    }
}

/// What a watch saw.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Changes in order.
    pub changes: Vec<Change>,
    /// Revision up to which all changes are included.
    pub revision: Revision,
}

value! {
    /// One row of a listing.
    pub struct ObjectMeta {
        /// Key of the object.
        pub key: String,
        /// Revision of its last change.
        pub revision: Revision,
        /// Size of its value in bytes.
        pub size: u64,
    }

    /// One page of a listing, ordered by key.
    pub struct Listing {
        /// Revision of the store when it was made.
        pub revision: Revision,
        /// Rows of the page.
        pub objects: Vec<ObjectMeta>,
        /// Whether more rows follow the last one.
        pub more: bool,
    }

    /// A host as the platform lists it.
    pub struct Host {
        /// Name of the host.
        pub name: String,
        /// What it runs.
        pub role: Role,
        /// Its data centre.
        pub zone: String,
        /// IP address and port.
        pub address: String,
        /// Whether it stays.
        pub state: HostState,
    }

    /// The platform's lagging list of hosts.
    pub struct HostListing {
        /// Rises with each change of the list.
        pub revision: Revision,
        /// Live and leaving hosts.
        pub hosts: Vec<Host>,
    }
}

/// What a host runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Entry process of the system.
    Entry,
    /// Batch process of the system.
    Batch,
    /// A target.
    Target,
}

/// Whether a host stays in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In service.
    Live,
    /// About to go; gets no new work.
    Leaving,
}

impl fmt::Display for HostState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}
