//! Messages between entry and batch hosts, encoded by position.
//!
//! Each request has one kind of response; a host that can't serve a request responds with
//! [`PeerResponse::Refused`].

mod message;

pub use message::{
    Contact, PeerRequest, PeerResponse, RunState, RunUpdate, ServiceCrashes, ShardRequest, Status,
    TargetCount, TargetEvent,
};
