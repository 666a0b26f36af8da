//! Conversions between the router's types and those of peers, operators and the document.

use std::collections::HashMap;

use oleander_core::TargetId;
use oleander_document::Service;
use oleander_host::TargetStatus;
use oleander_peer::TargetCount;
use oleander_routing::{PeerCount, Target};

/// The targets of a service as router targets.
#[must_use]
pub fn router_targets(service: &Service) -> Vec<Target> {
    let targets = service.targets.iter().map(|target| Target {
        name: target.name.clone(),
        zone: target.zone.clone(),
        limit: service.online.target_limit,
        reserve: service.online.reserve,
    });
    targets.collect()
}

/// Addresses of the targets of a service.
#[must_use]
pub fn target_addresses(service: &Service) -> HashMap<TargetId, String> {
    let targets = service.targets.iter();
    targets.map(|target| (target.name.clone(), target.address.clone())).collect()
}

/// Request counts of the router as a peer message.
#[must_use]
pub fn target_counts(counts: Vec<PeerCount>) -> Vec<TargetCount> {
    let counts = counts.into_iter().map(|count| TargetCount {
        target: count.target,
        online: count.online,
        batch: count.batch,
    });
    counts.collect()
}

/// Request counts of a peer message as router counts.
#[must_use]
pub fn peer_counts(counts: &[TargetCount]) -> Vec<PeerCount> {
    let counts = counts.iter().map(|count| PeerCount {
        target: count.target.clone(),
        online: count.online,
        batch: count.batch,
    });
    counts.collect()
}

/// The status of a target as reported to operators.
#[must_use]
pub fn target_status(target: oleander_routing::TargetStatus) -> TargetStatus {
    let state = serde_json::to_value(target.state).ok();
    TargetStatus {
        name: target.name,
        state: state.and_then(|s| s.as_str().map(str::to_owned)).unwrap_or_default(),
        online: target.online.into(),
        batch: target.batch.into(),
        limit: target.limit.into(),
    }
}
