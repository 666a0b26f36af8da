//! Targets and their load in the words of peers and operators.

use oleander_document::Service;
use oleander_host::TargetStatus;
use oleander_peer::TargetCount;
use oleander_routing::{PeerCount, Target};

/// The targets of a service as the router takes them.
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

/// Counts as peers send them.
#[must_use]
pub fn target_counts(counts: Vec<PeerCount>) -> Vec<TargetCount> {
    let counts = counts.into_iter().map(|count| TargetCount {
        target: count.target,
        online: count.online,
        batch: count.batch,
    });
    counts.collect()
}

/// Counts as the router takes them.
#[must_use]
pub fn peer_counts(counts: &[TargetCount]) -> Vec<PeerCount> {
    let counts = counts.iter().map(|count| PeerCount {
        target: count.target.clone(),
        online: count.online,
        batch: count.batch,
    });
    counts.collect()
}

/// A target as operators see it.
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
