//! The record that each process writes to the platform.

use std::net::SocketAddr;

use oleander_core::{HostId, Time, ZoneId, value};
use oleander_members::{ListedHost, MemberRole};

/// Key prefix of all records.
pub const PREFIX: &str = "hosts/";

value! {
    /// A process of the system; written once at its start.
    pub struct HostRecord {
        /// Name of the host.
        pub host: HostId,
        /// Its data centre.
        pub zone: ZoneId,
        /// Its role.
        pub role: MemberRole,
        /// Address for requests from other hosts.
        pub link: SocketAddr,
        /// Address for callers, if it serves them.
        pub callers: Option<SocketAddr>,
        /// Start time of the process; increases with each start on this host.
        pub started: Time,
    }
}

value! {
    /// A record as it is stored.
    pub(crate) struct StoredRecord {
        /// The record that the process wrote at its start.
        #[serde(flatten)]
        pub(crate) record: HostRecord,
        /// When the process stopped as planned; an earlier build neither writes nor reads it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub(crate) left: Option<Time>,
    }
}

impl HostRecord {
    /// Key of the record of `host`.
    pub(crate) fn key(host: &HostId) -> String {
        format!("{PREFIX}{host}")
    }

    /// The host as listed for the membership protocol.
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
