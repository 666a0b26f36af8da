//! Membership and failure detection of the hosts, after SWIM.
//!
//! [`Members`] is a state machine that does no I/O and reads no clock: it takes a [`MemberEvent`]
//! with the current time and returns a list of [`MemberAction`]s. Once per probe interval a host
//! probes one other member. If no acknowledgement arrives in time, it asks a few other members to
//! probe that member; if that fails too, the member becomes suspect, and failed unless it refutes
//! the suspicion before a timeout. Updates are piggybacked on these messages, up to a bound in
//! bytes, and each is sent a number of times that is logarithmic in the number of hosts. The load
//! on one host therefore does not grow with the number of hosts.
//!
//! The platform's host list, which lags behind, adds and removes members; direct evidence takes
//! precedence over it. Each message also carries the sender's own [`Facts`] and the newest
//! configuration revision that the sender knows of.

mod compose;
mod config;
mod contact;
mod event;
mod host_list;
mod member;
mod members;
mod merge;
mod message;
mod probe;
mod profile;
mod rounds;
mod update_queue;

pub use config::MembersConfig;
pub use event::{MemberAction, MemberEvent};
pub use host_list::{HostList, ListedHost, ListedState};
pub use member::{MemberState, MemberView};
pub use members::Members;
pub use message::{Facts, Liveness, MAX_PAYLOAD_BYTES, Message, MessageKind, Update};
pub use profile::{Incarnation, MemberRole, Profile};
