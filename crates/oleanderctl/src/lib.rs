//! The operators' side of the admin interface.
//!
//! [`AdminClient`] calls one process, [`Fleet`] several. [`apply`](apply::apply) puts a document in
//! force and settles lost answers; [`timeline`] merges the events of all processes. The command
//! line tool and the console are thin shells over this crate.

pub mod admin;
pub mod apply;
pub mod fleet;
pub mod key;
pub mod timeline;

pub use admin::{AdminClient, AdminError, Cause};
pub use fleet::{Fleet, HostResponse};
pub use key::{AdminKey, KeyError};
