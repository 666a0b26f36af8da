//! Messages between the system's own processes.
//!
//! Each request has one kind of answer; a host that can't serve a request answers
//! [`PeerResponse::Refused`].

mod message;

pub use message::{
    Contact, PeerRequest, PeerResponse, RunState, RunUpdate, ShardRequest, Status, TargetCount,
    TargetEvent,
};
