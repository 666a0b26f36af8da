//! Client library of the admin interface.
//!
//! [`AdminClient`] calls one process, [`Fleet`] several. [`apply`](apply::apply) applies a document
//! and reads it back when a response is lost; [`timeline`] merges the events of all processes. The
//! command line tool and the console are front ends of this library.

pub mod admin;
pub mod apply;
pub mod fleet;
pub mod key;
pub mod timeline;

pub use admin::{AdminClient, AdminError, Cause};
pub use fleet::{Fleet, HostResponse};
pub use key::{AdminKey, KeyError};
