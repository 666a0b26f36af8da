//! Membership of the serving system's hosts, at a cost a host that does not grow with their number.
//!
//! [`Members`] is a state machine without clock or input and output: each [`MemberEvent`] comes
//! with the present time, and the answer is a list of [`MemberAction`]s. At an interval a host
//! probes one other member; a member that does not answer is probed through a few others, then
//! suspected, then declared failed unless it refutes. Changes travel inside these messages, bounded
//! in bytes and repeated a logarithmic number of times. The platform's lagging host list adds and
//! removes members, but direct evidence goes before it.
//!
//! Each message also carries the sender's own [`Facts`] and the newest configuration revision that
//! the sender has heard of.

mod compose;
mod config;
mod event;
mod host_list;
mod member;
mod members;
mod merge;
mod message;
mod probe;
mod profile;
mod rumours;

pub use config::MembersConfig;
pub use event::{MemberAction, MemberEvent};
pub use host_list::{HostList, ListedHost, ListedState};
pub use member::{MemberState, MemberView};
pub use members::Members;
pub use message::{Facts, Liveness, MAX_PAYLOAD_BYTES, Message, MessageKind, Update};
pub use profile::{Incarnation, MemberRole, Profile};
