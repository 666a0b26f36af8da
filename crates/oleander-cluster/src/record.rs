//! What a process tells about itself at the platform.

use std::net::SocketAddr;

use oleander_core::{HostId, Time, ZoneId, value};
use oleander_members::{ListedHost, MemberRole};

/// Prefix of all records.
pub const PREFIX: &str = "hosts/";

value! {
    /// One process of the system; written once at its start.
    pub struct HostRecord {
        /// Name of the host.
        pub host: HostId,
        /// Its data centre.
        pub zone: ZoneId,
        /// What it runs.
        pub role: MemberRole,
        /// Where peers call it.
        pub link: SocketAddr,
        /// Where callers connect, if it serves them.
        pub callers: Option<SocketAddr>,
        /// Start of the process; rises with each start on this host.
        pub started: Time,
    }
}

impl HostRecord {
    /// Key of the record of `host`.
    pub(crate) fn key(host: &HostId) -> String {
        format!("{PREFIX}{host}")
    }

    /// The record as membership takes it in.
    pub(crate) fn listed(&self) -> ListedHost {
        ListedHost {
            host: self.host.clone(),
            zone: self.zone.clone(),
            role: self.role,
            address: self.link,
            leaving: false,
        }
    }
}
