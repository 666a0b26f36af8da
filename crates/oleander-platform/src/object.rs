//! Objects, listings and hosts in the platform's responses.

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

/// Outcome of a conditional create to which the platform responded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Created {
    /// The object was created at this revision.
    New(Revision),
    /// An object with this key exists already.
    Exists,
}

/// Outcome of a conditional update or removal to which the platform responded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Updated {
    /// The object was replaced or removed, at this revision.
    Done(Revision),
    /// The object has another revision, or does not exist.
    Stale(Option<Revision>),
}

/// A page of objects, ordered by key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Keys and objects.
    pub objects: Vec<(String, Object)>,
    /// Revision of the store when the page was read.
    pub revision: Revision,
    /// Whether more objects follow the last one.
    pub more: bool,
}

/// A change of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Key of the object.
    pub key: String,
    /// The changed object; `None` if it was removed.
    pub object: Option<Object>,
}

impl From<(String, Object)> for Change {
    fn from((key, object): (String, Object)) -> Self {
        Self { key, object: Some(object) }
    }
}

/// Changes that a watch returned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Changes, ordered by revision.
    pub changes: Vec<Change>,
    /// Revision up to which the changes are complete.
    pub revision: Revision,
}

value! {
    /// Metadata of an object in a listing.
    pub struct ObjectMeta {
        /// Key of the object.
        pub key: String,
        /// Revision of its last change.
        pub revision: Revision,
        /// Size of its value in bytes.
        pub size: u64,
    }

    /// A page of object metadata, ordered by key.
    pub struct Listing {
        /// Revision of the store when the page was read.
        pub revision: Revision,
        /// Metadata of the objects.
        pub objects: Vec<ObjectMeta>,
        /// Whether more objects follow the last one.
        pub more: bool,
    }

    /// A host as the platform lists it.
    pub struct Host {
        /// Name of the host.
        pub name: String,
        /// Role of the process that runs on it.
        pub role: Role,
        /// Its data centre.
        pub zone: String,
        /// IP address and port.
        pub address: String,
        /// Whether it is about to stop.
        pub state: HostState,
    }

    /// The platform's list of hosts, which lags behind.
    pub struct HostListing {
        /// Increases with each change of the list.
        pub revision: Revision,
        /// Live and leaving hosts.
        pub hosts: Vec<Host>,
    }
}

/// Role of a host.
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

/// State of a listed host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// In service.
    Live,
    /// About to stop; gets no new work.
    Leaving,
}

impl fmt::Display for HostState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.serialize(f)
    }
}
