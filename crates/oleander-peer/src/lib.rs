//! Messages between the system's own processes.
//!
//! Each request has one kind of answer; a host that can't serve a request answers
//! [`PeerAnswer::Refused`].

mod message;

pub use message::{
    Contact, Followed, PeerAnswer, PeerEvent, PeerRequest, Progress, ShardCall, Status, TargetCount,
};
